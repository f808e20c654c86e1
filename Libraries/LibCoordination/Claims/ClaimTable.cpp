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

struct ClaimTable::Parts {
  Parts(ClaimSettings aSettings, EntryId aSelf, DataCentre aDataCentre, std::uint64_t aSeed)
    : m_settings(aSettings)
    , m_self(std::move(aSelf))
    , m_members(m_settings, m_self, std::move(aDataCentre))
    , m_views(m_settings, m_self, m_members, aSeed)
    , m_holder(m_settings, m_self, m_views)
    , m_owned(m_settings, m_self)
    , m_claimant(m_settings, m_self, m_views, m_members, m_owned)
    , m_spread(m_settings, m_views) {}

  void OnMessage(const EntryId& aFrom, const Message& aMessage, ClaimStep& aStep, Time aNow);
  void OnRequest(const EntryId& aFrom, const ClaimRequest& aRequest, ClaimStep& aStep, Time aNow);
  void OnReply(const EntryId& aFrom, const ClaimReply& aReply, ClaimStep& aStep, Time aNow);
  void OnOutcome(const EntryId& aFrom, const ClaimOutcome& aOutcome, ClaimStep& aStep, Time aNow);
  void OnQuery(const EntryId& aFrom, const AnswerQuery& aQuery, ClaimStep& aStep);
  void OnViewAdopt(const EntryId& aFrom, const ClaimView& aView, ClaimStep& aStep, Time aNow);
  void OnViewChanged(const ClaimView& aView, ClaimStep& aStep, Time aNow);
  void End(OwnedAttempt& aAttempt, AttemptState aState, ClaimStep& aStep, Time aNow);
  ClaimStep Settle(ClaimStep aStep, Time aNow);

  const ClaimSettings m_settings;
  const EntryId m_self;
  ClaimMembers m_members;
  ViewDirectory m_views;
  ClaimHolder m_holder;
  OwnedAttempts m_owned;
  ClaimCoordinator m_claimant;
  OutcomeReplicator m_spread;
};

namespace {

/// Sends a message, to be replaced by a call where the receiver is this entry itself.
void Send(const EntryId& aTo, Message aMessage, Effects& aEffects) {
  aEffects.push_back(SendMessage{.m_to = aTo, .m_message = std::move(aMessage)});
}

} // namespace

void ClaimTable::Parts::OnMessage(const EntryId& aFrom, const Message& aMessage, ClaimStep& aStep,
                                  Time aNow) {
  if (const ClaimRequest* request = std::get_if<ClaimRequest>(&aMessage)) {
    OnRequest(aFrom, *request, aStep, aNow);
  } else if (const ClaimReply* reply = std::get_if<ClaimReply>(&aMessage)) {
    OnReply(aFrom, *reply, aStep, aNow);
  } else if (const ClaimRelease* release = std::get_if<ClaimRelease>(&aMessage)) {
    m_holder.Release(*release);
  } else if (const ClaimOutcome* outcome = std::get_if<ClaimOutcome>(&aMessage)) {
    OnOutcome(aFrom, *outcome, aStep, aNow);
  } else if (const ClaimOutcomeAck* stored = std::get_if<ClaimOutcomeAck>(&aMessage)) {
    m_spread.OnStored(aFrom, *stored);
  } else if (const AnswerQuery* query = std::get_if<AnswerQuery>(&aMessage)) {
    OnQuery(aFrom, *query, aStep);
  } else if (const AnswerReply* answer = std::get_if<AnswerReply>(&aMessage)) {
    m_claimant.OnAnswer(aFrom, *answer, aStep, aNow);
  } else if (const ViewAnnouncement* adopt = std::get_if<ViewAnnouncement>(&aMessage)) {
    OnViewAdopt(aFrom, adopt->m_view, aStep, aNow);
  } else if (const SlotHandoverPage* page = std::get_if<SlotHandoverPage>(&aMessage)) {
    m_holder.OnHandover(aFrom, *page, aStep.m_effects, aNow);
  }
}

