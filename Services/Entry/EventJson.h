#pragma once

#include "LibBase/Error.h"
#include "LibCoordination/TimelineRecord.h"
#include "Services/Entry/EntryEffect.h"
#include "Services/Entry/Event.h"

#include <cstdint>
#include <string>

namespace fennelline {

/// Writes an event as one JSON object with its kind and its fields by name. Messages between
/// entries are arrays of their fields. Bytes that are not UTF-8 are replaced.
std::string WriteEvent(const Event& aEvent);

/// Reads what WriteEvent() wrote.
Result<Event> ParseEvent(const std::string& aText);

/// Writes effects as one JSON array, for comparison.
std::string WriteEffects(const EntryEffects& aEffects);

/// The records from which a reducer's run can be repeated: one at the start and one for each
/// event. The time of the record is the one that the reducer was given. They hold what callers
/// sent and what they were answered, but no settings.
constexpr const char* kReducerStartName = "reducer.start";
constexpr const char* kReducerStepName = "reducer.step";

TimelineRecord MakeStartRecord(const EntryId& aSelf, const MemberDigest& aAddresses,
                               std::uint64_t aSeed);
TimelineRecord MakeStepRecord(const Event& aEvent, const EntryEffects& aEffects);

/// What a start record holds.
struct ReducerStart {
  EntryId m_self;
  MemberDigest m_addresses;
  std::uint64_t m_seed = 0;
};
Result<ReducerStart> ReadStartRecord(const TimelineRecord& aRecord);

/// What a step record holds; the effects as WriteEffects() wrote them.
struct ReducerStep {
  Event m_event;
  std::string m_effects;
};
Result<ReducerStep> ReadStepRecord(const TimelineRecord& aRecord);

} // namespace fennelline
