#pragma once

#include "LibBase/Error.h"
#include "LibTimeline/TimelineRecorder.h"
#include "Services/Entry/Shell/EventQueue.h"

#include <memory>
#include <string>
#include <vector>

namespace fennelline {

/// The HTTP server for operators, the roll-out process and Prometheus. All paths except /metrics
/// require "Authorization: Bearer SECRET" with one of the shared secrets.
class AdminServer {
public:
  AdminServer(std::string aAddress, int aPort, std::vector<std::string> aSecrets,
              EventQueue& aQueue, const TimelineRecorder& aTimeline);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  Result<int> Bind();
  void Start();
  void Stop();

private:
  struct Server;
  std::unique_ptr<Server> m_server;
};

} // namespace fennelline
