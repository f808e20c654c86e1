#include "Utilities/StandinSupport/StandinServer.h"

#include "LibBase/Log.h"
#include "LibBase/Signals.h"
#include "Utilities/StandinSupport/PortsFile.h"

#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <thread>

namespace fennelline {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr std::size_t kMaxKeepAliveRequests = 1'000'000;
constexpr std::time_t kKeepAliveSeconds = 60;
constexpr std::size_t kMaxBodyBytes = 4UL * 1024 * 1024;
constexpr const char* kJsonType = "application/json";

/// Runs each connection in its own thread, since streams and watches block theirs for a long time.
class ThreadPerConnection : public httplib::TaskQueue {
public:
  void enqueue(std::function<void()> aTask) override {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_running;
    std::thread([this, aTask = std::move(aTask)] {
      aTask();
      const std::lock_guard<std::mutex> ended(m_mutex);
      --m_running;
      m_ended.notify_all();
    }).detach();
  }
  void shutdown() override {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_ended.wait(lock, [this] { return m_running == 0; });
  }

private:
  std::mutex m_mutex;
  std::condition_variable m_ended;
  std::size_t m_running = 0;
};

Result<void> ApplyControl(const std::string& aBody,
                          const std::function<void(FieldReader&)>& aApply) {
  const std::shared_ptr<const nlohmann::json> body = TRY(ParseJson(aBody));
  FieldReader reader(*body, "");
  aApply(reader);
  return reader.Finish();
}

void AnswerControl(const std::function<void(FieldReader&)>& aApply,
                   const httplib::Request& aRequest, httplib::Response& aResponse) {
  const Result<void> applied = ApplyControl(aRequest.body, aApply);
  if (applied.IsError()) {
    AnswerError(aResponse, kStatusBadRequest, "invalid-control", applied.GetError().m_detail);
    return;
  }
  AnswerJson(aResponse, kStatusOk, "{}");
}

} // namespace

StandinServer::StandinServer(StandinOptions aOptions)
  : m_options(std::move(aOptions))
  , m_server(std::make_unique<httplib::Server>()) {
  m_server->new_task_queue = [] { return new ThreadPerConnection(); };
  m_server->set_keep_alive_max_count(kMaxKeepAliveRequests);
  m_server->set_keep_alive_timeout(kKeepAliveSeconds);
  m_server->set_tcp_nodelay(true);
  m_server->set_payload_max_length(kMaxBodyBytes);
}

StandinServer::~StandinServer() = default;

void StandinServer::OnControl(std::function<void(FieldReader&)> aApply) {
  m_server->Post("/control", [aApply = std::move(aApply)](const httplib::Request& aRequest,
                                                          httplib::Response& aResponse) {
    AnswerControl(aApply, aRequest, aResponse);
  });
}

int StandinServer::Run() {
  const Logger log = MakeLogger(m_options.m_name);
  const int port =
    m_options.m_port == 0
      ? m_server->bind_to_any_port(m_options.m_address)
      : (m_server->bind_to_port(m_options.m_address, m_options.m_port) ? m_options.m_port : -1);
  if (port <= 0) {
    log->error("cannot listen on {}:{}", m_options.m_address, m_options.m_port);
    return 1;
  }
  std::thread listener([this] { m_server->listen_after_bind(); });
  // A stop() before the server runs has no effect, and the listener would never end.
  while (!m_server->is_running()) {
    std::this_thread::yield();
  }
  const Result<void> written = WritePortsFile(m_options.m_portsFile, port);
  if (written.IsError()) {
    log->error("{}", written.GetError().m_detail);
  } else {
    log->info("serving on {}:{}", m_options.m_address, port);
    WaitForStopSignal();
    log->info("stopping");
  }
  m_onStop();
  m_server->stop();
  listener.join();
  log->info("stopped");
  return written.IsError() ? 1 : 0;
}

void AnswerJson(httplib::Response& aResponse, int aStatus, const std::string& aBody) {
  aResponse.status = aStatus;
  aResponse.set_content(aBody, kJsonType);
}

void AnswerError(httplib::Response& aResponse, int aStatus, const std::string& aCode,
                 const std::string& aDetail) {
  const nlohmann::json body = {{"error", aCode}, {"detail", aDetail}};
  AnswerJson(aResponse, aStatus, body.dump());
}

void AnswerTruncated(httplib::Response& aResponse) {
  constexpr std::size_t kDeclaredBytes = 2;
  aResponse.status = kStatusOk;
  aResponse.set_content_provider(
    kDeclaredBytes, kJsonType, [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

} // namespace fennelline
