#include "Utilities/Relay/Relay.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fennelline {

namespace {

constexpr std::size_t kBufferBytes = 16'384;
constexpr int kBacklog = 128;

sockaddr_in AddressOf(const std::string& aHost, int aPort) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

void SetNoDelay(int aSocket) {
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// Returns a connected socket, or -1 on failure.
int Connect(const std::string& aTarget) {
  const std::size_t colon = aTarget.rfind(':');
  const int port = std::atoi(aTarget.c_str() + colon +
                             1); // NOLINT(bugprone-unchecked-string-to-number-conversion)
  const sockaddr_in address = AddressOf(aTarget.substr(0, colon), port);
  const int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(target, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(target);
    return -1;
  }
  SetNoDelay(target);
  return target;
}

bool SendAll(int aSocket, const char* aBytes, std::size_t aCount) {
  std::size_t sent = 0;
  while (sent < aCount) {
    const ssize_t count = send(aSocket, aBytes + sent, aCount - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

} // namespace

Relay::Relay(std::string aTarget)
  : m_target(std::move(aTarget)) {}

Relay::~Relay() {
  m_stopping = true;
  if (m_listener >= 0) {
    shutdown(m_listener, SHUT_RDWR);
  }
  if (m_acceptor.joinable()) {
    m_acceptor.join();
  }
  CutOpen();
  for (std::thread& pump : m_pumps) {
    pump.join();
  }
  CloseFinished();
  if (m_listener >= 0) {
    close(m_listener);
  }
}

Result<int> Relay::Start(int aPort) {
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf("127.0.0.1", aPort);
  socklen_t length = sizeof(address);
  const bool isBound = bind(m_listener, reinterpret_cast<const sockaddr*>(&address), length) == 0 &&
                       listen(m_listener, kBacklog) == 0 &&
                       getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length) == 0;
  if (!isBound) {
    return MakeError(ErrorCode::Io, "cannot listen on port " + std::to_string(aPort));
  }
  m_acceptor = std::thread([this] { Accept(); });
  return static_cast<int>(ntohs(address.sin_port));
}

void Relay::Accept() {
  while (!m_stopping) {
    const int caller = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller >= 0) {
      SetNoDelay(caller);
      Open(caller);
    }
  }
}

void Relay::Open(int aCaller) {
  const int target = Connect(m_target);
  if (target < 0) {
    close(aCaller);
    return;
  }
  const std::shared_ptr<Connection> connection = std::make_shared<Connection>();
  connection->m_caller = aCaller;
  connection->m_target = target;
  connection->m_silent = m_silenceNew.load();
  CloseFinished();
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_connections.push_back(connection);
  m_pumps.emplace_back([this, connection] { Pump(connection, true); });
  m_pumps.emplace_back([this, connection] { Pump(connection, false); });
}

void Relay::Pump(const std::shared_ptr<Connection>& aConnection, bool aToTarget) {
  const int from = aToTarget ? aConnection->m_caller : aConnection->m_target;
  const int to = aToTarget ? aConnection->m_target : aConnection->m_caller;
  std::array<char, kBufferBytes> buffer{};
  while (true) {
    const ssize_t count = recv(from, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      break;
    }
    const bool isForwarded =
      aConnection->m_silent || SendAll(to, buffer.data(), static_cast<std::size_t>(count));
    if (!isForwarded) {
      break;
    }
  }
  // A silent connection does not propagate the close of one end to the other.
  if (!aConnection->m_silent) {
    shutdown(to, SHUT_WR);
  }
  --aConnection->m_openDirections;
}

void Relay::CloseFinished() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::erase_if(m_connections, [](const std::shared_ptr<Connection>& aConnection) {
    if (aConnection->m_openDirections > 0) {
      return false;
    }
    close(aConnection->m_caller);
    close(aConnection->m_target);
    return true;
  });
}

void Relay::SilenceOpen() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const std::shared_ptr<Connection>& connection : m_connections) {
    connection->m_silent = true;
  }
}

void Relay::CutOpen() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const std::shared_ptr<Connection>& connection : m_connections) {
    shutdown(connection->m_caller, SHUT_RDWR);
    shutdown(connection->m_target, SHUT_RDWR);
  }
}

std::size_t Relay::OpenConnections() {
  CloseFinished();
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_connections.size();
}

} // namespace fennelline
