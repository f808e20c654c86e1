#include "Utilities/Load/LoadRun.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace fennelline {

namespace {

/// The client waits this long past the deadline, so that late answers are measured.
constexpr Duration kLateAnswerGrace = Seconds(5);

class Sender {
public:
  Sender(const Experiment& aExperiment, const LoadTargets& aTargets,
         const std::vector<PlannedRequest>& aRequests)
    : m_experiment(aExperiment)
    , m_targets(aTargets)
    , m_requests(aRequests)
    , m_results(aRequests.size())
    , m_directory(m_transport, aTargets.m_entries, aExperiment.m_seed) {}

  std::vector<LoadResult> Run() {
    m_start = m_clock.Now();
    std::vector<std::thread> workers;
    const std::size_t count =
      std::min(static_cast<std::size_t>(m_experiment.m_maxInFlight), m_requests.size());
    for (std::size_t worker = 0; worker < count; ++worker) {
      workers.emplace_back([this] { SendNext(); });
    }
    for (std::thread& worker : workers) {
      worker.join();
    }
    return std::move(m_results);
  }

private:
  /// Worker loop: takes the next request in order, waits until it is due and sends it.
  void SendNext() {
    for (std::size_t index = m_next++; index < m_requests.size(); index = m_next++) {
      const Time due = m_start + m_requests[index].m_at;
      const Time now = m_clock.Now();
      if (now < due) {
        std::this_thread::sleep_for(due - now);
      }
      m_results[index] = Send(m_requests[index], due);
    }
  }

  LoadResult Send(const PlannedRequest& aRequest, Time aDue) {
    LoadResult result{.m_kind = aRequest.m_kind, .m_customer = aRequest.m_customer};
    const CallerCall call = CallFor(aRequest);
    result.m_sendDelay = m_clock.Now() - aDue;
    result.m_answer = CallEntry(m_transport, call, [this] { return m_clock.Now(); });
    result.m_latency = m_clock.Now() - aDue;
    const bool hasText = result.m_answer.m_firstToken != kNever;
    result.m_firstToken = hasText ? result.m_answer.m_firstToken - aDue : result.m_latency;
    return result;
  }

  CallerCall CallFor(const PlannedRequest& aRequest) {
    const LoadKind& kind = m_experiment.m_kinds[aRequest.m_kind];
    CallerCall call;
    call.m_path = kind.IsService() ? "/v1/services/" + kind.m_service + "/" + kind.m_operation
                                   : "/v1/chat/completions";
    call.m_timeout = kind.m_deadline + kLateAnswerGrace;
    call.m_body = aRequest.m_body;
    if (m_targets.IsDirect()) {
      call.m_address = kind.IsService() ? m_targets.m_directService : m_targets.m_directEngine;
      call.m_headers = {{"Fennelline-Attempt", aRequest.m_key}};
      if (!kind.IsService()) {
        call.m_body.insert(1, "\"model\":\"" + kind.m_directVersion + "\",");
      }
      return call;
    }
    call.m_address = m_directory.Choose(m_clock.Now());
    call.m_headers = {
      {"Authorization", "Bearer " + m_experiment.m_customers[aRequest.m_customer].m_key},
      {"Idempotency-Key", aRequest.m_key},
      {"Fennelline-Kind", kind.m_name}};
    return call;
  }

  const Experiment& m_experiment;
  const LoadTargets& m_targets;
  const std::vector<PlannedRequest>& m_requests;
  std::vector<LoadResult> m_results;
  std::atomic<std::size_t> m_next{0};
  SystemClock m_clock;
  Time m_start;
  HttpTransport m_transport;
  EntryDirectory m_directory;
};

} // namespace

std::vector<LoadResult> RunLoad(const Experiment& aExperiment, const LoadTargets& aTargets,
                                const std::vector<PlannedRequest>& aRequests) {
  return Sender(aExperiment, aTargets, aRequests).Run();
}

} // namespace fennelline
