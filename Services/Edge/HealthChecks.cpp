#include "Services/Edge/HealthChecks.h"

#include "LibHttp/MessageWriter.h"
#include "Services/Edge/ServerPaths.h"
#include "platform/RequestCodec.h"

#include <spdlog/fmt/fmt.h>
#include <utility>

namespace fennelline {

namespace {

/// A health check may wait for a slot of its server, which answers or rejects it within this time.
constexpr Duration kReplyTime = Milliseconds(400);
/// After this time no further attempt is made.
constexpr Duration kCheckTime = Milliseconds(600);
/// A process that ends closes its connections and its listener within some of these.
constexpr Duration kRetryDelay = Milliseconds(10);

} // namespace

struct HealthChecks::Attempt {
  std::uint64_t m_identity = 0;
  std::shared_ptr<BackendLink> m_backend;
  std::shared_ptr<ClientConnection> m_connection;
  std::string m_id;
  EventLoop::TimerId m_timer = EventLoop::kNoTimer;
  /// The result has been reported, or another attempt has replaced this one.
  bool m_isOver = false;
};

void HealthChecks::Ask(const std::shared_ptr<BackendLink>& aBackend, OnResult aOnResult) {
  const auto running = m_checks.find(aBackend->m_identity);
  if (running != m_checks.end()) {
    running->second.m_late.push_back(std::move(aOnResult));
    return;
  }
  std::vector<OnResult> waiting;
  waiting.push_back(std::move(aOnResult));
  Start(aBackend, std::move(waiting));
}

void HealthChecks::Start(const std::shared_ptr<BackendLink>& aBackend,
                         std::vector<OnResult> aWaiting) {
  const std::uint64_t identity = aBackend->m_identity;
  m_checks.emplace(identity, Check{.m_backend = aBackend,
                                   .m_waiting = std::move(aWaiting),
                                   .m_late = {},
                                   .m_id = fmt::format("{:016x}", m_context.m_random.Next()),
                                   .m_startedAt = m_context.m_loop.Now()});
  // Those that ask in the same turn of the loop share the check.
  m_context.m_loop.Post([this, identity] { Send(identity); });
}

void HealthChecks::Send(std::uint64_t aIdentity) {
  Check& check = m_checks.at(aIdentity);
  ++check.m_attempts;
  for (OnResult& late : std::exchange(check.m_late, {})) {
    check.m_waiting.push_back(std::move(late));
  }
  const Service* service = m_context.m_routes
                             ? m_context.m_routes->FindService(check.m_backend->m_record.m_service)
                             : nullptr;
  if (service == nullptr || service->m_healthPath.empty()) {
    Finish(aIdentity, ServerLiveness::Unknown);
    return;
  }
  Result<std::shared_ptr<ClientConnection>> connection = check.m_backend->m_pool.Acquire(false);
  if (connection.IsError()) {
    Retry(aIdentity);
    return;
  }
  const std::shared_ptr<Attempt> attempt = std::make_shared<Attempt>();
  attempt->m_identity = aIdentity;
  attempt->m_backend = check.m_backend;
  attempt->m_connection = connection.Take();
  attempt->m_id = check.m_id;
  const HeaderList headers =
    platform::EncodeHealthCheck({.m_id = check.m_id,
                                 .m_address = check.m_backend->m_record.m_address,
                                 .m_server = check.m_backend->m_record.m_id,
                                 .m_timeLeft = kReplyTime});
  attempt->m_connection->SetOnConnected(
    [this, attempt] { m_context.m_paths->OnReached(*attempt->m_backend); });
  CallListener listener;
  listener.m_onHead = [this, attempt](const MessageHead& aHead) { return OnHead(attempt, aHead); };
  listener.m_onBody = [](const std::string&) {};
  listener.m_onComplete = [this, attempt] {
    Release(*attempt);
    OnNoReply(attempt);
  };
  listener.m_onFailed = [this, attempt](CallFailure aFailure) { OnFailed(attempt, aFailure); };
  attempt->m_timer = m_context.m_loop.After(kReplyTime, [this, attempt] {
    attempt->m_timer = EventLoop::kNoTimer;
    Release(*attempt);
    OnNoReply(attempt);
  });
  attempt->m_connection->Send(WriteRequest("GET", service->m_healthPath, headers, {}), false,
                              std::move(listener), kReplyTime);
}

HeadAction HealthChecks::OnHead(const std::shared_ptr<Attempt>& aAttempt,
                                const MessageHead& aHead) {
  m_context.m_paths->OnReached(*aAttempt->m_backend);
  const std::optional<ServerLiveness> result = JudgeHealthReply(
    platform::DecodeHealthReply(aHead), aAttempt->m_backend->m_record.m_id, aAttempt->m_id);
  if (!result) {
    return HeadAction::Skip;
  }
  if (!std::exchange(aAttempt->m_isOver, true)) {
    Finish(aAttempt->m_identity, *result);
  }
  return HeadAction::Accept;
}

void HealthChecks::OnFailed(const std::shared_ptr<Attempt>& aAttempt, CallFailure aFailure) {
  Release(*aAttempt);
  const bool isRefused = aFailure == CallFailure::Refused;
  if (isRefused || aFailure == CallFailure::NotSent) {
    m_context.m_paths->OnUnreachable(*aAttempt->m_backend);
  }
  if (isRefused && !std::exchange(aAttempt->m_isOver, true)) {
    Finish(aAttempt->m_identity, ServerLiveness::Ended);
    return;
  }
  OnNoReply(aAttempt);
}

void HealthChecks::OnNoReply(const std::shared_ptr<Attempt>& aAttempt) {
  if (!std::exchange(aAttempt->m_isOver, true)) {
    Retry(aAttempt->m_identity);
  }
}

void HealthChecks::Retry(std::uint64_t aIdentity) {
  const Check& check = m_checks.at(aIdentity);
  if (m_context.m_loop.Now() - check.m_startedAt < kCheckTime) {
    m_context.m_loop.After(kRetryDelay, [this, aIdentity] { Send(aIdentity); });
    return;
  }
  Finish(aIdentity, ServerLiveness::Unknown);
}

void HealthChecks::Release(Attempt& aAttempt) {
  m_context.m_loop.Cancel(std::exchange(aAttempt.m_timer, EventLoop::kNoTimer));
  if (aAttempt.m_connection) {
    aAttempt.m_backend->m_pool.Release(std::exchange(aAttempt.m_connection, {}));
  }
}

bool HealthChecks::IsReplaced(const BackendLink& aBackend) const {
  const std::shared_ptr<BackendLink> current = m_context.m_backends.Find(aBackend.m_record.m_id);
  return current && current->m_identity != aBackend.m_identity;
}

void HealthChecks::Finish(std::uint64_t aIdentity, ServerLiveness aResult) {
  Check check = std::move(m_checks.extract(aIdentity).mapped());
  const ServerLiveness result = aResult == ServerLiveness::Runs && IsReplaced(*check.m_backend)
                                  ? ServerLiveness::Ended
                                  : aResult;
  LogLine line("server-check");
  line.Text("backend", check.m_backend->m_record.m_id).Text("check", check.m_id);
  line.Text("result", NameOf(kServerLivenessNames, result)).Count("attempts", check.m_attempts);
  line.Count("waiting", check.m_waiting.size());
  line.Ms("took", m_context.m_loop.Now() - check.m_startedAt);
  m_context.Log(LogPriority::Notable, line);
  m_context.m_metrics.OnServerCheck(result);
  if (!check.m_late.empty()) {
    Start(check.m_backend, std::move(check.m_late));
  }
  for (const OnResult& waiting : check.m_waiting) {
    waiting(result);
  }
}

} // namespace fennelline
