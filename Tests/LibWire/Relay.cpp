#include "Tests/LibWire/Relay.h"

#include "LibWire/Socket.h"

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace fennelline::test {

namespace {

constexpr int kPollMs = 5;

struct Link {
  FileDescriptor m_client;
  FileDescriptor m_server;
  bool m_stopped = false;
  bool m_losesReplies = false;
};

constexpr int kDiscard = -1;

void SendAll(int aTo, const char* aBytes, std::size_t aLength) {
  while (aLength > 0) {
    const ssize_t sent = ::send(aTo, aBytes, aLength, MSG_NOSIGNAL);
    if (sent > 0) {
      aBytes += sent;
      aLength -= static_cast<std::size_t>(sent);
      continue;
    }
    pollfd writable{aTo, POLLOUT, 0};
    if (::poll(&writable, 1, 1'000) <= 0) {
      return;
    }
  }
}

/// Returns false once the end that it reads from has closed.
bool Forward(int aFrom, int aTo) {
  std::array<char, 65'536> buffer;
  const ssize_t length = ::recv(aFrom, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (length > 0 && aTo != kDiscard) {
    SendAll(aTo, buffer.data(), static_cast<std::size_t>(length));
  }
  return length != 0;
}

} // namespace

Relay::Relay(std::string aTarget)
  : m_target(std::move(aTarget)) {
  FileDescriptor listener = ListenStream("127.0.0.1", 0).Take();
  m_port = LocalPort(listener);
  m_listener = ::dup(listener.Number());
  m_thread = std::thread([this] { Run(); });
}

Relay::~Relay() {
  m_stopping = true;
  m_thread.join();
}

std::string Relay::Address() const {
  return "127.0.0.1:" + std::to_string(m_port);
}

void Relay::Run() {
  const FileDescriptor listener(m_listener);
  std::vector<Link> links;
  while (!m_stopping) {
    std::vector<pollfd> polled = {{listener.Number(), POLLIN, 0}};
    for (const Link& link : links) {
      polled.push_back({link.m_stopped ? -1 : link.m_client.Number(), POLLIN, 0});
      polled.push_back({link.m_stopped ? -1 : link.m_server.Number(), POLLIN, 0});
    }
    ::poll(polled.data(), polled.size(), kPollMs);
    if (m_silence.exchange(false)) {
      for (Link& link : links) {
        link.m_stopped = true;
      }
    }
    if (m_loseReplies.exchange(false)) {
      for (Link& link : links) {
        link.m_losesReplies = true;
      }
    }
    for (std::size_t index = 0; index < links.size(); ++index) {
      Link& link = links[index];
      if (!link.m_stopped && polled[1 + 2 * index].revents != 0) {
        link.m_stopped = !Forward(link.m_client.Number(), link.m_server.Number());
      }
      if (!link.m_stopped && polled[2 + 2 * index].revents != 0) {
        const int back = link.m_losesReplies ? kDiscard : link.m_client.Number();
        link.m_stopped = !Forward(link.m_server.Number(), back);
      }
    }
    FileDescriptor client = AcceptStream(listener);
    if (client.IsOpen()) {
      ++m_accepted;
      links.push_back({std::move(client), ConnectStream(m_target).Take(), false, false});
    }
  }
}

} // namespace fennelline::test
