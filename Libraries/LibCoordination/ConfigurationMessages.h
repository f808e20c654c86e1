#pragma once

#include "LibCoordination/PlatformCall.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// Tells a peer which revision is in force here and how the platform is seen from here.
struct ConfigurationOffer {
  Revision m_revision = 0;
  /// Milliseconds since this entry, or one it heard from, last reached the platform.
  std::int64_t m_platformAgeMilliseconds = 0;
  /// True for a question: the receiver answers with an offer of its own.
  bool m_wantsOffer = false;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_revision, m_platformAgeMilliseconds, m_wantsOffer);
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

} // namespace fennelline
