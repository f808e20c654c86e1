#pragma once

#include "LibPlatform/EngineClient.h"
#include "LibPlatform/VmListClient.h"
#include "Services/Entry/Event.h"
#include "Services/Entry/Shell/BlockingCalls.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace fennelline {

/// Periodically polls the VM list and the load reports and cache events of backend servers.
class Pollers {
public:
  using Post = std::function<void(Event)>;

  Pollers(HttpTransport& aTransport, std::string aPlatformAddress, BlockingCalls& aCalls,
          Post aPost);
  ~Pollers();
  Pollers(const Pollers&) = delete;
  Pollers& operator=(const Pollers&) = delete;

  void Start();
  void Stop();
  /// Polls a backend server's load immediately, after a call to it failed.
  void PollLoadNow(const std::string& aBackendServer);

private:
  struct Target {
    std::string m_address;
    bool m_isModel = false;
    std::uint64_t m_cacheNext = 0;
    bool m_loadBusy = false;
    bool m_cacheBusy = false;
  };

  void Run();
  void ReadVmList();
  void PollLoad(const std::string& aBackendServer);
  void ReadLoad(const std::string& aBackendServer, const std::string& aAddress, bool aAfterFailure);
  void PollCache(const std::string& aBackendServer);
  std::vector<std::string> TargetNames();

  BlockingCalls& m_calls;
  Post m_post;
  EngineClient m_engines;
  VmListClient m_vms;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  bool m_listBusy = false;
  std::map<std::string, Target> m_targets;
  std::thread m_thread;
};

} // namespace fennelline
