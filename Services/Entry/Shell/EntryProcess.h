#pragma once

#include "LibBase/Error.h"
#include "LibBase/Log.h"
#include "LibContract/EntrySettings.h"
#include "Services/Entry/Shell/AdminServer.h"
#include "Services/Entry/Shell/CallerServer.h"
#include "Services/Entry/Shell/EffectRunner.h"
#include "Services/Entry/Shell/ReducerLoop.h"

#include <future>
#include <memory>

namespace fennelline {

/// An entry process: its sockets, its threads and the reducer.
class EntryProcess {
public:
  /// aIncarnation makes the entry's name unique; aSeed seeds all random choices.
  EntryProcess(EntrySettings aSettings, const std::string& aIncarnation, std::uint64_t aSeed);

  /// Binds the sockets and starts the threads.
  Result<void> Start();
  /// Stops gracefully. Returns whether all requests were answered and all usage was settled.
  bool StopGracefully();

private:
  Result<MemberDigest> Bind();
  Result<void> WritePorts(const MemberDigest& aAddresses) const;
  std::string AddressOf(int aPort) const;

  EntrySettings m_settings;
  EntryId m_self;
  std::uint64_t m_seed;
  Logger m_log;
  SystemClock m_clock;
  TimelineSink m_timeline;
  EventQueue m_queue;
  PendingAnswers m_answers;
  HttpTransport m_http;
  std::promise<bool> m_stopped;

  std::unique_ptr<BlockingCalls> m_calls;
  std::unique_ptr<CallerServer> m_callers;
  std::unique_ptr<AdminServer> m_admin;
  std::unique_ptr<PeerTransport> m_peers;
  std::unique_ptr<DatagramSocket> m_datagrams;
  std::unique_ptr<BackendCaller> m_backends;
  std::unique_ptr<Pollers> m_pollers;
  std::unique_ptr<KeyValueClient> m_platform;
  std::unique_ptr<RatingClient> m_ratings;
  std::unique_ptr<EntryReducer> m_reducer;
  std::unique_ptr<EffectRunner> m_runner;
  std::unique_ptr<ReducerLoop<EffectRunner, SystemClock>> m_loop;
};

} // namespace fennelline
