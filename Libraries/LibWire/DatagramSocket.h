#pragma once

#include "LibBase/Error.h"
#include "LibCoordination/MembershipMessages.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace fennelline {

struct DatagramSocketSettings {
  /// The IPv4 address to bind.
  std::string m_address = "127.0.0.1";
  /// Port 0 selects a free one.
  int m_port = 0;
  /// The first secret authenticates sent datagrams; received ones may use any of the secrets.
  std::vector<std::string> m_sharedSecrets;
};

/// Sends and receives membership datagrams over UDP. Received datagrams are delivered on the
/// socket's own thread; those that are malformed or not authenticated by a known secret are dropped
/// and counted.
class DatagramSocket {
public:
  using OnDatagram = std::function<void(MembershipDatagram)>;

  DatagramSocket(DatagramSocketSettings aSettings, OnDatagram aOnDatagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Binds the socket and starts receiving. Returns the bound port.
  Result<int> Start();
  /// Stops the thread. No callback runs after it returns.
  void Stop();

  /// Sends to "IP:PORT"; thread-safe. On an error nothing was sent.
  Result<void> Send(const std::string& aAddress, const MembershipDatagram& aDatagram);

  std::uint64_t CountRefused() const { return m_refused.load(); }

private:
  struct Descriptors;

  void Run();
  void ReceiveAll();

  DatagramSocketSettings m_settings;
  OnDatagram m_onDatagram;
  std::unique_ptr<Descriptors> m_descriptors;
  std::thread m_thread;
  std::atomic<std::uint64_t> m_refused = 0;
};

} // namespace fennelline
