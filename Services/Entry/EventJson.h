#pragma once

#include "LibBase/Error.h"
#include "LibCoordination/TimelineRecord.h"
#include "Services/Entry/EntryEffect.h"
#include "Services/Entry/Event.h"

#include <cstdint>
#include <string>

namespace fennelline {

/// Writes an event as a JSON object with its kind and named fields. Messages between entries are
/// written as arrays of their fields. Invalid UTF-8 is replaced.
std::string WriteEvent(const Event& aEvent);

/// Parses the output of WriteEvent().
Result<Event> ParseEvent(const std::string& aText);

/// Writes effects as a JSON array, to compare them.
std::string WriteEffects(const EntryEffects& aEffects);

/// The records from which a reducer's run can be replayed: one at the start and one for each event.
/// A record's time is the time passed to the reducer. The records contain the callers' requests and
/// the answers, but no settings.
constexpr const char* kReducerStartName = "reducer.start";
constexpr const char* kReducerStepName = "reducer.step";

TimelineRecord MakeStartRecord(const EntryId& aSelf, const MemberDigest& aAddresses,
                               std::uint64_t aSeed);
TimelineRecord MakeStepRecord(const Event& aEvent, const EntryEffects& aEffects);

/// The contents of a start record.
struct ReducerStart {
  EntryId m_self;
  MemberDigest m_addresses;
  std::uint64_t m_seed = 0;
};
Result<ReducerStart> ReadStartRecord(const TimelineRecord& aRecord);

/// The contents of a step record, with the effects as written by WriteEffects().
struct ReducerStep {
  Event m_event;
  std::string m_effects;
};
Result<ReducerStep> ReadStepRecord(const TimelineRecord& aRecord);

} // namespace fennelline
