#include "Utilities/Timeline/Replay.h"

#include "Services/Entry/EntryReducer.h"
#include "Services/Entry/EventJson.h"

#include <memory>

namespace fennelline {

namespace {

Error NotComplete(const std::string& aReason) {
  return MakeError(ErrorCode::InvalidField, "the recording is incomplete: " + aReason);
}

Result<std::unique_ptr<EntryReducer>> MakeReducer(const TimelineRecord& aRecord,
                                                  const EntrySettings& aSettings) {
  const ReducerStart start = TRY(ReadStartRecord(aRecord));
  return std::make_unique<EntryReducer>(EntryStart{.m_settings = aSettings,
                                                   .m_self = start.m_self,
                                                   .m_addresses = start.m_addresses,
                                                   .m_seed = start.m_seed});
}

} // namespace

Result<ReplayOutcome> ReplayTimeline(const std::vector<TimelineLine>& aLines,
                                     const EntrySettings& aSettings) {
  std::unique_ptr<EntryReducer> reducer;
  ReplayOutcome outcome;
  for (const TimelineLine& line : aLines) {
    if (line.m_record.m_name == kDroppedRecordsName) {
      return NotComplete("records before number " + std::to_string(line.m_number) +
                         " were dropped");
    }
    if (line.m_record.m_name == kReducerStartName) {
      if (reducer) {
        return NotComplete("it contains two start records; filter by one process");
      }
      reducer = TRY(MakeReducer(line.m_record, aSettings));
    }
    if (line.m_record.m_name != kReducerStepName) {
      continue;
    }
    if (!reducer) {
      return NotComplete("no " + std::string(kReducerStartName) + " record precedes the steps");
    }
    const ReducerStep step = TRY(ReadStepRecord(line.m_record));
    const std::string replayed = WriteEffects(reducer->Reduce(step.m_event, line.m_at));
    ++outcome.m_steps;
    if (replayed != step.m_effects) {
      outcome.m_difference = ReplayDifference{.m_number = line.m_number,
                                              .m_event = WriteEvent(step.m_event),
                                              .m_recorded = step.m_effects,
                                              .m_replayed = replayed};
      return outcome;
    }
  }
  if (outcome.m_steps == 0) {
    return NotComplete("it contains no steps; the entry did not record them");
  }
  return outcome;
}

} // namespace fennelline
