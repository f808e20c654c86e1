#pragma once

#include "LibCoordination/Identity.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// What one answered request cost. It is billed once, whoever settles it.
struct UsageRecord {
  /// The entry that answered, and its number for the record: 1, 2, 3, … without gaps.
  EntryId m_origin;
  std::uint64_t m_sequence = 0;
  RequestIdentity m_identity;
  AttemptId m_attempt;
  std::string m_version;
  std::string m_kind;
  std::int64_t m_inputTokens = 0;
  std::int64_t m_outputTokens = 0;
  std::int64_t m_costMicros = 0;

  friend bool operator==(const UsageRecord&, const UsageRecord&) = default;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_origin, m_sequence, m_identity, m_attempt, m_version, m_kind, m_inputTokens,
             m_outputTokens, m_costMicros);
  }
};

/// Gives a peer copies of records before the last byte of the answers leaves.
struct UsageCopy {
  std::vector<UsageRecord> m_records;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_records);
  }
};

/// The sequence numbers of an origin's records that the peer now holds.
struct UsageCopyAck {
  EntryId m_origin;
  std::vector<std::uint64_t> m_sequences;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_origin, m_sequences);
  }
};

/// Records of the origin up to this number are settled; copies of them may go.
struct UsageSettled {
  EntryId m_origin;
  std::uint64_t m_upTo = 0;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_origin, m_upTo);
  }
};

} // namespace fennelline
