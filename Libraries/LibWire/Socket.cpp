#include "LibWire/Socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <limits>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fennelline {

namespace {

constexpr int kListenBacklog = 512;

sockaddr* Generic(sockaddr_in& aAddress) {
  return reinterpret_cast<sockaddr*>(&aAddress);
}

void SetOption(const FileDescriptor& aSocket, int aLevel, int aOption) {
  const int on = 1;
  setsockopt(aSocket.Number(), aLevel, aOption, &on, sizeof(on));
}

Result<FileDescriptor> Bind(const std::string& aAddress, int aPort, int aType) {
  sockaddr_in address = TRY(ParseSocketAddress(aAddress + ":" + std::to_string(aPort)));
  FileDescriptor socket(::socket(AF_INET, aType | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket.IsOpen()) {
    return IoError("cannot create a socket");
  }
  // On datagram sockets, the option would let two of them have the same port: the system may then
  // even choose a used one, and only the last socket receives anything.
  if (aType == SOCK_STREAM) {
    SetOption(socket, SOL_SOCKET, SO_REUSEADDR);
  }
  if (::bind(socket.Number(), Generic(address), sizeof(address)) != 0) {
    return IoError("cannot bind " + aAddress + ":" + std::to_string(aPort));
  }
  return socket;
}

} // namespace

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& aOther) noexcept {
  if (this != &aOther) {
    Close();
    m_number = std::exchange(aOther.m_number, kNone);
  }
  return *this;
}

void FileDescriptor::Close() {
  if (IsOpen()) {
    ::close(std::exchange(m_number, kNone));
  }
}

Result<sockaddr_in> ParseSocketAddress(std::string_view aText) {
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return MakeError(ErrorCode::InvalidField, "\"" + std::string(aText) + "\" is not IP:PORT");
  }
  const std::string ip(aText.substr(0, colon));
  const std::string_view portText = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const char* end = portText.data() + portText.size();
  const std::from_chars_result parsed = std::from_chars(portText.data(), end, port);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  const bool portFits = parsed.ec == std::errc() && parsed.ptr == end;
  if (!portFits || inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    return MakeError(ErrorCode::InvalidField, "\"" + std::string(aText) + "\" is not IP:PORT");
  }
  return address;
}

Result<FileDescriptor> BindDatagram(const std::string& aAddress, int aPort) {
  return Bind(aAddress, aPort, SOCK_DGRAM);
}

Result<FileDescriptor> ListenStream(const std::string& aAddress, int aPort) {
  FileDescriptor socket = TRY(Bind(aAddress, aPort, SOCK_STREAM));
  if (::listen(socket.Number(), kListenBacklog) != 0) {
    return IoError("cannot listen on " + aAddress + ":" + std::to_string(aPort));
  }
  return socket;
}

Result<FileDescriptor> ConnectStream(const std::string& aAddress) {
  sockaddr_in address = TRY(ParseSocketAddress(aAddress));
  FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket.IsOpen()) {
    return IoError("cannot create a socket");
  }
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY);
  const int outcome = ::connect(socket.Number(), Generic(address), sizeof(address));
  if (outcome != 0 && errno != EINPROGRESS) {
    return IoError("cannot connect to " + aAddress);
  }
  return socket;
}

FileDescriptor AcceptStream(const FileDescriptor& aListener) {
  FileDescriptor socket(
    ::accept4(aListener.Number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (socket.IsOpen()) {
    SetOption(socket, IPPROTO_TCP, TCP_NODELAY);
  }
  return socket;
}

int LocalPort(const FileDescriptor& aSocket) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(aSocket.Number(), Generic(address), &length);
  return ntohs(address.sin_port);
}

FileDescriptor MakeWakeup() {
  return FileDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
}

void SignalWakeup(const FileDescriptor& aWakeup) {
  // A full counter already wakes up the poll, so a failed write needs no handling.
  [[maybe_unused]] const int outcome = eventfd_write(aWakeup.Number(), 1);
}

void DrainWakeup(const FileDescriptor& aWakeup) {
  eventfd_t count = 0;
  [[maybe_unused]] const int outcome = eventfd_read(aWakeup.Number(), &count);
}

Error IoError(const std::string& aWhat) {
  const std::error_code code(errno, std::generic_category());
  return Error{.m_code = code, .m_detail = aWhat + ": " + code.message()};
}

} // namespace fennelline
