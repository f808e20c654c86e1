#pragma once

#include "LibCoordination/Identity.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// The usage and cost of one answered request. It is billed once, whichever entry settles it.
struct UsageRecord {
  /// The entry that answered, and its sequence number for the record: 1, 2, 3, … without gaps.
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

/// Replicates records to a peer before the last byte of their answers is sent.
struct UsageCopy {
  std::vector<UsageRecord> m_records;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_records);
  }
};

/// Confirms which records of an origin the peer holds, by sequence number.
struct UsageCopyAck {
  EntryId m_origin;
  std::vector<std::uint64_t> m_sequences;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_origin, m_sequences);
  }
};

/// Announces that records of the origin up to this number are settled, so their copies may be
/// dropped.
struct UsageSettled {
  EntryId m_origin;
  std::uint64_t m_upTo = 0;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_origin, m_upTo);
  }
};

} // namespace fennelline
