#include "Services/Rollout/RolloutProcess.h"

#include "LibBase/Log.h"
#include "LibBase/Sha256.h"
#include "LibTimeline/TimelineRecorder.h"
#include "Services/Rollout/RolloutCalls.h"
#include "Services/Rollout/RolloutStatus.h"

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <functional>
#include <future>
#include <httplib.h>
#include <mutex>
#include <spdlog/spdlog.h>
#include <tbb/global_control.h>
#include <tbb/task_arena.h>
#include <tbb/task_group.h>
#include <thread>

namespace fennelline {

namespace {

/// Maximum number of concurrent blocking calls: polls, long loads and a watch.
constexpr int kCallThreads = 48;
constexpr std::size_t kAdminThreads = 4;
constexpr Duration kTick = Milliseconds(50);
/// Interval between reads of the lists of engines and entries.
constexpr Duration kListInterval = Seconds(2);
constexpr int kUnauthorized = 401;

using Work = std::function<RolloutEffects(RolloutController&, Time)>;

RolloutSettings ControllerSettings(const RolloutProgramSettings& aSettings,
                                   const std::string& aIncarnation) {
  RolloutSettings settings;
  settings.m_lease.m_key = "fennelline/rollout/holder";
  settings.m_lease.m_holder = aSettings.m_name + "#" + aIncarnation;
  settings.m_lease.m_timeToLive = aSettings.m_leaseLife;
  settings.m_lease.m_margin = aSettings.m_leaseLife / 5;
  settings.m_lease.m_renewInterval = aSettings.m_leaseLife / 4;
  settings.m_lease.m_pollInterval = aSettings.m_leasePollInterval;
  settings.m_handoverWait = aSettings.m_leaseLife + Seconds(2);
  settings.m_maxLoads = static_cast<std::size_t>(aSettings.m_mostLoads);
  settings.m_loadSpacing = aSettings.m_loadSpacing;
  settings.m_enginesThatCheck = {aSettings.m_enginesThatCheck.begin(),
                                 aSettings.m_enginesThatCheck.end()};
  settings.m_allEnginesCheck = aSettings.m_allEnginesCheck;
  settings.m_minStepTime = aSettings.m_leastStepTime;
  settings.m_test.m_goodRate = aSettings.m_goodRate;
  settings.m_test.m_badRate = aSettings.m_badRate;
  settings.m_test.m_falseAlarm = aSettings.m_falseAlarm;
  settings.m_test.m_falseAdvance = aSettings.m_falseAdvance;
  settings.m_detector.m_goodRate = aSettings.m_goodRate;
  return settings;
}

} // namespace

struct RolloutProcess::Shell {
  Shell(const RolloutProgramSettings& aSettings, const std::string& aIncarnation,
        std::uint64_t aSeed)
    : m_settings(aSettings)
    , m_calls(m_settings)
    , m_controller(ControllerSettings(aSettings, aIncarnation), aSeed)
    , m_timeline("rollout/" + aSettings.m_name + "#" + aIncarnation) {}

  void Post(Work aWork) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_queue.push_back(std::move(aWork));
    m_wake.notify_one();
  }

  /// Runs a blocking call on a worker thread.
  void Call(std::function<void()> aCall) {
    m_arena.execute([this, &aCall] { m_tasks.run(std::move(aCall)); });
  }

  void Loop() {
    while (!m_stop) {
      std::deque<Work> queue;
      {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_wake.wait_for(lock, kTick, [this] { return !m_queue.empty() || m_stop; });
        queue.swap(m_queue);
      }
      for (const Work& work : queue) {
        CarryOut(work(m_controller, m_clock.Now()));
      }
      CarryOut(m_controller.Tick(m_clock.Now()));
      ReadListsIfDue(m_clock.Now());
    }
  }

  void CarryOut(RolloutEffects aEffects) {
    for (RolloutEffect& effect : aEffects) {
      std::visit([this](auto& aValue) { CarryOut(aValue); }, effect);
    }
  }

