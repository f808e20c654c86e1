#pragma once

#include "Services/Entry/EntryEffect.h"
#include "Services/Entry/EntryParts.h"
#include "Services/Entry/Requests/RequestPipeline.h"

#include <map>
#include <string>
#include <vector>

namespace fennelline {

/// The state machine of an entry: it takes each event with the current time and returns the effects
/// to carry out as data. It uses no lock, clock, socket or random device, so replaying the same
/// events gives the same effects.
class EntryReducer {
public:
  explicit EntryReducer(const EntryStart& aStart);

  EntryEffects Reduce(const Event& aEvent, Time aNow);

  const EntryParts& Parts() const { return m_parts; }
  const RequestPipeline& Requests() const { return m_pipeline; }
  /// The address at which a peer receives messages; empty if unknown.
  std::string StreamAddressOf(const EntryId& aEntry) const;
  /// The entries that callers should use: alive and not leaving.
  std::vector<MemberDigest> EntriesForCallers() const;

private:
  void On(const CallerRequest& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const CallerGone& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const BackendAnswered& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const BackendChunk& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const BackendFinished& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const BackendFailed& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const VmListRead& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const LoadPolled& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const CacheChanged& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const RatingArrived& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const MessageReceived& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const DatagramReceived& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const PlatformReply& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const Tick& aEvent, Time aNow, EntryEffects& aEffects);
  void On(const StopRequested& aEvent, Time aNow, EntryEffects& aEffects);

  void ApplyOutcomes(const std::vector<MembershipOutcome>& aOutcomes, Time aNow,
                     EntryEffects& aEffects);
  void ApplyOutcomes(const std::vector<ConfigurationOutcome>& aOutcomes, Time aNow,
                     EntryEffects& aEffects);
  void ApplyOutcomes(const std::vector<UsageOutcome>& aOutcomes, Time aNow, EntryEffects& aEffects);
  void OnMembersChanged(Time aNow, EntryEffects& aEffects);
  void OnConfiguration(const Configuration& aConfiguration, Time aNow, EntryEffects& aEffects);
  void BeginLeaving(Time aNow, EntryEffects& aEffects);
  void AdvanceStop(Time aNow, EntryEffects& aEffects);

  EntryParts m_parts;
  RequestPipeline m_pipeline;
  std::map<EntryId, std::string> m_streamAddresses;
  bool m_leaving = false;
  bool m_flushed = false;
  bool m_stopped = false;
  Time m_stopLimit = kNever;
};

} // namespace fennelline
