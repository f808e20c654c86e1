#include "LibCoordination/Membership/Membership.h"

namespace fennelline {
Membership::Membership(MembershipSettings aSettings, MemberDigest aSelf, std::uint64_t aSeed)
  : m_settings(aSettings)
  , m_self(std::move(aSelf))
  , m_random(aSeed)
  , m_leaving(aSettings.m_leaving) {}
Step<MembershipOutcome> Membership::OnDatagram(const MembershipDatagram&, Time) {
  return {};
}
Step<MembershipOutcome> Membership::OnVmList(std::vector<std::string>, Time) {
  return {};
}
Step<MembershipOutcome> Membership::Tick(Time) {
  return {};
}
Step<MembershipOutcome> Membership::Leave(Time) {
  return {};
}
Step<MembershipOutcome> Membership::MarkLeaving(const BackendServerId&, Time) {
  return {};
}
Step<MembershipOutcome> Membership::ClearLeaving(const BackendServerId&, Time) {
  return {};
}
std::vector<MemberDigest> Membership::Members() const {
  return {m_self};
}
bool Membership::IsIsolated() const {
  return false;
}
} // namespace fennelline
