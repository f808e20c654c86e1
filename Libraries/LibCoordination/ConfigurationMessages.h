#pragma once

#include "LibCoordination/PlatformCall.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// Tells a peer the sender's newest revision and when the sender last had contact with the
/// platform.
struct ConfigurationOffer {
  /// The number of the query, in a query and in its response; otherwise zero.
  std::uint64_t m_number = 0;
  Revision m_revision = 0;
  /// Milliseconds since this entry, or a peer that it heard from, last reached the platform.
  std::int64_t m_platformAgeMilliseconds = 0;
  /// The number of data centres that the sender counts as "all". A receiver that knows fewer must
  /// not conclude that the platform is down for all.
  std::uint32_t m_dataCentres = 0;
  /// Set in a query: the receiver responds with an offer of its own.
  bool m_wantsOffer = false;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_number, m_revision, m_platformAgeMilliseconds, m_dataCentres, m_wantsOffer);
  }
};

/// Requests a configuration newer than this revision.
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

/// A document encoded as its difference from a base revision: the common prefix and suffix are
/// given by length, and m_middle replaces what lies between them in the base.
struct ConfigurationDelta {
  Revision m_revision = 0;
  Revision m_base = 0;
  std::uint64_t m_prefixBytes = 0;
  std::uint64_t m_suffixBytes = 0;
  std::string m_middle;
  /// SHA-256 of the new document in hexadecimal, which detects a wrong base.
  std::string m_hash;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_revision, m_base, m_prefixBytes, m_suffixBytes, m_middle, m_hash);
  }
};

} // namespace fennelline
