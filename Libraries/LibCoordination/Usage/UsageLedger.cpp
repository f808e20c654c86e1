#include "LibCoordination/Usage/UsageLedger.h"

namespace fennelline {

// FIXME: Records are counted here and not yet copied or settled.
struct UsageLedger::Parts {
  std::uint64_t m_sequence = 0;
};

UsageLedger::UsageLedger(UsageSettings, EntryId, DataCentre, std::uint64_t)
  : m_parts(std::make_unique<Parts>()) {}
UsageLedger::~UsageLedger() = default;
UsageLedger::UsageLedger(UsageLedger&&) noexcept = default;
UsageLedger& UsageLedger::operator=(UsageLedger&&) noexcept = default;

UsageLedger::UsageStep UsageLedger::Record(UsageRecord aRecord, Time) {
  return {.m_effects = {},
          .m_outcomes = {{.m_sequence = ++m_parts->m_sequence,
                          .m_identity = std::move(aRecord.m_identity),
                          .m_attempt = std::move(aRecord.m_attempt)}}};
}

UsageLedger::UsageStep UsageLedger::OnMessage(const EntryId&, const Message&, Time) {
  return {};
}

UsageLedger::UsageStep UsageLedger::OnPlatformReply(const PlatformReply&, Time) {
  return {};
}

UsageLedger::UsageStep UsageLedger::OnMembers(std::span<const MemberDigest>, Time) {
  return {};
}

UsageLedger::UsageStep UsageLedger::Tick(Time) {
  return {};
}

UsageLedger::UsageStep UsageLedger::Flush(Time) {
  return {};
}

std::size_t UsageLedger::Unsettled() const {
  return 0;
}

std::size_t UsageLedger::CopiesHeld() const {
  return 0;
}

} // namespace fennelline
