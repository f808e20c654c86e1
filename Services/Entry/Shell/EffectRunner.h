#pragma once

#include "LibPlatform/KeyValueClient.h"
#include "LibPlatform/RatingClient.h"
#include "LibWire/DatagramSocket.h"
#include "LibWire/PeerTransport.h"
#include "Services/Entry/EntryReducer.h"
#include "Services/Entry/Shell/BackendCaller.h"
#include "Services/Entry/Shell/EventQueue.h"
#include "Services/Entry/Shell/PendingAnswers.h"
#include "Services/Entry/Shell/Pollers.h"
#include "Services/Entry/Shell/TimelineSink.h"

#include <functional>

namespace fennelline {

/// The dependencies of EffectRunner.
struct EffectTargets {
  EventQueue& m_queue;
  PendingAnswers& m_answers;
  PeerTransport& m_peers;
  DatagramSocket& m_datagrams;
  BackendCaller& m_backends;
  Pollers& m_pollers;
  KeyValueClient& m_platform;
  RatingClient& m_ratings;
  BlockingCalls& m_calls;
  TimelineSink& m_timeline;
  /// Called once; the argument says whether the stop was clean.
  std::function<void(bool)> m_onStop;
};

/// Carries out the reducer's effects on sockets, threads and the platform without blocking.
class EffectRunner {
public:
  explicit EffectRunner(EffectTargets aTargets)
    : m_targets(std::move(aTargets)) {}

  void OnEvent(const Event& aEvent, Time aNow);
  void Run(EntryEffect aEffect, const EntryReducer& aReducer, Time aNow);

private:
  void Do(SendMessage aEffect, const EntryReducer& aReducer);
  void Do(const SendDatagram& aEffect);
  void Do(CallPlatform aEffect);
  void Do(SubmitRating aEffect);

  EffectTargets m_targets;
};

} // namespace fennelline
