#include "LibCoordination/Lease/LeaseKeeper.h"

namespace fennelline {
LeaseKeeper::LeaseKeeper(LeaseSettings aSettings, std::uint64_t aSeed)
  : m_settings(std::move(aSettings))
  , m_random(aSeed) {}
Step<LeaseOutcome> LeaseKeeper::Tick(Time) {
  return {};
}
Step<LeaseOutcome> LeaseKeeper::OnPlatformReply(const PlatformReply&, Time) {
  return {};
}
Step<LeaseOutcome> LeaseKeeper::Release(Time) {
  return {};
}
bool LeaseKeeper::IsHeld(Time) const {
  return false;
}
} // namespace fennelline
