#include "Services/Entry/Shell/CallerServer.h"

#include "Services/Entry/Requests/Problem.h"
#include "Services/Entry/Shell/ReadCallerRequest.h"

#include <future>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

constexpr const char* kProblemType = "application/problem+json";
constexpr std::size_t kMaxKeyBytes = 256;
/// The reducer ends every request by its deadline, so a longer wait indicates a bug.
constexpr Duration kAnswerTimeout = Seconds(700);
constexpr Duration kListWait = Seconds(2);

void WriteRefusal(httplib::Response& aResponse, ProblemCode aCode, const std::string& aDetail) {
  const Problem problem{.m_code = aCode, .m_ran = Ran::No, .m_detail = aDetail};
  aResponse.status = StatusOf(aCode);
  aResponse.set_content(WriteProblem(problem, ""), kProblemType);
}

/// RAII handle that removes the caller's channel when the response ends for any reason.
class ScopedAnswerSlot {
public:
  ScopedAnswerSlot(PendingAnswers& aAnswers, EventQueue& aQueue)
    : m_answers(aAnswers)
    , m_queue(aQueue)
    , m_slot(aAnswers.Open()) {}
  ~ScopedAnswerSlot() {
    m_answers.Close(m_slot.m_caller);
    if (!m_ended) {
      m_queue.Post(CallerGone{.m_caller = m_slot.m_caller});
    }
  }
  ScopedAnswerSlot(const ScopedAnswerSlot&) = delete;
  ScopedAnswerSlot& operator=(const ScopedAnswerSlot&) = delete;

  CallerId Caller() const { return m_slot.m_caller; }
  std::optional<AnswerPart> Next() {
    std::optional<AnswerPart> part = m_slot.m_channel->Pop(kAnswerTimeout);
    m_ended = part && std::holds_alternative<AnswerEnd>(*part);
    return part;
  }

private:
  PendingAnswers& m_answers;
  EventQueue& m_queue;
  PendingAnswers::Slot m_slot;
  bool m_ended = false;
};

void WriteStream(const std::shared_ptr<ScopedAnswerSlot>& aSlot, const AnswerHead& aHead,
                 httplib::Response& aResponse) {
  aResponse.set_chunked_content_provider(
    aHead.m_contentType, [aSlot](std::size_t, httplib::DataSink& aSink) {
      const std::optional<AnswerPart> part = aSlot->Next();
      if (!part) {
        return false;
      }
      if (const AnswerChunk* chunk = std::get_if<AnswerChunk>(&*part)) {
        return aSink.write(chunk->m_bytes.data(), chunk->m_bytes.size());
      }
      aSink.done();
      return true;
    });
}

void WriteWhole(ScopedAnswerSlot& aSlot, const AnswerHead& aHead, httplib::Response& aResponse) {
  std::string body;
  for (std::optional<AnswerPart> part = aSlot.Next(); part; part = aSlot.Next()) {
    const AnswerChunk* chunk = std::get_if<AnswerChunk>(&*part);
    if (chunk == nullptr) {
      break;
    }
    body += chunk->m_bytes;
  }
  aResponse.set_content(body, aHead.m_contentType);
}

} // namespace

struct CallerServer::Server {
  CallerServerSettings m_settings;
  EventQueue& m_queue;
  PendingAnswers& m_answers;
  httplib::Server m_http;
  std::thread m_thread;

  void SetUp();
  void OnChat(const httplib::Request& aRequest, httplib::Response& aResponse);
  void OnService(const httplib::Request& aRequest, httplib::Response& aResponse);
  void OnEntries(httplib::Response& aResponse);
  bool ReadHeaders(const httplib::Request& aRequest, CallerRequest& aCaller,
                   httplib::Response& aResponse) const;
  void Answer(CallerRequest aRequest, httplib::Response& aResponse);
};

void CallerServer::Server::SetUp() {
  constexpr std::size_t kKeepAliveRequests = 1'000'000;
  const std::size_t threads = m_settings.m_maxConnections;
  m_http.new_task_queue = [threads]() { return new httplib::ThreadPool(threads); };
  m_http.set_keep_alive_max_count(kKeepAliveRequests);
  m_http.set_tcp_nodelay(true);
  m_http.set_payload_max_length(m_settings.m_maxBodyBytes);
  m_http.set_read_timeout(m_settings.m_silenceLimit);
  m_http.set_write_timeout(m_settings.m_silenceLimit);
  m_http.Get("/v1/entries", [this](const httplib::Request&, httplib::Response& aResponse) {
    OnEntries(aResponse);
  });
  m_http.Post("/v1/chat/completions",
              [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
                OnChat(aRequest, aResponse);
              });
  m_http.Post(R"(/v1/services/([A-Za-z0-9_-]+)/([A-Za-z0-9_-]+))",
              [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
                OnService(aRequest, aResponse);
              });
  m_http.set_error_handler([](const httplib::Request&, httplib::Response& aResponse) {
    constexpr int kTooLarge = 413;
    constexpr int kNotFound = 404;
    if (aResponse.status == kTooLarge) {
      WriteRefusal(aResponse, ProblemCode::BodyTooLarge, "the body is longer than allowed");
    } else if (aResponse.status == kNotFound && aResponse.body.empty()) {
      WriteRefusal(aResponse, ProblemCode::UnknownOperation, "there is nothing at this path");
    }
  });
}

