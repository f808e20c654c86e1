#pragma once

#include "LibBase/Time.h"

#include <optional>

namespace fennelline {

/// What an entry knows of a rate that a backend server in need names for as long as its answers say
/// so: the requests per second that it takes from all entries together, or the rejections per
/// second that it bears.
class RequestLimit {
public:
  /// A server's answer named this limit, or none. Returns whether the limit changed.
  ///
  /// An answer without a limit may have been sent before the server named one elsewhere, so it
  /// counts as of the moment when its request was sent.
  bool OnAnswer(std::optional<double> aPerSecond, Time aSentAt, Time aNow) {
    return Adopt(aPerSecond, aPerSecond ? aNow : aSentAt);
  }
  /// Adopts what is known as of a time, unless newer knowledge exists. Returns whether the limit
  /// changed.
  bool Adopt(std::optional<double> aPerSecond, Time aAsOf);

  /// The rate, over all entries; none if the server names none.
  std::optional<double> PerSecond() const { return m_perSecond; }
  Time AsOf() const { return m_asOf; }

private:
  std::optional<double> m_perSecond;
  Time m_asOf{};
};

} // namespace fennelline
