#include "LibCoordination/Claims/ClaimTable.h"

#include "LibCoordination/Claims/ClaimCoordinator.h"
#include "LibCoordination/Claims/ClaimHolder.h"
#include "LibCoordination/Claims/ClaimMembers.h"
#include "LibCoordination/Claims/OutcomeReplicator.h"
#include "LibCoordination/Claims/OwnedAttempts.h"
#include "LibCoordination/Claims/ViewDirectory.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace fennelline {

struct ClaimTable::Impl {
  Impl(ClaimSettings aSettings, EntryId aSelf, DataCentre aDataCentre, std::uint64_t aSeed)
    : m_settings(aSettings)
    , m_self(std::move(aSelf))
    , m_members(m_settings, m_self, std::move(aDataCentre))
    , m_views(m_settings, m_self, m_members, aSeed)
    , m_holder(m_settings, m_self, m_views)
    , m_owned(m_settings, m_self)
    , m_coordinator(m_settings, m_self, m_views, m_members, m_owned)
    , m_replicator(m_settings, m_views) {}

  void OnMessage(const EntryId& aFrom, const Message& aMessage, ClaimStep& aStep, Time aNow);
  void OnRequest(const EntryId& aFrom, const ClaimRequest& aRequest, ClaimStep& aStep, Time aNow);
  void OnReply(const EntryId& aFrom, const ClaimReply& aReply, ClaimStep& aStep, Time aNow);
  void OnOutcome(const EntryId& aFrom, const ClaimOutcome& aOutcome, ClaimStep& aStep, Time aNow);
  void OnQuery(const EntryId& aFrom, const AnswerQuery& aQuery, ClaimStep& aStep);
  void OnViewAdopt(const EntryId& aFrom, const ClaimView& aView, ClaimStep& aStep, Time aNow);
  void OnViewChanged(const ClaimView& aView, ClaimStep& aStep, Time aNow);
  void End(OwnedAttempt& aAttempt, AttemptState aState, ClaimStep& aStep, Time aNow);
  ClaimStep DeliverToSelf(ClaimStep aStep, Time aNow);

  const ClaimSettings m_settings;
  const EntryId m_self;
  ClaimMembers m_members;
  ViewDirectory m_views;
  ClaimHolder m_holder;
  OwnedAttempts m_owned;
  ClaimCoordinator m_coordinator;
  OutcomeReplicator m_replicator;
};

namespace {

/// Queues a message. DeliverToSelf() turns messages to this entry into direct calls.
void Send(const EntryId& aTo, Message aMessage, Effects& aEffects) {
  aEffects.push_back(SendMessage{.m_to = aTo, .m_message = std::move(aMessage)});
}

} // namespace

void ClaimTable::Impl::OnMessage(const EntryId& aFrom, const Message& aMessage, ClaimStep& aStep,
                                 Time aNow) {
  if (const ClaimRequest* request = std::get_if<ClaimRequest>(&aMessage)) {
    OnRequest(aFrom, *request, aStep, aNow);
  } else if (const ClaimReply* reply = std::get_if<ClaimReply>(&aMessage)) {
    OnReply(aFrom, *reply, aStep, aNow);
  } else if (const ClaimRelease* release = std::get_if<ClaimRelease>(&aMessage)) {
    m_holder.Release(*release);
  } else if (const ClaimOutcome* outcome = std::get_if<ClaimOutcome>(&aMessage)) {
    OnOutcome(aFrom, *outcome, aStep, aNow);
  } else if (const ClaimOutcomeAck* ack = std::get_if<ClaimOutcomeAck>(&aMessage)) {
    m_replicator.OnAck(aFrom, *ack);
  } else if (const AnswerQuery* query = std::get_if<AnswerQuery>(&aMessage)) {
    OnQuery(aFrom, *query, aStep);
  } else if (const AnswerReply* answer = std::get_if<AnswerReply>(&aMessage)) {
    m_coordinator.OnAnswer(aFrom, *answer, aStep, aNow);
  } else if (const ViewAnnouncement* adopt = std::get_if<ViewAnnouncement>(&aMessage)) {
    OnViewAdopt(aFrom, adopt->m_view, aStep, aNow);
  } else if (const SlotHandoverPage* page = std::get_if<SlotHandoverPage>(&aMessage)) {
    m_holder.OnHandover(aFrom, *page, aStep.m_effects, aNow);
  }
}

void ClaimTable::Impl::OnRequest(const EntryId& aFrom, const ClaimRequest& aRequest,
                                 ClaimStep& aStep, Time aNow) {
  const ClaimReply reply = m_holder.Vote(aRequest, aNow);
  const ClaimView* const view = m_views.Find(aRequest.m_shard);
  const bool isNewerHere = view != nullptr && view->m_number > aRequest.m_view;
  if (reply.m_vote == VoteResult::OtherView && isNewerHere) {
    Send(aFrom, ViewAnnouncement{.m_view = *view}, aStep.m_effects);
  } else if (reply.m_vote == VoteResult::OtherView) {
    m_views.RequestRefresh(aNow);
  }
  Send(aFrom, reply, aStep.m_effects);
}

