#include "LibPlatform/HttpTransport.h"

#include <algorithm>
#include <httplib.h>
#include <map>
#include <strings.h>

namespace fennelline {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

// Servers close idle connections after a timeout. Closing them earlier on this side avoids sending
// a request on a connection that the server is closing, where it is unknown whether the request
// ran.
constexpr std::chrono::seconds kMaxIdleTime{2};
constexpr std::size_t kMaxIdlePerAddress = 64;
constexpr int kStatusOk = 200;

struct IdleClient {
  std::unique_ptr<httplib::Client> m_client;
  SteadyTime m_since;
};

std::unique_ptr<httplib::Client> MakeClient(const std::string& aAddress) {
  std::unique_ptr<httplib::Client> client = std::make_unique<httplib::Client>("http://" + aAddress);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_url_encode(false);
  client->set_decompress(false);
  return client;
}

httplib::Request MakeRequest(const HttpRequest& aRequest) {
  httplib::Request request;
  request.method = aRequest.m_method;
  request.path = aRequest.m_target;
  request.body = aRequest.m_body;
  for (const std::pair<std::string, std::string>& header : aRequest.m_headers) {
    request.headers.emplace(header);
  }
  if (!aRequest.m_body.empty()) {
    request.headers.emplace("Content-Type", "application/json");
  }
  return request;
}

HttpFailure FailureOf(httplib::Error aError, bool aCancelled) {
  if (aError == httplib::Error::Success) {
    return HttpFailure::None;
  }
  if (aError == httplib::Error::Connection || aError == httplib::Error::ConnectionTimeout) {
    return HttpFailure::NotSent;
  }
  return aCancelled ? HttpFailure::Cancelled : HttpFailure::Lost;
}

HttpReply HeadOf(const httplib::Response& aResponse) {
  HttpReply head;
  head.m_status = aResponse.status;
  head.m_contentType = aResponse.get_header_value("Content-Type");
  for (const std::pair<const std::string, std::string>& header : aResponse.headers) {
    head.m_headers.emplace_back(header.first, header.second);
  }
  return head;
}

void SetLimits(httplib::Client& aClient, const HttpLimits& aLimits) {
  aClient.set_connection_timeout(std::min(aLimits.m_connect, aLimits.m_totalTimeout));
  aClient.set_read_timeout(std::min(aLimits.m_readTimeout, aLimits.m_totalTimeout));
  aClient.set_write_timeout(std::min(aLimits.m_readTimeout, aLimits.m_totalTimeout));
}

} // namespace

struct HttpTransport::Pool {
  std::mutex m_mutex;
  std::map<std::string, std::vector<IdleClient>> m_idle;
};

void HttpCancel::Attach(httplib::Client* aClient) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_client = aClient;
}

void HttpCancel::Cancel() {
  m_cancelled = true;
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_client != nullptr) {
    m_client->stop();
  }
}

std::string FindHeader(const HttpReply& aReply, const std::string& aName) {
  for (const std::pair<std::string, std::string>& header : aReply.m_headers) {
    if (strcasecmp(header.first.c_str(), aName.c_str()) == 0) {
      return header.second;
    }
  }
  return "";
}

HttpTransport::HttpTransport()
  : m_pool(std::make_unique<Pool>()) {}

HttpTransport::~HttpTransport() = default;

std::unique_ptr<httplib::Client> HttpTransport::Acquire(const std::string& aAddress) {
  const std::lock_guard<std::mutex> lock(m_pool->m_mutex);
  std::vector<IdleClient>& idle = m_pool->m_idle[aAddress];
  const SteadyTime oldest = std::chrono::steady_clock::now() - kMaxIdleTime;
  // The last connection was used most recently. If it has expired, all have.
  if (idle.empty() || idle.back().m_since < oldest) {
    idle.clear();
    return MakeClient(aAddress);
  }
  std::unique_ptr<httplib::Client> client = std::move(idle.back().m_client);
  idle.pop_back();
  return client;
}

void HttpTransport::Release(const std::string& aAddress, std::unique_ptr<httplib::Client> aClient) {
  const std::lock_guard<std::mutex> lock(m_pool->m_mutex);
  std::vector<IdleClient>& idle = m_pool->m_idle[aAddress];
  if (idle.size() < kMaxIdlePerAddress) {
    idle.push_back({std::move(aClient), std::chrono::steady_clock::now()});
  }
}

HttpReply HttpTransport::Call(const std::string& aAddress, const HttpRequest& aRequest,
                              const HttpLimits& aLimits) {
  HttpCancel neverCancelled;
  std::string body;
  HttpReceiver collect;
  collect.m_head = [](const HttpReply&) { return true; };
  collect.m_bytes = [&body](const char* aBytes, std::size_t aCount) {
    body.append(aBytes, aCount);
    return true;
  };
  HttpReply reply = CallStreamed(aAddress, aRequest, aLimits, collect, neverCancelled);
  if (reply.m_status == kStatusOk) {
    reply.m_body = std::move(body);
  }
  return reply;
}

HttpReply HttpTransport::CallStreamed(const std::string& aAddress, const HttpRequest& aRequest,
                                      const HttpLimits& aLimits, const HttpReceiver& aReceiver,
                                      HttpCancel& aCancel) {
  const SteadyTime end = std::chrono::steady_clock::now() + aLimits.m_totalTimeout;
  std::unique_ptr<httplib::Client> client = Acquire(aAddress);
  SetLimits(*client, aLimits);
  HttpReply reply;
  httplib::Request request = MakeRequest(aRequest);
  request.response_handler = [&](const httplib::Response& aResponse) {
    reply = HeadOf(aResponse);
    return !aCancel.IsCancelled() && (reply.m_status != kStatusOk || aReceiver.m_head(reply));
  };
  request.content_receiver = [&](const char* aBytes, std::size_t aCount, std::uint64_t,
                                 std::uint64_t) {
    if (aCancel.IsCancelled() || std::chrono::steady_clock::now() > end) {
      return false;
    }
    if (reply.m_status == kStatusOk) {
      return aReceiver.m_bytes(aBytes, aCount);
    }
    reply.m_body.append(aBytes, aCount);
    return true;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  aCancel.Attach(client.get());
  client->send(request, response, error);
  aCancel.Attach(nullptr);
  reply.m_failure = FailureOf(error, aCancel.IsCancelled());
  if (reply.m_failure == HttpFailure::None) {
    Release(aAddress, std::move(client));
  }
  return reply;
}

std::string PercentEncode(const std::string& aText) {
  constexpr const char* kDigits = "0123456789ABCDEF";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 15;
  std::string encoded;
  for (const char character : aText) {
    const unsigned char byte = static_cast<unsigned char>(character);
    const bool unreserved =
      (std::isalnum(byte) != 0) || byte == '-' || byte == '.' || byte == '_' || byte == '~';
    if (unreserved) {
      encoded += character;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> kNibbleBits];
      encoded += kDigits[byte & kNibbleMask];
    }
  }
  return encoded;
}

} // namespace fennelline
