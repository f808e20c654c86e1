#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <utility>

namespace fennelline {

/// Whether a rejected request ran. "No" is guaranteed; docs/API.md explains why for each code.
enum class Ran : std::uint8_t { No, Unknown, Yes };

/// The reasons for which a request ends without an answer.
enum class ProblemCode : std::uint8_t {
  MalformedBody,
  BodyTooLarge,
  BadKey,
  MissingKind,
  UnknownKind,
  UnknownOperation,
  VersionNotAllowed,
  VersionRevoked,
  InvalidSession,
  KeyReused,
  SpendLimit,
  OverShare,
  LessUrgent,
  CannotFinishInTime,
  NoBackendServer,
  ClaimsUnavailable,
  UsageUnsettled,
  Starting,
  CutOff,
  Leaving,
  CrashesBackendServers,
  FateUnknown,
  BackendFailed,
  GivenUp,
  StreamBroken,
};

/// An application/problem+json response.
struct Problem {
  ProblemCode m_code = ProblemCode::BackendFailed;
  Ran m_ran = Ran::Unknown;
  /// Human-readable explanation.
  std::string m_detail;
  /// When to retry; zero if a retry does not help.
  Duration m_retryAfter{0};
};

/// A problem for a request that did not run.
inline Problem Refusal(ProblemCode aCode, std::string aDetail, Duration aRetryAfter) {
  return Problem{
    .m_code = aCode, .m_ran = Ran::No, .m_detail = std::move(aDetail), .m_retryAfter = aRetryAfter};
}

/// The HTTP status of a problem code.
int StatusOf(ProblemCode aCode);
/// The stable code, such as "spend-limit".
std::string NameOf(ProblemCode aCode);
std::string NameOf(Ran aRan);

/// The JSON text of a problem. aRequest is the request's key.
std::string WriteProblem(const Problem& aProblem, const std::string& aRequest);

/// Whole seconds for a Retry-After header, rounded up.
std::string RetryAfterSeconds(Duration aRetryAfter);

} // namespace fennelline