void ClaimTable::Impl::OnReply(const EntryId& aFrom, const ClaimReply& aReply, ClaimStep& aStep,
                               Time aNow) {
  const ClaimView* const view = m_views.Find(aReply.m_shard);
  if (aReply.m_vote != VoteResult::OtherView) {
    m_coordinator.OnReply(aFrom, aReply, aStep, aNow);
  } else if (view != nullptr && aReply.m_view < view->m_number) {
    Send(aFrom, ViewAnnouncement{.m_view = *view}, aStep.m_effects);
  } else {
    m_views.RequestRefresh(aNow);
  }
}

void ClaimTable::Impl::OnOutcome(const EntryId& aFrom, const ClaimOutcome& aOutcome,
                                 ClaimStep& aStep, Time aNow) {
  const std::optional<ClaimOutcomeAck> stored = m_holder.Store(aOutcome, aNow);
  const ClaimView* const view = m_views.Find(aOutcome.m_shard);
  if (stored) {
    Send(aFrom, *stored, aStep.m_effects);
  } else if (view != nullptr) {
    Send(aFrom, ViewAnnouncement{.m_view = *view}, aStep.m_effects);
  }
}

void ClaimTable::Impl::OnQuery(const EntryId& aFrom, const AnswerQuery& aQuery, ClaimStep& aStep) {
  OwnedAttempt* const attempt = m_owned.Find(aQuery.m_identity, aQuery.m_attempt);
  if (attempt != nullptr && !attempt->HasEnded()) {
    std::vector<EntryId>& waiters = attempt->m_waiters;
    if (std::find(waiters.begin(), waiters.end(), aFrom) == waiters.end()) {
      waiters.push_back(aFrom);
    }
  }
  Send(aFrom, m_owned.Answer(aQuery), aStep.m_effects);
}

void ClaimTable::Impl::OnViewAdopt(const EntryId& aFrom, const ClaimView& aView, ClaimStep& aStep,
                                   Time aNow) {
  if (m_views.Offer(aView)) {
    OnViewChanged(aView, aStep, aNow);
  }
  const ClaimView* const known = m_views.Find(aView.m_shard);
  if (known != nullptr && known->m_revision > aView.m_revision) {
    Send(aFrom, ViewAnnouncement{.m_view = *known}, aStep.m_effects);
    return;
  }
  m_holder.HandOver(aFrom, aView, aStep.m_effects, aNow);
}

void ClaimTable::Impl::OnViewChanged(const ClaimView& aView, ClaimStep& aStep, Time aNow) {
  m_holder.Adopt(aView, aStep.m_effects, aNow);
  m_coordinator.OnView(aView, aStep, aNow);
}

/// Ends an attempt that may have been sent, and replicates its outcome to the holders.
void ClaimTable::Impl::End(OwnedAttempt& aAttempt, AttemptState aState, ClaimStep& aStep,
                           Time aNow) {
  m_owned.End(aAttempt, aState, aNow);
  m_replicator.Start(m_owned.Describe(aAttempt), aStep.m_effects, aNow);
  m_coordinator.AnnounceEnd(aAttempt, aStep, aNow);
}

/// Removes the messages to this entry from the effects and handles them directly.
ClaimTable::ClaimStep ClaimTable::Impl::DeliverToSelf(ClaimStep aStep, Time aNow) {
  ClaimStep delivered;
  while (!aStep.m_effects.empty() || !aStep.m_outcomes.empty()) {
    ClaimStep next;
    for (Effect& effect : aStep.m_effects) {
      const SendMessage* message = std::get_if<SendMessage>(&effect);
      if (message != nullptr && message->m_to == m_self) {
        OnMessage(m_self, message->m_message, next, aNow);
      } else {
        delivered.m_effects.push_back(std::move(effect));
      }
    }
    std::move(aStep.m_outcomes.begin(), aStep.m_outcomes.end(),
              std::back_inserter(delivered.m_outcomes));
    aStep = std::move(next);
  }
  return delivered;
}

ClaimTable::ClaimTable(ClaimSettings aSettings, EntryId aSelf, DataCentre aDataCentre,
                       std::uint64_t aSeed)
  : m_impl(std::make_unique<Impl>(aSettings, std::move(aSelf), std::move(aDataCentre), aSeed)) {}
ClaimTable::~ClaimTable() = default;
ClaimTable::ClaimTable(ClaimTable&&) noexcept = default;
ClaimTable& ClaimTable::operator=(ClaimTable&&) noexcept = default;

ClaimTable::ClaimStep ClaimTable::Begin(std::uint64_t aTicket, const RequestIdentity& aIdentity,
                                        const std::string& aBodyHash, Time aDeadline, Time aNow) {
  ClaimStep step;
  m_impl->m_coordinator.Begin(aTicket, aIdentity, aBodyHash, aDeadline, step, aNow);
  return m_impl->DeliverToSelf(std::move(step), aNow);
}

ClaimTable::ClaimStep ClaimTable::Cancel(std::uint64_t aTicket, Time aNow) {
  ClaimStep step;
  m_impl->m_coordinator.Cancel(aTicket, step, aNow);
  return m_impl->DeliverToSelf(std::move(step), aNow);
}

