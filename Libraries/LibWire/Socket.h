#pragma once

#include "LibBase/Error.h"

#include <netinet/in.h>
#include <string>
#include <string_view>
#include <utility>

namespace fennelline {

/// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int aNumber)
    : m_number(aNumber) {}
  FileDescriptor(FileDescriptor&& aOther) noexcept
    : m_number(std::exchange(aOther.m_number, kNone)) {}
  FileDescriptor& operator=(FileDescriptor&& aOther) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() { Close(); }

  int Number() const { return m_number; }
  bool IsOpen() const { return m_number != kNone; }
  void Close();

private:
  static constexpr int kNone = -1;
  int m_number = kNone;
};

/// Parses "IP:PORT" with an IPv4 address.
Result<sockaddr_in> ParseSocketAddress(std::string_view aText);

/// Creates a bound, non-blocking datagram socket.
Result<FileDescriptor> BindDatagram(const std::string& aAddress, int aPort);
/// Creates a bound and listening, non-blocking stream socket.
Result<FileDescriptor> ListenStream(const std::string& aAddress, int aPort);
/// Starts connecting a non-blocking stream socket, with TCP_NODELAY set.
Result<FileDescriptor> ConnectStream(const std::string& aAddress);
/// Accepts a connection as non-blocking. The result is not open if there is none.
FileDescriptor AcceptStream(const FileDescriptor& aListener);

/// The local port of a bound socket.
int LocalPort(const FileDescriptor& aSocket);

/// An eventfd that wakes up a poll: SignalWakeup() may be called from any thread, DrainWakeup() in
/// the polling one.
FileDescriptor MakeWakeup();
void SignalWakeup(const FileDescriptor& aWakeup);
void DrainWakeup(const FileDescriptor& aWakeup);

/// Makes an error from errno and its message.
Error IoError(const std::string& aWhat);

} // namespace fennelline
