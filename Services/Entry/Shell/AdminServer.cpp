#include "Services/Entry/Shell/AdminServer.h"

#include "LibBase/Sha256.h"
#include "Services/Entry/Shell/StatusJson.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <future>
#include <httplib.h>
#include <thread>

namespace fennelline {

namespace {

constexpr std::size_t kThreads = 8;
constexpr Duration kAnswerWait = Seconds(2);
constexpr int kUnauthorized = 401;
constexpr const char* kJsonLines = "application/x-ndjson";
constexpr int kUnavailable = 503;

/// An integer query parameter; zero if missing or malformed.
std::uint64_t ReadNumber(const httplib::Request& aRequest, const char* aName) {
  const std::string text = aRequest.get_param_value(aName);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

using WriteText = std::function<std::string(const EntryReducer&, Time)>;

} // namespace

struct AdminServer::Server {
  std::string m_address;
  int m_port = 0;
  std::vector<std::string> m_secrets;
  EventQueue& m_queue;
  const TimelineRecorder& m_timeline;
  httplib::Server m_http;
  std::thread m_thread;

  bool IsAuthorized(const httplib::Request& aRequest) const {
    const std::string shown = aRequest.get_header_value("Authorization");
    return std::any_of(m_secrets.begin(), m_secrets.end(), [&shown](const std::string& aSecret) {
      return EqualInConstantTime(Sha256Hex("Bearer " + aSecret), Sha256Hex(shown));
    });
  }

  void Answer(const WriteText& aWrite, const char* aType, httplib::Response& aResponse) {
    const std::shared_ptr<std::promise<std::string>> answer =
      std::make_shared<std::promise<std::string>>();
    std::future<std::string> text = answer->get_future();
    m_queue.Ask([answer, aWrite](const EntryReducer& aReducer, Time aNow) {
      answer->set_value(aWrite(aReducer, aNow));
    });
    if (text.wait_for(kAnswerWait) != std::future_status::ready) {
      aResponse.status = kUnavailable;
      return;
    }
    aResponse.set_content(text.get(), aType);
  }

  /// Serves a path to authorized clients.
  void Guard(const char* aPath, const httplib::Server::Handler& aHandler) {
    m_http.Get(aPath,
               [this, aHandler](const httplib::Request& aRequest, httplib::Response& aResponse) {
                 if (!IsAuthorized(aRequest)) {
                   aResponse.status = kUnauthorized;
                   return;
                 }
                 aHandler(aRequest, aResponse);
               });
  }

  /// Serves a path from the reducer's state to authorized clients.
  void Serve(const char* aPath, const WriteText& aWrite) {
    Guard(aPath, [this, aWrite](const httplib::Request&, httplib::Response& aResponse) {
      Answer(aWrite, "application/json", aResponse);
    });
  }

  /// The timeline records of a request, oldest first.
  std::string LinesOf(const std::string& aRequest) const {
    std::string lines;
    std::uint64_t after = 0;
    for (std::string page = m_timeline.Since(after); !page.empty();
         page = m_timeline.Since(after)) {
      const Result<std::vector<TimelineLine>> parsed = ParseTimelineLines(page);
      if (parsed.IsError() || parsed.Get().empty()) {
        break;
      }
      for (const TimelineLine& line : parsed.Get()) {
        if (line.m_record.m_request == aRequest) {
          lines += WriteTimelineLine(line) + "\n";
        }
      }
      after = parsed.Get().back().m_number;
    }
    return lines;
  }

  void SetUp() {
    m_http.new_task_queue = []() { return new httplib::ThreadPool(kThreads); };
    m_http.set_tcp_nodelay(true);
    Serve("/admin/status", WriteStatus);
    Serve("/admin/evidence",
          [](const EntryReducer& aReducer, Time) { return WriteEvidence(aReducer); });
    Guard("/admin/timeline",
          [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
            aResponse.set_content(m_timeline.Since(ReadNumber(aRequest, "after")), kJsonLines);
          });
    Guard("/admin/explain", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      aResponse.set_content(LinesOf(aRequest.get_param_value("request")), kJsonLines);
    });
    m_http.Get("/metrics", [this](const httplib::Request&, httplib::Response& aResponse) {
      Answer(WriteMetrics, "text/plain; version=0.0.4", aResponse);
    });
  }
};

AdminServer::AdminServer(std::string aAddress, int aPort, std::vector<std::string> aSecrets,
                         EventQueue& aQueue, const TimelineRecorder& aTimeline)
  : m_server(new Server{.m_address = std::move(aAddress),
                        .m_port = aPort,
                        .m_secrets = std::move(aSecrets),
                        .m_queue = aQueue,
                        .m_timeline = aTimeline}) {
  m_server->SetUp();
}

AdminServer::~AdminServer() {
  Stop();
}

Result<int> AdminServer::Bind() {
  int port = m_server->m_port;
  const bool bound = port == 0 ? (port = m_server->m_http.bind_to_any_port(m_server->m_address)) > 0
                               : m_server->m_http.bind_to_port(m_server->m_address, port);
  if (!bound) {
    return MakeError(ErrorCode::Io, "cannot listen on " + m_server->m_address);
  }
  return port;
}

void AdminServer::Start() {
  m_server->m_thread = std::thread([this]() { m_server->m_http.listen_after_bind(); });
}

void AdminServer::Stop() {
  m_server->m_http.stop();
  if (m_server->m_thread.joinable()) {
    m_server->m_thread.join();
  }
}

} // namespace fennelline
