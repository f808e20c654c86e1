#include "LibWire/DatagramSocket.h"

#include "LibWire/MessageCodec.h"
#include "LibWire/Socket.h"

#include <array>
#include <poll.h>
#include <sys/socket.h>

namespace fennelline {

struct DatagramSocket::Descriptors {
  FileDescriptor m_socket;
  FileDescriptor m_wakeup;
  std::atomic<bool> m_stopping = false;
};

DatagramSocket::DatagramSocket(DatagramSocketSettings aSettings, OnDatagram aOnDatagram)
  : m_settings(std::move(aSettings))
  , m_onDatagram(std::move(aOnDatagram))
  , m_descriptors(std::make_unique<Descriptors>()) {}

DatagramSocket::~DatagramSocket() {
  Stop();
}

Result<int> DatagramSocket::Start() {
  if (m_settings.m_sharedSecrets.empty()) {
    return MakeError(ErrorCode::InvalidField, "shared_secrets: must have at least one secret");
  }
  m_descriptors->m_socket = TRY(BindDatagram(m_settings.m_address, m_settings.m_port));
  m_descriptors->m_wakeup = MakeWakeup();
  m_thread = std::thread([this] { Run(); });
  return LocalPort(m_descriptors->m_socket);
}

void DatagramSocket::Stop() {
  m_descriptors->m_stopping = true;
  if (m_thread.joinable()) {
    SignalWakeup(m_descriptors->m_wakeup);
    m_thread.join();
  }
}

Result<void> DatagramSocket::Send(const std::string& aAddress,
                                  const MembershipDatagram& aDatagram) {
  const sockaddr_in address = TRY(ParseSocketAddress(aAddress));
  const std::string bytes = EncodeDatagram(aDatagram, m_settings.m_sharedSecrets.front());
  if (bytes.size() > kMaxDatagramBytes) {
    return MakeError(ErrorCode::LimitExceeded,
                     "the datagram is too long: " + std::to_string(bytes.size()) + " bytes");
  }
  const ssize_t sent =
    ::sendto(m_descriptors->m_socket.Number(), bytes.data(), bytes.size(), MSG_DONTWAIT,
             reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (sent < 0) {
    return IoError("cannot send a datagram to " + aAddress);
  }
  return {};
}

void DatagramSocket::Run() {
  std::array<pollfd, 2> polled = {
    {{m_descriptors->m_socket.Number(), POLLIN, 0}, {m_descriptors->m_wakeup.Number(), POLLIN, 0}}};
  constexpr int kNoTimeout = -1;
  while (!m_descriptors->m_stopping) {
    if (::poll(polled.data(), polled.size(), kNoTimeout) > 0) {
      ReceiveAll();
    }
  }
}

void DatagramSocket::ReceiveAll() {
  // One byte more than the limit, so that a datagram that is too long is detected.
  std::array<char, kMaxDatagramBytes + 1> buffer;
  while (!m_descriptors->m_stopping) {
    const ssize_t length =
      ::recv(m_descriptors->m_socket.Number(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (length < 0) {
      return;
    }
    const std::string_view bytes(buffer.data(), static_cast<std::size_t>(length));
    Result<MembershipDatagram> datagram = DecodeDatagram(bytes, m_settings.m_sharedSecrets);
    if (datagram) {
      m_onDatagram(datagram.Take());
    } else {
      m_refused.fetch_add(1);
    }
  }
}

} // namespace fennelline
