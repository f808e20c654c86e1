#include "Services/Entry/Shell/EntryProcess.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace fennelline {

namespace {

constexpr std::size_t kMaxBlockingCalls = 256;
constexpr Duration kPlatformTimeout = Seconds(2);
constexpr Duration kRatingTimeout = Seconds(10);

} // namespace

EntryProcess::EntryProcess(EntrySettings aSettings, const std::string& aIncarnation,
                           std::uint64_t aSeed)
  : m_settings(std::move(aSettings))
  , m_self(m_settings.m_name + "#" + aIncarnation)
  , m_seed(aSeed)
  , m_log(MakeLogger("entry"))
  , m_timeline(m_self) {}

std::string EntryProcess::AddressOf(int aPort) const {
  return m_settings.m_address + ":" + std::to_string(aPort);
}

Result<MemberDigest> EntryProcess::Bind() {
  m_callers = std::make_unique<CallerServer>(
    CallerServerSettings{.m_address = m_settings.m_address,
                         .m_port = m_settings.m_callerPort,
                         .m_entryListLife = m_settings.m_entryListLife},
    m_queue, m_answers);
  m_admin =
    std::make_unique<AdminServer>(m_settings.m_address, m_settings.m_adminPort,
                                  m_settings.m_sharedSecrets, m_queue, m_timeline.Recorder());
  m_peers = std::make_unique<PeerTransport>(
    PeerTransportSettings{.m_self = m_self,
                          .m_address = m_settings.m_address,
                          .m_port = m_settings.m_streamPort,
                          .m_sharedSecrets = m_settings.m_sharedSecrets,
                          .m_readClock = [this]() { return m_timeline.ReadClock(m_clock.Now()); }},
    [this](Envelope aEnvelope) {
      m_timeline.Observe(aEnvelope.m_clock, m_clock.Now());
      m_queue.Post(MessageReceived{.m_from = std::move(aEnvelope.m_from),
                                   .m_message = std::move(aEnvelope.m_message)});
    });
  m_datagrams = std::make_unique<DatagramSocket>(
    DatagramSocketSettings{.m_address = m_settings.m_address,
                           .m_port = m_settings.m_datagramPort,
                           .m_sharedSecrets = m_settings.m_sharedSecrets},
    [this](MembershipDatagram aDatagram) {
      m_queue.Post(DatagramReceived{.m_datagram = std::move(aDatagram)});
    });
  MemberDigest addresses;
  addresses.m_callerAddress = AddressOf(TRY(m_callers->Bind()));
  addresses.m_adminAddress = AddressOf(TRY(m_admin->Bind()));
  addresses.m_streamAddress = AddressOf(TRY(m_peers->Start()));
  addresses.m_datagramAddress = AddressOf(TRY(m_datagrams->Start()));
  return addresses;
}

Result<void> EntryProcess::Start() {
  const MemberDigest addresses = TRY(Bind());
  const auto post = [this](Event aEvent) { m_queue.Post(std::move(aEvent)); };
  m_calls = std::make_unique<BlockingCalls>(kMaxBlockingCalls);
  m_backends = std::make_unique<BackendCaller>(m_http, *m_calls, post);
  m_pollers = std::make_unique<Pollers>(m_http, m_settings.m_platformAddress, *m_calls, post);
  m_platform =
    std::make_unique<KeyValueClient>(m_http, m_settings.m_platformAddress, kPlatformTimeout);
  m_ratings = std::make_unique<RatingClient>(m_http, m_settings.m_platformAddress, kRatingTimeout);
  m_reducer = std::make_unique<EntryReducer>(EntryStart{
    .m_settings = m_settings, .m_self = m_self, .m_addresses = addresses, .m_seed = m_seed});
  m_runner = std::make_unique<EffectRunner>(
    EffectTargets{.m_queue = m_queue,
                  .m_answers = m_answers,
                  .m_peers = *m_peers,
                  .m_datagrams = *m_datagrams,
                  .m_backends = *m_backends,
                  .m_pollers = *m_pollers,
                  .m_platform = *m_platform,
                  .m_ratings = *m_ratings,
                  .m_calls = *m_calls,
                  .m_timeline = m_timeline,
                  .m_onStop = [this](bool aClean) { m_stopped.set_value(aClean); }});
  m_loop = std::make_unique<ReducerLoop<EffectRunner, SystemClock>>(m_queue, *m_reducer, *m_runner,
                                                                    m_clock);
  m_loop->Start();
  m_pollers->Start();
  m_callers->Start();
  m_admin->Start();
  m_log->info("Serving callers on {} as {}.", addresses.m_callerAddress, m_self);
  return WritePorts(addresses);
}

Result<void> EntryProcess::WritePorts(const MemberDigest& aAddresses) const {
  if (m_settings.m_portsFile.empty()) {
    return {};
  }
  const nlohmann::json ports = {{"entry", m_self},
                                {"caller_address", aAddresses.m_callerAddress},
                                {"admin_address", aAddresses.m_adminAddress},
                                {"stream_address", aAddresses.m_streamAddress},
                                {"datagram_address", aAddresses.m_datagramAddress}};
  const std::string temporary = m_settings.m_portsFile + ".new";
  std::ofstream(temporary) << ports.dump() << "\n";
  // A rename is atomic, so readers that wait for the file never see partial content.
  if (std::rename(temporary.c_str(), m_settings.m_portsFile.c_str()) != 0) {
    return MakeError(ErrorCode::Io, "cannot write " + m_settings.m_portsFile);
  }
  return {};
}

bool EntryProcess::StopGracefully() {
  m_log->info("Leaving: callers are sent elsewhere, requests in flight go on.");
  m_queue.Post(StopRequested{});
  const bool clean = m_stopped.get_future().get();
  if (clean) {
    m_log->info("All requests are answered and all usage is settled.");
  } else {
    m_log->warn("The stop limit passed with requests or usage outstanding.");
  }
  m_callers->Stop();
  m_admin->Stop();
  m_pollers->Stop();
  m_calls.reset();
  m_loop->Stop();
  m_peers->Stop();
  m_datagrams->Stop();
  return clean;
}

} // namespace fennelline
