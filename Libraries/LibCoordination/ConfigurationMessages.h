#pragma once

#include "LibCoordination/PlatformCall.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// Tells a peer which revision is the newest here and how the platform is seen from here.
struct ConfigurationOffer {
  /// For a question, its number; for an answer, the number of its question; otherwise zero.
  std::uint64_t m_number = 0;
  Revision m_revision = 0;
  /// Milliseconds since this entry, or one it heard from, last reached the platform.
  std::int64_t m_platformAgeMilliseconds = 0;
  /// How many data centres the sender counts among "all": whoever knows fewer must not conclude
  /// that the platform is down for all.
  std::uint32_t m_dataCentres = 0;
  /// True for a question: the receiver answers with an offer of its own.
  bool m_wantsOffer = false;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_number, m_revision, m_platformAgeMilliseconds, m_dataCentres, m_wantsOffer);
  }
};

/// Asks for a configuration newer than this revision.
struct ConfigurationRequest {
  Revision m_after = 0;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_after);
  }
};

struct ConfigurationDocument {
  Revision m_revision = 0;
  std::string m_text;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_revision, m_text);
  }
};

/// A document as its difference from an older one: the middle that replaces what stands between a
/// common beginning and a common end.
struct ConfigurationDelta {
  Revision m_revision = 0;
  Revision m_base = 0;
  std::uint64_t m_prefixBytes = 0;
  std::uint64_t m_suffixBytes = 0;
  std::string m_middle;
  /// SHA-256 of the new document in hexadecimal digits: a wrong base is found out.
  std::string m_hash;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_revision, m_base, m_prefixBytes, m_suffixBytes, m_middle, m_hash);
  }
};

} // namespace fennelline
