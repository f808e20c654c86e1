#include "LibRouting/RequestLimit.h"

namespace fennelline {

bool RequestLimit::Adopt(std::optional<double> aPerSecond, Time aAsOf) {
  if (aAsOf <= m_asOf) {
    return false;
  }
  m_asOf = aAsOf;
  const bool isChange = m_perSecond != aPerSecond;
  m_perSecond = aPerSecond;
  return isChange;
}

} // namespace fennelline
