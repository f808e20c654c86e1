#pragma once

#include "LibBase/Random.h"
#include "Services/Entry/EntryReducer.h"
#include "Tests/LibCoordination/Fakes/FakePlatform.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fennelline {

/// The fault probabilities of a FakeCluster.
struct ClusterFaults {
  double m_messageLoss = 0.0;
  double m_messageDuplication = 0.0;
  /// Per platform call: the reply is lost after the call took effect.
  double m_lostReply = 0.0;
  /// Per call to a backend server.
  double m_brokenCall = 0.0;
  double m_notSentCall = 0.0;
  /// Per broken call: the first poll that checks its server gets no whole reply, as from a process
  /// that is just ending; the next one shows the server's state.
  double m_lostCheck = 0.0;
};

/// A run on a backend server, recorded by the fake server.
struct BackendRun {
  std::string m_server;
  std::string m_path;
  std::string m_version;
  std::string m_body;
  Time m_at{};
};

/// The answer to one submission by a caller.
struct CallerAnswer {
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
  std::map<std::string, std::string> m_headers;
  bool m_ended = false;
  /// Number of answer parts received after the end.
  int m_afterEnd = 0;
  Time m_submitted{};
  Time m_endedAt{};
  EntryId m_entry;
};

/// A customer's total charges according to the platform.
struct Bill {
  std::int64_t m_micros = 0;
  std::int64_t m_requests = 0;
};

/// Several entry reducers connected by an in-memory network, with a fake platform and fake backend
/// servers that record their own runs. Deterministic for a given seed.
class FakeCluster {
public:
  explicit FakeCluster(std::uint64_t aSeed, ClusterFaults aFaults = {})
    : m_random(aSeed)
    , m_faults(aFaults) {}

  Time Now() const { return m_now; }
  Random& GetRandom() { return m_random; }
  ClusterFaults& Faults() { return m_faults; }
  FakePlatform& Platform() { return m_platform; }
  const std::vector<BackendRun>& Runs() const { return m_runs; }
  void SetConfiguration(const Configuration& aConfiguration);
  void SetOutage(bool aIsOut) { m_platformDown = aIsOut; }

  void AddEntry(const std::string& aName, const DataCentre& aDataCentre);
  void AddModel(const std::string& aName, const DataCentre& aDataCentre,
                std::vector<std::string> aVersions);
  void AddService(const std::string& aName, const DataCentre& aDataCentre,
                  const std::string& aService);
  void SetLeaving(const std::string& aServer);

  std::vector<std::string> EntryNames() const;
  bool IsUp(const std::string& aName) const { return m_entries.contains(aName); }
  EntryReducer& Of(const std::string& aName) { return *m_entries.at(aName).m_reducer; }
  /// Kills the process. Its name may be added again, as a new member.
  void Kill(const std::string& aName);
  /// Simulates SIGSTOP: events that arrive meanwhile are handled after the pause.
  void Pause(const std::string& aName, Duration aLength);
  void Stop(const std::string& aName);
  /// Whether the entry stopped cleanly; empty if it has not stopped by itself.
  std::optional<bool> Stopped(const std::string& aName) const;

  /// Sends a request to an entry and returns the object that receives the answer.
  std::shared_ptr<CallerAnswer> Submit(const std::string& aEntry, CallerRequest aRequest);

  void At(Time aTime, std::function<void()> aAction);
  void RunFor(Duration aLength);
  /// Runs until the condition holds. Returns false if it does not hold within the limit.
  bool RunUntil(const std::function<bool()>& aCondition, Duration aLimit);

  /// The sums over all ledgers and totals stored in the platform, by customer.
  std::map<std::string, Bill> Bills();

private:
  struct Entry {
    EntryId m_self;
    std::unique_ptr<EntryReducer> m_reducer;
    std::string m_datagramAddress;
    Time m_pausedUntil{};
    std::optional<bool> m_stopped;
    std::map<CallerId, std::shared_ptr<CallerAnswer>> m_callers;
    CallerId m_nextCaller = 1;
  };
  struct Server {
    ListedVm m_vm;
    std::vector<std::string> m_versions;
    bool m_crashed = false;
    std::set<std::string> m_running;
  };

  void Deliver(const EntryId& aSelf, Event aEvent);
  void DeliverAfter(Duration aDelay, const EntryId& aSelf, Event aEvent);
  Entry* FindEntry(const EntryId& aSelf);
  void Run(Entry& aEntry, EntryEffect aEffect);
  void ScheduleTick(const EntryId& aSelf);
  void SchedulePolls(const EntryId& aSelf);
  void DeliverLoadReport(const EntryId& aSelf, const Server& aServer, bool aAfterFailure);
  void CheckServer(const EntryId& aSelf, const std::string& aServer);
  void OnPlatformCall(const EntryId& aFrom, const CallPlatform& aCall, Time aWaitUntil);
  void OnBackendCall(const EntryId& aFrom, const CallBackend& aCall);
  void FinishRun(const EntryId& aFrom, const CallBackend& aCall);
  void OnAnswerPart(Entry& aEntry, CallerId aCaller,
                    const std::function<void(CallerAnswer&)>& aApply);
  Duration Delay();

  Random m_random;
  ClusterFaults m_faults;
  FakePlatform m_platform;
  Time m_now = Time(Seconds(1'000'000));
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> m_events;
  std::uint64_t m_eventNumber = 0;
  std::uint64_t m_incarnations = 0;
  std::map<std::string, Entry> m_entries;
  std::map<std::string, std::optional<bool>> m_stoppedEntries;
  std::map<std::string, Server> m_servers;
  std::vector<BackendRun> m_runs;
  bool m_platformDown = false;
};

/// A request body that contains this marker crashes the fake backend server that runs it.
constexpr const char* kCrashMarker = "crash-the-server";

} // namespace fennelline