bool ClaimTable::MaySend(const RequestIdentity& aIdentity, const AttemptId& aAttempt, Time aNow) {
  OwnedAttempt* const attempt = m_impl->m_owned.Find(aIdentity, aAttempt);
  if (attempt == nullptr || !m_impl->m_owned.MaySend(*attempt, aNow)) {
    return false;
  }
  attempt->m_state = AttemptState::Sent;
  return true;
}

void ClaimTable::MarkNotSent(const RequestIdentity& aIdentity, const AttemptId& aAttempt) {
  OwnedAttempt* const attempt = m_impl->m_owned.Find(aIdentity, aAttempt);
  if (attempt != nullptr && attempt->m_state == AttemptState::Sent) {
    attempt->m_state = AttemptState::Granted;
  }
}

ClaimTable::ClaimStep ClaimTable::Complete(const RequestIdentity& aIdentity,
                                           const AttemptId& aAttempt, const StoredAnswer& aAnswer,
                                           Time aNow) {
  ClaimStep step;
  OwnedAttempt* const attempt = m_impl->m_owned.Find(aIdentity, aAttempt);
  const bool isOpen = attempt != nullptr && (attempt->m_state == AttemptState::Granted ||
                                             attempt->m_state == AttemptState::Sent ||
                                             attempt->m_state == AttemptState::Unknown);
  if (isOpen && aAnswer.m_body.size() <= m_impl->m_settings.m_maxAnswerBytes) {
    attempt->m_answer = aAnswer;
    m_impl->End(*attempt, AttemptState::Answered, step, aNow);
  } else if (isOpen) {
    m_impl->End(*attempt, AttemptState::Unknown, step, aNow);
  }
  return m_impl->DeliverToSelf(std::move(step), aNow);
}

ClaimTable::ClaimStep ClaimTable::MarkUnknown(const RequestIdentity& aIdentity,
                                              const AttemptId& aAttempt, Time aNow) {
  ClaimStep step;
  OwnedAttempt* const attempt = m_impl->m_owned.Find(aIdentity, aAttempt);
  if (attempt != nullptr && !attempt->HasEnded()) {
    m_impl->End(*attempt, AttemptState::Unknown, step, aNow);
  }
  return m_impl->DeliverToSelf(std::move(step), aNow);
}

ClaimTable::ClaimStep ClaimTable::Abandon(const RequestIdentity& aIdentity,
                                          const AttemptId& aAttempt, Time aNow) {
  OwnedAttempt* const attempt = m_impl->m_owned.Find(aIdentity, aAttempt);
  if (attempt == nullptr || attempt->m_state != AttemptState::Granted) {
    return MarkUnknown(aIdentity, aAttempt, aNow);
  }
  ClaimStep step;
  m_impl->m_owned.End(*attempt, AttemptState::Abandoned, aNow);
  m_impl->m_coordinator.ReleaseSlots(aIdentity, aAttempt, step.m_effects);
  m_impl->m_coordinator.AnnounceEnd(*attempt, step, aNow);
  return m_impl->DeliverToSelf(std::move(step), aNow);
}

ClaimTable::ClaimStep ClaimTable::OnMessage(const EntryId& aFrom, const Message& aMessage,
                                            Time aNow) {
  ClaimStep step;
  m_impl->OnMessage(aFrom, aMessage, step, aNow);
  return m_impl->DeliverToSelf(std::move(step), aNow);
}

ClaimTable::ClaimStep ClaimTable::OnPlatformReply(const PlatformReply& aReply, Time aNow) {
  ClaimStep step;
  if (aReply.m_call.m_component == Component::Claims) {
    for (const ClaimView& view : m_impl->m_views.OnPlatformReply(aReply, step.m_effects, aNow)) {
      m_impl->OnViewChanged(view, step, aNow);
    }
  }
  return m_impl->DeliverToSelf(std::move(step), aNow);
}

ClaimTable::ClaimStep ClaimTable::OnMembers(std::span<const MemberDigest> aMembers, Time aNow) {
  m_impl->m_members.Update(aMembers, aNow);
  return {};
}

ClaimTable::ClaimStep ClaimTable::Tick(Time aNow) {
  ClaimStep step;
  m_impl->m_views.Tick(step.m_effects, aNow);
  m_impl->m_holder.Tick(step.m_effects, aNow);
  m_impl->m_owned.Expire(aNow);
  m_impl->m_replicator.Tick(step.m_effects, aNow);
  m_impl->m_coordinator.Tick(step, aNow);
  return m_impl->DeliverToSelf(std::move(step), aNow);
}

ClaimTable::Counts ClaimTable::Count() const {
  return {.m_views = m_impl->m_views.CountKnown(),
          .m_shardsHeld = m_impl->m_views.CountHeldBy(m_impl->m_self),
          .m_shardsServed = m_impl->m_holder.ShardsServed(),
          .m_slots = m_impl->m_holder.Slots(),
          .m_openClaims = m_impl->m_coordinator.Open(),
          .m_ownedAttempts = m_impl->m_owned.Size()};
}

} // namespace fennelline
