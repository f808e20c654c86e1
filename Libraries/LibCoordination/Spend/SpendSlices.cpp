#include "LibCoordination/Spend/SpendSlices.h"

#include <limits>

namespace fennelline {

// FIXME: Nothing is limited yet.
struct SpendSlices::Parts {};

SpendSlices::SpendSlices(SpendSettings, EntryId, std::uint64_t)
  : m_parts(std::make_unique<Parts>()) {}
SpendSlices::~SpendSlices() = default;
SpendSlices::SpendSlices(SpendSlices&&) noexcept = default;
SpendSlices& SpendSlices::operator=(SpendSlices&&) noexcept = default;

SpendSlices::SpendStep SpendSlices::OnLimits(const std::string&, std::int64_t, Duration, Time) {
  return {};
}

bool SpendSlices::TryReserve(const std::string&, std::int64_t, Time) {
  return true;
}

std::int64_t SpendSlices::Spend(const std::string&, std::int64_t, std::int64_t, Time) {
  return 0;
}

void SpendSlices::Release(const std::string&, std::int64_t, Time) {}

SpendSlices::SpendStep SpendSlices::OnPlatformReply(const PlatformReply&, Time) {
  return {};
}

SpendSlices::SpendStep SpendSlices::Tick(Time) {
  return {};
}

SpendSlices::SpendStep SpendSlices::ReturnAll(Time) {
  return {};
}

std::int64_t SpendSlices::Available(const std::string&, Time) const {
  return std::numeric_limits<std::int64_t>::max();
}

bool SpendSlices::IsExhausted(const std::string&) const {
  return false;
}

} // namespace fennelline