  void CarryOut(RecordTimeline& aRecord) {
    m_logger->info("{} {} {}", aRecord.m_record.m_name, aRecord.m_record.m_version,
                   aRecord.m_record.m_fields.empty() ? ""
                                                     : aRecord.m_record.m_fields.front().second);
    m_timeline.Record(std::move(aRecord.m_record), m_clock.Now());
  }

  void CarryOut(const CallPlatform& aCall) {
    Call([this, aCall] {
      const PlatformReply reply = m_calls.CallPlatformService(aCall);
      Post([reply](RolloutController& aController, Time aNow) {
        return aController.OnPlatformReply(reply, aNow);
      });
    });
  }

  void CarryOut(const SendEngineOrder& aOrder) {
    const bool isLoad = aOrder.m_order == EngineOrderKind::Load;
    m_logger->info("ordering engine {} to {} version {} with fencing token {}", aOrder.m_engine,
                   isLoad ? "load" : "unload", aOrder.m_version, aOrder.m_fence);
    Call([this, aOrder] {
      const OrderResult result = m_calls.Order(aOrder);
      Post([aOrder, result](RolloutController& aController, Time aNow) {
        return aController.OnOrderAnswered(aOrder.m_number, result.m_answer, result.m_versions,
                                           aNow);
      });
    });
  }

  void CarryOut(const PollEngine& aPoll) {
    const Time asked = m_clock.Now();
    Call([this, aPoll, asked] {
      const Result<std::set<std::string>> versions = m_calls.ReadVersions(aPoll.m_address);
      if (versions.IsError()) {
        return;
      }
      Post([aPoll, asked, versions](RolloutController& aController, Time) {
        aController.OnEnginePolled(aPoll.m_engine, versions.Get(), asked);
        return RolloutEffects{};
      });
    });
  }

  void CarryOut(const PollEvidence& aPoll) {
    Call([this, aPoll] {
      const Result<EntryEvidence> evidence = m_calls.ReadEvidence(aPoll.m_adminAddress);
      if (evidence.IsError()) {
        return;
      }
      Post([evidence](RolloutController& aController, Time aNow) {
        aController.OnEvidence(evidence.Get().m_entry, evidence.Get().m_evidence, aNow);
        return RolloutEffects{};
      });
    });
  }

  void ReadListsIfDue(Time aNow) {
    if (aNow < m_nextLists || !m_controller.IsHolder(aNow)) {
      return;
    }
    m_nextLists = aNow + kListInterval;
    Call([this] {
      const Result<std::vector<EngineVm>> engines = m_calls.ListEngines();
      const Result<std::vector<std::string>> entries = m_calls.ListEntries();
      Post([engines, entries](RolloutController& aController, Time) {
        if (!engines.IsError()) {
          aController.OnEngines(engines.Get());
        }
        if (!entries.IsError()) {
          aController.OnEntries(entries.Get());
        }
        return RolloutEffects{};
      });
    });
  }

  bool IsAuthorized(const httplib::Request& aRequest) const {
    const std::string shown = aRequest.get_header_value("Authorization");
    return std::any_of(m_settings.m_sharedSecrets.begin(), m_settings.m_sharedSecrets.end(),
                       [&shown](const std::string& aSecret) {
                         return EqualInConstantTime(Sha256Hex("Bearer " + aSecret),
                                                    Sha256Hex(shown));
                       });
  }

  /// Renders a text on the controller's thread and waits for it.
  template<typename Write>
  std::string Ask(const Write& aWrite) {
    const std::shared_ptr<std::promise<std::string>> answer =
      std::make_shared<std::promise<std::string>>();
    std::future<std::string> text = answer->get_future();
    Post([answer, aWrite](RolloutController& aController, Time aNow) {
      answer->set_value(aWrite(aController, aNow));
      return RolloutEffects{};
    });
    const bool isReady = text.wait_for(Seconds(2)) == std::future_status::ready;
    return isReady ? text.get() : std::string();
  }

