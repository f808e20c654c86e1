#pragma once

#include "LibRouting/ServerLiveness.h"
#include "Services/Edge/EdgeContext.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace fennelline {

/// Finds out whether the processes of backend servers still run. An accepted connection does not
/// show it, since the system accepts connections without the process; an answered health check
/// does. There is at most one check of a server at a time.
class HealthChecks {
public:
  using OnResult = std::function<void(ServerLiveness)>;

  explicit HealthChecks(EdgeContext& aContext)
    : m_context(aContext) {}
  HealthChecks(const HealthChecks&) = delete;
  HealthChecks& operator=(const HealthChecks&) = delete;

  /// Calls aOnResult, later, with what a health check that was sent after this call has shown.
  void Ask(const std::shared_ptr<BackendLink>& aBackend, OnResult aOnResult);

private:
  struct Check {
    std::shared_ptr<BackendLink> m_backend;
    /// Those that asked before the health check was sent, and those that asked since.
    std::vector<OnResult> m_waiting;
    std::vector<OnResult> m_late;
    /// The id of the request.
    std::string m_id;
    Time m_startedAt{};
    int m_attempts = 0;
  };
  struct Attempt;

  void Start(const std::shared_ptr<BackendLink>& aBackend, std::vector<OnResult> aWaiting);
  /// Sends the health check of the server with this identity, on an open connection if there is
  /// one: a server that has closed its listener may still run.
  void Send(std::uint64_t aIdentity);
  HeadAction OnHead(const std::shared_ptr<Attempt>& aAttempt, const MessageHead& aHead);
  void OnFailed(const std::shared_ptr<Attempt>& aAttempt, CallFailure aFailure);
  /// The attempt shows nothing. Another one follows while there is time.
  void OnNoReply(const std::shared_ptr<Attempt>& aAttempt);
  void Retry(std::uint64_t aIdentity);
  void Release(Attempt& aAttempt);
  void Finish(std::uint64_t aIdentity, ServerLiveness aResult);
  /// Whether a server with the same id has started since.
  bool IsReplaced(const BackendLink& aBackend) const;

  EdgeContext& m_context;
  /// By the server's identity.
  std::map<std::uint64_t, Check> m_checks;
};

} // namespace fennelline
