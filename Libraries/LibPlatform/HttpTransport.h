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
  /// Sent as application/json if not empty.
  std::string m_body;
};

/// Why a call did not produce a complete reply.
enum class HttpFailure {
  None,
  /// The connection failed, so no byte of the request was sent.
  NotSent,
  /// The request was sent at least in part, and no complete reply arrived in time.
  Lost,
  /// The call was cancelled with HttpCancel::Cancel().
  Cancelled,
};

struct HttpReply {
  HttpFailure m_failure = HttpFailure::None;
  int m_status = 0;
  std::string m_contentType;
  HttpHeaders m_headers;
  std::string m_body;
};

/// Returns the value of the first header with that name, ignoring case, or an empty string.
std::string FindHeader(const HttpReply& aReply, const std::string& aName);

/// Cancels a call from another thread.
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
  /// Time limit for establishing the connection.
  Duration m_connect = Milliseconds(500);
  /// Time limit for the next bytes of the reply.
  Duration m_readTimeout = Seconds(5);
  /// Time limit for the complete call. It is checked when bytes arrive, so the call may last longer
  /// by m_readTimeout.
  Duration m_totalTimeout = Seconds(5);
};

/// Receives the head of the reply and then its body bytes as they arrive. Returning false ends the
/// call.
struct HttpReceiver {
  std::function<bool(const HttpReply&)> m_head;
  std::function<bool(const char* aBytes, std::size_t aCount)> m_bytes;
};

/// Blocking HTTP/1.1 calls over keep-alive connections. Thread-safe.
class HttpTransport {
public:
  HttpTransport();
  ~HttpTransport();
  HttpTransport(const HttpTransport&) = delete;
  HttpTransport& operator=(const HttpTransport&) = delete;

  /// aAddress is "IP:PORT".
  HttpReply Call(const std::string& aAddress, const HttpRequest& aRequest,
                 const HttpLimits& aLimits);
  /// Like Call(), but the body of a reply with status 200 goes to the receiver instead of the
  /// reply.
  HttpReply CallStreamed(const std::string& aAddress, const HttpRequest& aRequest,
                         const HttpLimits& aLimits, const HttpReceiver& aReceiver,
                         HttpCancel& aCancel);

private:
  struct Pool;

  std::unique_ptr<httplib::Client> Acquire(const std::string& aAddress);
  void Release(const std::string& aAddress, std::unique_ptr<httplib::Client> aClient);

  std::unique_ptr<Pool> m_pool;
};

/// Percent-encodes all characters except unreserved ones (RFC 3986).
std::string PercentEncode(const std::string& aText);

} // namespace fennelline
