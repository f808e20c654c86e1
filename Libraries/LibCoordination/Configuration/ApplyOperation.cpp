#include "LibCoordination/Configuration/ApplyOperation.h"

#include <utility>

namespace fennelline {
ApplyOperation::ApplyOperation(ApplyInput aInput)
  : m_input(std::move(aInput)) {}
Step<ApplyOutcome> ApplyOperation::Start(Time) {
  return {};
}
Step<ApplyOutcome> ApplyOperation::OnPlatformReply(const PlatformReply&, Time) {
  return {};
}
Step<ApplyOutcome> ApplyOperation::Tick(Time) {
  return {};
}
} // namespace fennelline
