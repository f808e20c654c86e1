#pragma once

#include "LibBase/Time.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace httplib {
class Client;
}

namespace fennelline {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string m_method = "GET";
  /// Path and query, percent-encoded.
  std::string m_target;
  HttpHeaders m_headers;
  /// Sent as application/json where it is not empty.
  std::string m_body;
};

/// What became of a call that brought no whole reply.
enum class HttpFailure {
  None,
  /// No connection: no byte of the request was sent.
  NotSent,
  /// The request, or a part of it, was sent and no whole reply came in time.
  Lost,
  /// HttpCancel::Cancel() ended the call.
  Cancelled,
};

struct HttpReply {
  HttpFailure m_failure = HttpFailure::None;
  int m_status = 0;
  std::string m_contentType;
  HttpHeaders m_headers;
  std::string m_body;
};

/// The value of the first header of that name, whatever its case; empty where there is none.
std::string FindHeader(const HttpReply& aReply, const std::string& aName);

/// Ends a call from another thread.
class HttpCancel {
public:
  void Cancel();
  bool IsCancelled() const { return m_cancelled; }

private:
  friend class HttpTransport;
  void Attach(httplib::Client* aClient);

  std::atomic<bool> m_cancelled{false};
  std::mutex m_mutex;
  httplib::Client* m_client = nullptr;
};

struct HttpLimits {
  /// For the connection alone.
  Duration m_connect = Milliseconds(500);
  /// The longest wait for the next bytes of the reply.
  Duration m_silence = Seconds(5);
  /// The whole call. It is looked at when bytes arrive, so the call may last one silence longer.
  Duration m_whole = Seconds(5);
};

/// Takes the reply's head and then its bytes as they come. A false return ends the call.
struct HttpReceiver {
  std::function<bool(const HttpReply&)> m_head;
  std::function<bool(const char* aBytes, std::size_t aCount)> m_bytes;
};

/// Blocking HTTP/1.1 calls over kept connections. Safe to use from several threads.
class HttpTransport {
public:
  HttpTransport();
  ~HttpTransport();
  HttpTransport(const HttpTransport&) = delete;
  HttpTransport& operator=(const HttpTransport&) = delete;

  /// aAddress is "IP:PORT".
  HttpReply Call(const std::string& aAddress, const HttpRequest& aRequest,
                 const HttpLimits& aLimits);
  /// As Call(), but bytes of a reply with status 200 go to the receiver and not into the reply.
  HttpReply CallStreamed(const std::string& aAddress, const HttpRequest& aRequest,
                         const HttpLimits& aLimits, const HttpReceiver& aReceiver,
                         HttpCancel& aCancel);

private:
  struct Pool;

  std::unique_ptr<httplib::Client> Take(const std::string& aAddress);
  void GiveBack(const std::string& aAddress, std::unique_ptr<httplib::Client> aClient);

  std::unique_ptr<Pool> m_pool;
};

/// Percent-encodes everything but unreserved characters (RFC 3986).
std::string PercentEncode(const std::string& aText);

} // namespace fennelline