bool CallerServer::Server::ReadHeaders(const httplib::Request& aRequest, CallerRequest& aCaller,
                                       httplib::Response& aResponse) const {
  aCaller.m_keyHash = KeyHashOf(aRequest.get_header_value("Authorization"));
  aCaller.m_idempotencyKey = aRequest.get_header_value("Idempotency-Key");
  aCaller.m_kind = aRequest.get_header_value("Fennelline-Kind");
  aCaller.m_session = aRequest.get_header_value("Fennelline-Session");
  aCaller.m_body = aRequest.body;
  if (aCaller.m_idempotencyKey.size() > kMaxKeyBytes) {
    WriteRefusal(aResponse, ProblemCode::MalformedBody,
                 "Idempotency-Key: must have at most 256 bytes");
    return false;
  }
  const Result<std::int64_t> deadline =
    ReadDeadline(aRequest.get_header_value("Fennelline-Deadline-Ms"));
  if (deadline.IsError()) {
    WriteRefusal(aResponse, ProblemCode::MalformedBody, deadline.GetError().m_detail);
    return false;
  }
  aCaller.m_deadlineMs = deadline.Get();
  return true;
}

void CallerServer::Server::OnChat(const httplib::Request& aRequest, httplib::Response& aResponse) {
  CallerRequest caller;
  caller.m_target = CallerRequest::Target::Model;
  if (!ReadHeaders(aRequest, caller, aResponse)) {
    return;
  }
  const Result<void> read = ReadChatBody(caller);
  if (read.IsError()) {
    WriteRefusal(aResponse, ProblemCode::MalformedBody, read.GetError().m_detail);
    return;
  }
  Answer(std::move(caller), aResponse);
}

void CallerServer::Server::OnService(const httplib::Request& aRequest,
                                     httplib::Response& aResponse) {
  CallerRequest caller;
  caller.m_target = CallerRequest::Target::Service;
  caller.m_service = aRequest.matches[1];
  caller.m_operation = aRequest.matches[2];
  if (!ReadHeaders(aRequest, caller, aResponse)) {
    return;
  }
  const Result<void> read = ReadServiceBody(caller);
  if (read.IsError()) {
    WriteRefusal(aResponse, ProblemCode::MalformedBody, read.GetError().m_detail);
    return;
  }
  Answer(std::move(caller), aResponse);
}

void CallerServer::Server::Answer(CallerRequest aRequest, httplib::Response& aResponse) {
  const std::shared_ptr<ScopedAnswerSlot> slot =
    std::make_shared<ScopedAnswerSlot>(m_answers, m_queue);
  aRequest.m_caller = slot->Caller();
  m_queue.Post(std::move(aRequest));
  const std::optional<AnswerPart> first = slot->Next();
  const AnswerHead* head = first ? std::get_if<AnswerHead>(&*first) : nullptr;
  if (head == nullptr) {
    // The process is shutting down: the reducer did not answer.
    constexpr int kUnavailable = 503;
    aResponse.status = kUnavailable;
    return;
  }
  aResponse.status = head->m_status;
  for (const std::pair<std::string, std::string>& header : head->m_headers) {
    aResponse.set_header(header.first, header.second);
  }
  if (head->m_stream) {
    WriteStream(slot, *head, aResponse);
  } else {
    WriteWhole(*slot, *head, aResponse);
  }
}

void CallerServer::Server::OnEntries(httplib::Response& aResponse) {
  const std::shared_ptr<std::promise<std::vector<MemberDigest>>> answer =
    std::make_shared<std::promise<std::vector<MemberDigest>>>();
  std::future<std::vector<MemberDigest>> entries = answer->get_future();
  m_queue.Ask([answer](const EntryReducer& aReducer, Time) {
    answer->set_value(aReducer.EntriesForCallers());
  });
  if (entries.wait_for(kListWait) != std::future_status::ready) {
    WriteRefusal(aResponse, ProblemCode::Starting, "the entry is busy");
    return;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const MemberDigest& entry : entries.get()) {
    list.push_back({{"address", entry.m_callerAddress}, {"data_centre", entry.m_dataCentre}});
  }
  const nlohmann::json body = {{"entries", list},
                               {"keep_ms", InMilliseconds(m_settings.m_entryListLife)}};
  aResponse.set_content(body.dump(), "application/json");
}

CallerServer::CallerServer(CallerServerSettings aSettings, EventQueue& aQueue,
                           PendingAnswers& aAnswers)
  : m_server(
      new Server{.m_settings = std::move(aSettings), .m_queue = aQueue, .m_answers = aAnswers}) {
  m_server->SetUp();
}

CallerServer::~CallerServer() {
  Stop();
}

Result<int> CallerServer::Bind() {
  const std::string& address = m_server->m_settings.m_address;
  int port = m_server->m_settings.m_port;
  const bool bound = port == 0 ? (port = m_server->m_http.bind_to_any_port(address)) > 0
                               : m_server->m_http.bind_to_port(address, port);
  if (!bound) {
    return MakeError(ErrorCode::Io, "cannot listen on " + address + ":" + std::to_string(port));
  }
  return port;
}

void CallerServer::Start() {
  m_server->m_thread = std::thread([this]() { m_server->m_http.listen_after_bind(); });
}

void CallerServer::Stop() {
  m_server->m_http.stop();
  if (m_server->m_thread.joinable()) {
    m_server->m_thread.join();
  }
}

} // namespace fennelline
