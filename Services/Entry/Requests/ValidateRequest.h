#pragma once

#include "LibContract/Configuration.h"
#include "Services/Entry/Event.h"
#include "Services/Entry/Requests/Problem.h"

#include <variant>

namespace fennelline {

/// A request that is valid under its customer's contract.
struct ValidRequest {
  const Contract* m_contract = nullptr;
  const RequestKind* m_kind = nullptr;
  /// Null for model requests.
  const ServiceOperation* m_operation = nullptr;
  /// The kind's deadline, or the caller's if that is shorter.
  Duration m_deadline{0};
};

using Validation = std::variant<ValidRequest, Problem>;

/// Validates a request against the configuration, before anything runs.
Validation ValidateRequest(const Configuration& aConfiguration, const CallerRequest& aRequest);

} // namespace fennelline