  void SetUpAdmin() {
    m_http.new_task_queue = [] { return new httplib::ThreadPool(kAdminThreads); };
    m_http.set_tcp_nodelay(true);
    m_http.Get("/metrics", [this](const httplib::Request&, httplib::Response& aResponse) {
      aResponse.set_content(Ask(WriteRolloutMetrics), "text/plain; version=0.0.4");
    });
    m_http.Get("/admin/status",
               [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
                 if (IsAuthorized(aRequest)) {
                   aResponse.set_content(Ask(WriteRolloutStatus), "application/json");
                 } else {
                   aResponse.status = kUnauthorized;
                 }
               });
    m_http.Get("/admin/timeline",
               [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
                 if (!IsAuthorized(aRequest)) {
                   aResponse.status = kUnauthorized;
                   return;
                 }
                 const std::string text = aRequest.get_param_value("after");
                 std::uint64_t after = 0;
                 std::from_chars(text.data(), text.data() + text.size(), after);
                 aResponse.set_content(m_timeline.Since(after), "application/x-ndjson");
               });
  }

  RolloutProgramSettings m_settings;
  SystemClock m_clock;
  Logger m_logger = MakeLogger("rollout");
  RolloutCalls m_calls;
  RolloutController m_controller;
  TimelineRecorder m_timeline;
  httplib::Server m_http;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<Work> m_queue;
  std::atomic<bool> m_stop{false};
  Time m_nextLists{};
  /// The calls mostly wait for I/O, so more threads than cores are allowed.
  tbb::global_control m_threads{tbb::global_control::max_allowed_parallelism, kCallThreads + 1};
  tbb::task_arena m_arena{kCallThreads, 0};
  tbb::task_group m_tasks;
  std::thread m_loop;
  std::thread m_admin;
};

RolloutProcess::RolloutProcess(const RolloutProgramSettings& aSettings,
                               const std::string& aIncarnation, std::uint64_t aSeed)
  : m_shell(std::make_unique<Shell>(aSettings, aIncarnation, aSeed)) {}

RolloutProcess::~RolloutProcess() = default;

Result<void> RolloutProcess::Start() {
  Shell& shell = *m_shell;
  shell.SetUpAdmin();
  int port = shell.m_settings.m_adminPort;
  const bool bound = port == 0
                       ? (port = shell.m_http.bind_to_any_port(shell.m_settings.m_address)) > 0
                       : shell.m_http.bind_to_port(shell.m_settings.m_address, port);
  if (!bound) {
    return MakeError(ErrorCode::Io, "cannot listen on " + shell.m_settings.m_address);
  }
  shell.m_admin = std::thread([&shell] { shell.m_http.listen_after_bind(); });
  shell.m_loop = std::thread([&shell] { shell.Loop(); });
  if (!shell.m_settings.m_portsFile.empty()) {
    std::ofstream(shell.m_settings.m_portsFile) << "{\"admin_port\": " << port << "}\n";
  }
  shell.m_logger->info("admin server listening on {}:{}", shell.m_settings.m_address, port);
  return {};
}

void RolloutProcess::StopGracefully() {
  Shell& shell = *m_shell;
  shell.m_logger->info("shutting down; releasing the lease");
  std::promise<void> released;
  shell.Post([&shell, &released](RolloutController& aController, Time aNow) {
    shell.CarryOut(aController.Release(aNow));
    released.set_value();
    return RolloutEffects{};
  });
  released.get_future().wait();
  shell.m_http.stop();
  shell.m_admin.join();
  shell.m_stop = true;
  shell.m_wake.notify_one();
  shell.m_loop.join();
  // Only now does nobody start calls any more. A task group that is destroyed while tasks run ends
  // the process.
  shell.m_arena.execute([&shell] { shell.m_tasks.wait(); });
}

} // namespace fennelline
