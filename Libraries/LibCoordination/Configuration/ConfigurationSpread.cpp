#include "LibCoordination/Configuration/ConfigurationSpread.h"

namespace fennelline {
ConfigurationSpread::ConfigurationSpread(ConfigurationSettings aSettings, EntryId aSelf,
                                         DataCentre aDataCentre, std::uint64_t aSeed)
  : m_settings(std::move(aSettings))
  , m_self(std::move(aSelf))
  , m_dataCentre(std::move(aDataCentre))
  , m_random(aSeed) {}
Step<ConfigurationOutcome> ConfigurationSpread::OnMessage(const EntryId&, const Message&, Time) {
  return {};
}
Step<ConfigurationOutcome> ConfigurationSpread::OnPlatformReply(const PlatformReply&, Time) {
  return {};
}
Step<ConfigurationOutcome> ConfigurationSpread::OnMembers(std::span<const MemberDigest>, Time) {
  return {};
}
Step<ConfigurationOutcome> ConfigurationSpread::OnPeerRevision(const EntryId&, Revision, Time) {
  return {};
}
Step<ConfigurationOutcome> ConfigurationSpread::Tick(Time) {
  return {};
}
ConfigurationStanding ConfigurationSpread::Standing(Time) const {
  return ConfigurationStanding::Starting;
}
Duration ConfigurationSpread::Age(Time) const {
  return Duration::max();
}
} // namespace fennelline
