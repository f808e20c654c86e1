#include "Services/Entry/Requests/Problem.h"

#include "LibBase/NameTable.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

namespace fennelline {

namespace {

struct ProblemRow {
  ProblemCode m_code;
  int m_status;
  std::string_view m_name;
  std::string_view m_title;
};

constexpr std::array<ProblemRow, 25> kProblems = {{
  {ProblemCode::MalformedBody, 400, "malformed-body", "The body cannot be read"},
  {ProblemCode::BodyTooLarge, 413, "body-too-large", "The body is too large"},
  {ProblemCode::BadKey, 401, "bad-key", "No contract has this key"},
  {ProblemCode::MissingKind, 400, "missing-kind", "The kind of the request is missing"},
  {ProblemCode::UnknownKind, 400, "unknown-kind", "The contract has no such kind"},
  {ProblemCode::UnknownOperation, 404, "unknown-operation", "No such service operation"},
  {ProblemCode::VersionNotAllowed, 403, "version-not-allowed", "The contract does not allow it"},
  {ProblemCode::VersionRevoked, 410, "version-revoked", "The session's version was withdrawn"},
  {ProblemCode::InvalidSession, 400, "invalid-session", "The session token is not valid"},
  {ProblemCode::KeyReused, 409, "key-reused", "The idempotency key came with another body"},
  {ProblemCode::SpendLimit, 402, "spend-limit", "The spend limit is reached"},
  {ProblemCode::OverShare, 429, "over-share", "The customer is over its share of the capacity"},
  {ProblemCode::LessUrgent, 503, "less-urgent", "More urgent work comes first"},
  {ProblemCode::CannotFinishInTime, 503, "cannot-finish-in-time", "It cannot finish in time"},
  {ProblemCode::NoBackendServer, 503, "no-backend-server", "No backend server can take it"},
  {ProblemCode::ClaimsUnavailable, 503, "claims-unavailable", "The request cannot be claimed now"},
  {ProblemCode::UsageUnsettled, 503, "usage-unsettled", "Too much usage is not settled yet"},
  {ProblemCode::Starting, 503, "starting", "The entry has no configuration yet"},
  {ProblemCode::CutOff, 503, "cut-off", "The entry cannot know which configuration is in force"},
  {ProblemCode::Leaving, 503, "leaving", "The entry is leaving"},
  {ProblemCode::CrashesBackendServers, 422, "crashes-backend-servers",
   "Requests with this content crash backend servers"},
  {ProblemCode::FateUnknown, 409, "fate-unknown",
   "The request was sent before; its fate is unknown"},
  {ProblemCode::BackendFailed, 502, "backend-failed", "The backend server failed"},
  {ProblemCode::GivenUp, 504, "given-up", "The request was given up"},
  {ProblemCode::StreamBroken, 502, "stream-broken", "The stream broke before its end"},
}};

constexpr NameTable<Ran, 3> kRanNames = {{
  {Ran::No, "no"},
  {Ran::Unknown, "unknown"},
  {Ran::Yes, "yes"},
}};

const ProblemRow& RowOf(ProblemCode aCode) {
  for (const ProblemRow& row : kProblems) {
    if (row.m_code == aCode) {
      return row;
    }
  }
  return kProblems.back();
}

} // namespace

int StatusOf(ProblemCode aCode) {
  return RowOf(aCode).m_status;
}

std::string NameOf(ProblemCode aCode) {
  return std::string(RowOf(aCode).m_name);
}

std::string NameOf(Ran aRan) {
  return std::string(NameOf(kRanNames, aRan));
}

std::string RetryAfterSeconds(Duration aRetryAfter) {
  const std::int64_t seconds = std::chrono::ceil<std::chrono::seconds>(aRetryAfter).count();
  return std::to_string(seconds);
}

std::string WriteProblem(const Problem& aProblem, const std::string& aRequest) {
  const ProblemRow& row = RowOf(aProblem.m_code);
  nlohmann::json document = {{"type", "urn:fennelline:" + std::string(row.m_name)},
                             {"title", row.m_title},
                             {"status", row.m_status},
                             {"code", row.m_name},
                             {"ran", NameOf(aProblem.m_ran)},
                             {"detail", aProblem.m_detail}};
  if (!aRequest.empty()) {
    document["request"] = aRequest;
  }
  if (aProblem.m_retryAfter > Duration{0}) {
    document["retry_after_ms"] = InMilliseconds(aProblem.m_retryAfter);
  }
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace fennelline
