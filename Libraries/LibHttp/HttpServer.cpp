#include "LibHttp/HttpServer.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Time limits of callers are whole seconds or more, so they are looked at this often.
constexpr Duration kSweepInterval = Milliseconds(250);

} // namespace

HttpServer::HttpServer(EventLoop& aLoop, std::shared_ptr<ServerContext> aContext,
                       std::size_t aMostChannels)
  : m_loop(aLoop)
  , m_context(std::move(aContext))
  , m_mostChannels(aMostChannels) {}

Result<void> HttpServer::Listen(const std::string& aAddress) {
  const sockaddr_in parsed = TRY(ParseSocketAddress(aAddress));
  const std::string ip = aAddress.substr(0, aAddress.rfind(':'));
  m_listener = TRY(ListenStream(ip, ntohs(parsed.sin_port)));
  m_watch = m_loop.Watch(m_listener.Number(), [this](const Readiness&) { AcceptAll(); });
  m_loop.Every(kSweepInterval, [this] { Sweep(); });
  return {};
}

void HttpServer::AcceptAll() {
  while (m_listener.IsOpen()) {
    FileDescriptor accepted = AcceptStream(m_listener);
    if (!accepted.IsOpen()) {
      return;
    }
    if (m_channels.size() >= m_mostChannels) {
      CloseLongestIdle();
    }
    std::shared_ptr<ServerConnection> channel = std::make_shared<ServerConnection>(
      m_loop, m_context, StreamSocket::Adopt(m_loop, std::move(accepted), {}));
    channel->Start();
    m_channels.insert(std::move(channel));
  }
}

void HttpServer::CloseLongestIdle() {
  std::shared_ptr<ServerConnection> oldest;
  for (const std::shared_ptr<ServerConnection>& channel : m_channels) {
    const bool isCandidate = channel->IsOpen() && channel->IsIdle();
    if (isCandidate && (!oldest || channel->IdleSince() < oldest->IdleSince())) {
      oldest = channel;
    }
  }
  if (oldest) {
    oldest->CloseIfIdle();
    m_channels.erase(oldest);
  }
}

void HttpServer::Sweep() {
  for (const std::shared_ptr<ServerConnection>& channel : m_channels) {
    channel->CheckTime(m_loop.Now());
  }
  std::erase_if(m_channels, [](const std::shared_ptr<ServerConnection>& aChannel) {
    return !aChannel->IsOpen();
  });
}

std::size_t HttpServer::CountBusy() const {
  return static_cast<std::size_t>(std::count_if(
    m_channels.begin(), m_channels.end(),
    [](const std::shared_ptr<ServerConnection>& aChannel) { return aChannel->IsBusy(); }));
}

} // namespace fennelline
