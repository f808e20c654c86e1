#include "Services/Entry/Shell/EffectRunner.h"

#include <type_traits>

namespace fennelline {

void EffectRunner::OnEvent(const Event& aEvent, Time aNow) {
  m_targets.m_timeline.OnEvent(aEvent, aNow);
  // A broken call may mean that the server crashed, which a load poll reveals.
  const BackendFailed* failed = std::get_if<BackendFailed>(&aEvent);
  if (failed != nullptr && !failed->m_backendServer.empty()) {
    m_targets.m_pollers.PollLoadNow(failed->m_backendServer);
  }
}

void EffectRunner::Run(EntryEffect aEffect, const EntryReducer& aReducer, Time aNow) {
  std::visit(
    [&](auto& aItem) {
      using Kind = std::decay_t<decltype(aItem)>;
      if constexpr (std::is_same_v<Kind, SendMessage>) {
        Do(std::move(aItem), aReducer);
      } else if constexpr (std::is_same_v<Kind, SendDatagram>) {
        Do(aItem);
      } else if constexpr (std::is_same_v<Kind, CallPlatform> ||
                           std::is_same_v<Kind, SubmitRating>) {
        Do(std::move(aItem));
      } else if constexpr (std::is_same_v<Kind, RecordTimeline>) {
        m_targets.m_timeline.Record(std::move(aItem.m_record), aNow);
      } else if constexpr (std::is_same_v<Kind, CallBackend>) {
        m_targets.m_backends.Start(std::move(aItem));
      } else if constexpr (std::is_same_v<Kind, CancelBackend>) {
        m_targets.m_backends.Cancel(aItem);
      } else if constexpr (std::is_same_v<Kind, StopNow>) {
        m_targets.m_onStop(aItem.m_clean);
      } else {
        const CallerId caller = aItem.m_caller;
        m_targets.m_answers.Push(caller, std::move(aItem));
      }
    },
    aEffect);
}

void EffectRunner::Do(SendMessage aEffect, const EntryReducer& aReducer) {
  const std::string address = aReducer.StreamAddressOf(aEffect.m_to);
  if (!address.empty()) {
    m_targets.m_peers.Send(aEffect.m_to, address, std::move(aEffect.m_message));
  }
}

void EffectRunner::Do(const SendDatagram& aEffect) {
  // A datagram that cannot be sent is treated as lost.
  static_cast<void>(m_targets.m_datagrams.Send(aEffect.m_address, aEffect.m_datagram));
}

void EffectRunner::Do(CallPlatform aEffect) {
  m_targets.m_calls.Run([this, effect = std::move(aEffect)]() {
    m_targets.m_queue.Post(m_targets.m_platform.Call(effect.m_call, effect.m_request));
  });
}

void EffectRunner::Do(SubmitRating aEffect) {
  m_targets.m_calls.Run([this, effect = std::move(aEffect)]() {
    const Result<bool> verdict = m_targets.m_ratings.RequestRating({.m_kind = effect.m_kind,
                                                                    .m_version = effect.m_version,
                                                                    .m_prompt = effect.m_prompt,
                                                                    .m_answer = effect.m_answer});
    m_targets.m_queue.Post(RatingArrived{.m_rating = effect.m_rating,
                                         .m_good = !verdict.IsError() && verdict.Get(),
                                         .m_failed = verdict.IsError()});
  });
}

} // namespace fennelline
