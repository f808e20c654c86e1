#pragma once

#include "LibBase/Error.h"

#include <netinet/in.h>
#include <string>
#include <string_view>
#include <utility>

namespace fennelline {

/// Owns a file descriptor and closes it at the end.
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

/// A bound datagram socket, non-blocking.
Result<FileDescriptor> BindDatagram(const std::string& aAddress, int aPort);
/// A bound and listening stream socket, non-blocking.
Result<FileDescriptor> ListenStream(const std::string& aAddress, int aPort);
/// Starts to connect a non-blocking stream socket without delay of small segments.
Result<FileDescriptor> ConnectStream(const std::string& aAddress);
/// Accepts a connection as non-blocking. Not open when there is none.
FileDescriptor AcceptStream(const FileDescriptor& aListener);

/// The local port of a bound socket.
int LocalPort(const FileDescriptor& aSocket);

/// A counter that wakes a poll: Signal() from any thread, Drain() in the polling one.
FileDescriptor MakeWakeup();
void SignalWakeup(const FileDescriptor& aWakeup);
void DrainWakeup(const FileDescriptor& aWakeup);

/// The text of errno.
Error IoError(const std::string& aWhat);

} // namespace fennelline
