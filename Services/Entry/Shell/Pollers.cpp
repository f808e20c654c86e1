#include "Services/Entry/Shell/Pollers.h"

#include <algorithm>
#include <chrono>

namespace fennelline {

namespace {

/// Minimum interval between load polls of a server. With many backend servers the interval grows,
/// so that an entry makes at most one poll per kTimePerPoll.
/// FIXME: entries of one data centre should share the polls and forward the results (LoadReports);
///        with thousands of servers, not every entry can poll every server.
constexpr Duration kMinLoadInterval = Milliseconds(100);
constexpr Duration kTimePerPoll = Milliseconds(25);
constexpr Duration kVmListInterval = Milliseconds(500);
constexpr int kLoadsPerCacheRead = 3;
constexpr Duration kPollTimeout = Milliseconds(1'000);
/// For how long and how often a server is polled after a failed call until it replies or refuses.
constexpr std::chrono::milliseconds kCheckTime{100};
constexpr std::chrono::milliseconds kCheckInterval{5};

LoadPolled PolledFrom(const std::string& aBackendServer, const BackendLoad& aLoad) {
  LoadPolled polled{.m_backendServer = aBackendServer, .m_reached = true};
  polled.m_slots = aLoad.m_slots;
  polled.m_leaving = aLoad.m_leaving;
  polled.m_report = {.m_backendServer = aBackendServer,
                     .m_runningRequests = aLoad.m_runningRequests,
                     .m_queuedRequests = aLoad.m_queued,
                     .m_queuedTokens = aLoad.m_queuedTokens,
                     .m_tokensPerSecond = aLoad.m_tokensPerSecond,
                     .m_versions = aLoad.m_versions};
  return polled;
}

} // namespace

Pollers::Pollers(HttpTransport& aTransport, std::string aPlatformAddress, BlockingCalls& aCalls,
                 Post aPost)
  : m_calls(aCalls)
  , m_post(std::move(aPost))
  , m_engines(aTransport, kPollTimeout)
  , m_vms(aTransport, std::move(aPlatformAddress), kPollTimeout) {}

Pollers::~Pollers() {
  Stop();
}

void Pollers::Start() {
  m_thread = std::thread([this]() { Run(); });
}

void Pollers::Stop() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

std::vector<std::string> Pollers::TargetNames() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<std::string> names;
  for (const auto& [name, target] : m_targets) {
    names.push_back(name);
  }
  return names;
}

void Pollers::Run() {
  int round = 0;
  Duration interval = kMinLoadInterval;
  Duration sinceVmList = kVmListInterval;
  std::unique_lock<std::mutex> lock(m_mutex);
  do {
    lock.unlock();
    if (sinceVmList >= kVmListInterval) {
      sinceVmList = Duration{0};
      ReadVmList();
    }
    for (const std::string& name : TargetNames()) {
      PollLoad(name);
      if (round % kLoadsPerCacheRead == 0) {
        PollCache(name);
      }
    }
    ++round;
    lock.lock();
    const std::int64_t targets = static_cast<std::int64_t>(m_targets.size());
    interval = std::max(kMinLoadInterval, kTimePerPoll * targets);
    sinceVmList += interval;
  } while (!m_wake.wait_for(lock, interval, [this]() { return m_stop; }));
}

void Pollers::ReadVmList() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_listBusy) {
      return;
    }
    m_listBusy = true;
  }
  m_calls.Run([this]() {
    const Result<std::vector<PlatformVm>> list = m_vms.List();
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_listBusy = false;
    if (list.IsError()) {
      return;
    }
    VmListRead event;
    std::map<std::string, Target> targets;
    for (const PlatformVm& vm : list.Get()) {
      event.m_vms.push_back({.m_name = vm.m_name,
                             .m_address = vm.m_address,
                             .m_dataCentre = vm.m_dataCentre,
                             .m_role = vm.m_role,
                             .m_leaving = vm.m_leaving});
      if (vm.m_role == "entry") {
        continue;
      }
      const auto known = m_targets.find(vm.m_name);
      Target target = known == m_targets.end() ? Target{} : known->second;
      target.m_address = vm.m_address;
      target.m_isModel = vm.m_role == "model";
      targets.emplace(vm.m_name, target);
    }
    m_targets = std::move(targets);
    m_post(std::move(event));
  });
}

void Pollers::PollLoad(const std::string& aBackendServer) {
  std::string address;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_targets.find(aBackendServer);
    if (found == m_targets.end() || found->second.m_loadBusy) {
      return;
    }
    found->second.m_loadBusy = true;
    address = found->second.m_address;
  }
  m_calls.Run([this, aBackendServer, address]() {
    ReadLoad(aBackendServer, address, false);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_targets.find(aBackendServer);
    if (found != m_targets.end()) {
      found->second.m_loadBusy = false;
    }
  });
}

void Pollers::PollLoadNow(const std::string& aBackendServer) {
  std::string address;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_targets.find(aBackendServer);
    if (found == m_targets.end()) {
      return;
    }
    address = found->second.m_address;
  }
  m_calls.Run([this, aBackendServer, address]() { ReadLoad(aBackendServer, address, true); });
}

void Pollers::ReadLoad(const std::string& aBackendServer, const std::string& aAddress,
                       bool aAfterFailure) {
  const std::chrono::steady_clock::time_point checkEnd =
    std::chrono::steady_clock::now() + kCheckTime;
  Result<BackendLoad> load = m_engines.Load(aAddress);
  // While a process ends, its kept connections break one after the other. A poll on one of them is
  // lost, which does not show that the server has crashed; the next poll does.
  while (aAfterFailure && load.IsError() && load.GetError().m_code == ErrorCode::TimedOut &&
         std::chrono::steady_clock::now() < checkEnd) {
    std::this_thread::sleep_for(kCheckInterval);
    load = m_engines.Load(aAddress);
  }
  LoadPolled polled{.m_backendServer = aBackendServer};
  if (load.IsError()) {
    polled.m_refused = load.GetError().m_code == ErrorCode::Unavailable;
  } else {
    polled = PolledFrom(aBackendServer, load.Get());
  }
  polled.m_afterFailure = aAfterFailure;
  m_post(std::move(polled));
}

void Pollers::PollCache(const std::string& aBackendServer) {
  std::string address;
  std::uint64_t next = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_targets.find(aBackendServer);
    const bool ask =
      found != m_targets.end() && found->second.m_isModel && !found->second.m_cacheBusy;
    if (!ask) {
      return;
    }
    found->second.m_cacheBusy = true;
    address = found->second.m_address;
    next = found->second.m_cacheNext;
  }
  m_calls.Run([this, aBackendServer, address, next]() {
    const Result<EngineCacheEvents> events = m_engines.CacheEvents(address, next, Duration{0});
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_targets.find(aBackendServer);
    if (found == m_targets.end()) {
      return;
    }
    found->second.m_cacheBusy = false;
    if (events.IsError()) {
      return;
    }
    const EngineCacheEvents& news = events.Get();
    found->second.m_cacheNext = news.m_next;
    if (news.m_gap || !news.m_added.empty() || !news.m_removed.empty()) {
      m_post(CacheChanged{.m_backendServer = aBackendServer,
                          .m_added = news.m_added,
                          .m_removed = news.m_removed,
                          .m_gap = news.m_gap});
    }
  });
}

} // namespace fennelline