void ClaimTable::Parts::OnRequest(const EntryId& aFrom, const ClaimRequest& aRequest,
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

void ClaimTable::Parts::OnReply(const EntryId& aFrom, const ClaimReply& aReply, ClaimStep& aStep,
                                Time aNow) {
  const ClaimView* const view = m_views.Find(aReply.m_shard);
  if (aReply.m_verdict != VoteResult::OtherView) {
    m_claimant.OnReply(aFrom, aReply, aStep, aNow);
  } else if (view != nullptr && aReply.m_view < view->m_number) {
    Send(aFrom, ViewAnnouncement{.m_view = *view}, aStep.m_effects);
  } else {
    m_views.RequestRefresh(aNow);
  }
}

void ClaimTable::Parts::OnOutcome(const EntryId& aFrom, const ClaimOutcome& aOutcome,
                                  ClaimStep& aStep, Time aNow) {
  const std::optional<ClaimOutcomeAck> stored = m_holder.Store(aOutcome, aNow);
  const ClaimView* const view = m_views.Find(aOutcome.m_shard);
  if (stored) {
    Send(aFrom, *stored, aStep.m_effects);
  } else if (view != nullptr) {
    Send(aFrom, ViewAnnouncement{.m_view = *view}, aStep.m_effects);
  }
}

void ClaimTable::Parts::OnQuery(const EntryId& aFrom, const AnswerQuery& aQuery, ClaimStep& aStep) {
  OwnedAttempt* const attempt = m_owned.Find(aQuery.m_identity, aQuery.m_attempt);
  if (attempt != nullptr && !attempt->HasEnded()) {
    std::vector<EntryId>& waiters = attempt->m_waiters;
    if (std::find(waiters.begin(), waiters.end(), aFrom) == waiters.end()) {
      waiters.push_back(aFrom);
    }
  }
  Send(aFrom, m_owned.Answer(aQuery), aStep.m_effects);
}

void ClaimTable::Parts::OnViewAdopt(const EntryId& aFrom, const ClaimView& aView, ClaimStep& aStep,
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

void ClaimTable::Parts::OnViewChanged(const ClaimView& aView, ClaimStep& aStep, Time aNow) {
  m_holder.Adopt(aView, aStep.m_effects, aNow);
  m_claimant.OnView(aView, aStep, aNow);
}

/// Ends an attempt that may have been sent, and leaves the outcome with the holders.
void ClaimTable::Parts::End(OwnedAttempt& aAttempt, AttemptState aState, ClaimStep& aStep,
                            Time aNow) {
  m_owned.End(aAttempt, aState, aNow);
  m_spread.Start(m_owned.Describe(aAttempt), aStep.m_effects, aNow);
  m_claimant.AnnounceEnd(aAttempt, aStep, aNow);
}

/// Takes the messages to this entry itself out of the effects and handles them.
ClaimTable::ClaimStep ClaimTable::Parts::Settle(ClaimStep aStep, Time aNow) {
  ClaimStep settled;
  while (!aStep.m_effects.empty() || !aStep.m_outcomes.empty()) {
    ClaimStep next;
    for (Effect& effect : aStep.m_effects) {
      const SendMessage* message = std::get_if<SendMessage>(&effect);
      if (message != nullptr && message->m_to == m_self) {
        OnMessage(m_self, message->m_message, next, aNow);
      } else {
        settled.m_effects.push_back(std::move(effect));
      }
    }
    std::move(aStep.m_outcomes.begin(), aStep.m_outcomes.end(),
              std::back_inserter(settled.m_outcomes));
    aStep = std::move(next);
  }
  return settled;
}

ClaimTable::ClaimTable(ClaimSettings aSettings, EntryId aSelf, DataCentre aDataCentre,
                       std::uint64_t aSeed)
  : m_parts(std::make_unique<Parts>(aSettings, std::move(aSelf), std::move(aDataCentre), aSeed)) {}
ClaimTable::~ClaimTable() = default;
ClaimTable::ClaimTable(ClaimTable&&) noexcept = default;
ClaimTable& ClaimTable::operator=(ClaimTable&&) noexcept = default;

ClaimTable::ClaimStep ClaimTable::Begin(std::uint64_t aTicket, const RequestIdentity& aIdentity,
                                        const std::string& aBodyHash, Time aDeadline, Time aNow) {
  ClaimStep step;
  m_parts->m_claimant.Begin(aTicket, aIdentity, aBodyHash, aDeadline, step, aNow);
  return m_parts->Settle(std::move(step), aNow);
}

ClaimTable::ClaimStep ClaimTable::Cancel(std::uint64_t aTicket, Time aNow) {
  ClaimStep step;
  m_parts->m_claimant.Cancel(aTicket, step, aNow);
  return m_parts->Settle(std::move(step), aNow);
}

bool ClaimTable::MaySend(const RequestIdentity& aIdentity, const AttemptId& aAttempt, Time aNow) {
  OwnedAttempt* const attempt = m_parts->m_owned.Find(aIdentity, aAttempt);
  if (attempt == nullptr || !m_parts->m_owned.MaySend(*attempt, aNow)) {
    return false;
  }
  attempt->m_state = AttemptState::Sent;
  return true;
}

void ClaimTable::MarkNotSent(const RequestIdentity& aIdentity, const AttemptId& aAttempt) {
  OwnedAttempt* const attempt = m_parts->m_owned.Find(aIdentity, aAttempt);
  if (attempt != nullptr && attempt->m_state == AttemptState::Sent) {
    attempt->m_state = AttemptState::Granted;
  }
}

ClaimTable::ClaimStep ClaimTable::Complete(const RequestIdentity& aIdentity,
                                           const AttemptId& aAttempt, const StoredAnswer& aAnswer,
                                           Time aNow) {
  ClaimStep step;
  OwnedAttempt* const attempt = m_parts->m_owned.Find(aIdentity, aAttempt);
  const bool isOpen = attempt != nullptr && (attempt->m_state == AttemptState::Granted ||
                                             attempt->m_state == AttemptState::Sent ||
                                             attempt->m_state == AttemptState::Unknown);
  if (isOpen && aAnswer.m_body.size() <= m_parts->m_settings.m_maxAnswerBytes) {
    attempt->m_answer = aAnswer;
    m_parts->End(*attempt, AttemptState::Answered, step, aNow);
  } else if (isOpen) {
    m_parts->End(*attempt, AttemptState::Unknown, step, aNow);
  }
  return m_parts->Settle(std::move(step), aNow);
}

ClaimTable::ClaimStep ClaimTable::MarkUnknown(const RequestIdentity& aIdentity,
                                              const AttemptId& aAttempt, Time aNow) {
  ClaimStep step;
  OwnedAttempt* const attempt = m_parts->m_owned.Find(aIdentity, aAttempt);
  if (attempt != nullptr && !attempt->HasEnded()) {
    m_parts->End(*attempt, AttemptState::Unknown, step, aNow);
  }
  return m_parts->Settle(std::move(step), aNow);
}

ClaimTable::ClaimStep ClaimTable::Abandon(const RequestIdentity& aIdentity,
                                          const AttemptId& aAttempt, Time aNow) {
  OwnedAttempt* const attempt = m_parts->m_owned.Find(aIdentity, aAttempt);
  if (attempt == nullptr || attempt->m_state != AttemptState::Granted) {
    return MarkUnknown(aIdentity, aAttempt, aNow);
  }
  ClaimStep step;
  m_parts->m_owned.End(*attempt, AttemptState::Abandoned, aNow);
  m_parts->m_claimant.ReleaseSlots(aIdentity, aAttempt, step.m_effects);
  m_parts->m_claimant.AnnounceEnd(*attempt, step, aNow);
  return m_parts->Settle(std::move(step), aNow);
}

ClaimTable::ClaimStep ClaimTable::OnMessage(const EntryId& aFrom, const Message& aMessage,
                                            Time aNow) {
  ClaimStep step;
  m_parts->OnMessage(aFrom, aMessage, step, aNow);
  return m_parts->Settle(std::move(step), aNow);
}

ClaimTable::ClaimStep ClaimTable::OnPlatformReply(const PlatformReply& aReply, Time aNow) {
  ClaimStep step;
  if (aReply.m_call.m_component == Component::Claims) {
    for (const ClaimView& view : m_parts->m_views.OnPlatformReply(aReply, step.m_effects, aNow)) {
      m_parts->OnViewChanged(view, step, aNow);
    }
  }
  return m_parts->Settle(std::move(step), aNow);
}

ClaimTable::ClaimStep ClaimTable::OnMembers(std::span<const MemberDigest> aMembers, Time aNow) {
  m_parts->m_members.Update(aMembers, aNow);
  return {};
}

ClaimTable::ClaimStep ClaimTable::Tick(Time aNow) {
  ClaimStep step;
  m_parts->m_views.Tick(step.m_effects, aNow);
  m_parts->m_holder.Tick(step.m_effects, aNow);
  m_parts->m_owned.Expire(aNow);
  m_parts->m_spread.Tick(step.m_effects, aNow);
  m_parts->m_claimant.Tick(step, aNow);
  return m_parts->Settle(std::move(step), aNow);
}

ClaimTable::Counts ClaimTable::Count() const {
  return {.m_views = m_parts->m_views.Known(),
          .m_shardsHeld = m_parts->m_views.HeldBy(m_parts->m_self),
          .m_shardsServed = m_parts->m_holder.ShardsServed(),
          .m_slots = m_parts->m_holder.Slots(),
          .m_openClaims = m_parts->m_claimant.Open(),
          .m_ownedAttempts = m_parts->m_owned.Size()};
}

} // namespace fennelline
