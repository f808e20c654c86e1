#pragma once

#include "LibBase/Error.h"
#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// Whether a model version accepts requests.
enum class VersionState {
  /// Accepts all requests that the contracts allow.
  Serving,
  /// Continues existing sessions, but accepts no new sessions and no requests without a session.
  Draining,
  /// Accepts no requests. Requests of its sessions are rejected permanently.
  Revoked,
};

constexpr NameTable<VersionState, 3> kVersionStateNames = {{
  {VersionState::Serving, "serving"},
  {VersionState::Draining, "draining"},
  {VersionState::Revoked, "revoked"},
}};

/// A version of a model, named "MODEL@NUMBER".
struct ModelVersion {
  std::string m_name;
  std::string m_model;
  std::int64_t m_inputMicrosPer1000Tokens = 0;
  std::int64_t m_outputMicrosPer1000Tokens = 0;
  VersionState m_state = VersionState::Serving;
  /// The expected fraction of good answers before any rating is available, from 0 to 1.
  double m_priorQuality = 0.5;
};

/// The urgency of a request kind. Under load, less urgent requests are rejected first.
enum class Urgency { Counter, Interactive, Background };

constexpr NameTable<Urgency, 3> kUrgencyNames = {{
  {Urgency::Counter, "counter"},
  {Urgency::Interactive, "interactive"},
  {Urgency::Background, "background"},
}};

/// Service levels and permitted models for one kind of a customer's requests.
struct RequestKind {
  std::string m_name;
  /// Time limit from arrival at the entry to the last byte of the answer.
  Duration m_deadline{0};
  /// The minimum fraction of good answers, from 0 to 1. Zero for plain services.
  double m_qualityTarget = 0.0;
  Urgency m_urgency = Urgency::Interactive;
  /// Permitted models or versions. Empty means all that the contract allows.
  std::vector<std::string> m_models;
  /// The plain service and its operation. Both are empty for model requests.
  std::string m_service;
  std::string m_operation;
};

/// The permissions, limits and service levels of a customer.
struct Contract {
  std::string m_customer;
  /// SHA-256 digests of the bearer keys, in lower-case hexadecimal.
  std::vector<std::string> m_keyHashes;
  /// Permitted models ("tagger", any version) or versions ("tagger@3").
  std::vector<std::string> m_models;
  std::int64_t m_spendLimitMicros = 0;
  Duration m_spendPeriod{0};
  /// The customer's weight when capacity is scarce.
  double m_share = 1.0;
  std::vector<RequestKind> m_kinds;
};

/// An operation of a plain service.
struct ServiceOperation {
  std::string m_name;
  /// False for operations that must run at most once, such as reservations and quotes.
  bool m_idempotent = true;
  std::int64_t m_costMicros = 0;
};

struct PlainService {
  std::string m_name;
  std::vector<ServiceOperation> m_operations;
};

enum class RolloutState { Running, Paused, Done, RolledBack };

constexpr NameTable<RolloutState, 4> kRolloutStateNames = {{
  {RolloutState::Running, "running"},
  {RolloutState::Paused, "paused"},
  {RolloutState::Done, "done"},
  {RolloutState::RolledBack, "rolled-back"},
}};

/// A stepwise roll-out of a model version that replaces another one.
struct Rollout {
  std::string m_name;
  std::string m_model;
  std::string m_from;
  std::string m_to;
  /// Percentages of new sessions and sessionless requests for m_to, in ascending order.
  std::vector<double> m_stepPercents;
  std::size_t m_step = 0;
  RolloutState m_state = RolloutState::Running;
  /// A human-readable reason for the current state.
  std::string m_reason;

  /// The current traffic fraction of m_to, from 0 to 1.
  double NewVersionShare() const;
};

/// The configuration set by the operators, stored as one document in the platform's key-value
/// service. The revision is that of the key.
struct Configuration {
  std::uint64_t m_revision = 0;
  std::string m_currency;
  std::vector<ModelVersion> m_versions;
  std::vector<PlainService> m_services;
  std::vector<Contract> m_contracts;
  std::vector<Rollout> m_rollouts;
};

/// The key of the configuration in the platform's key-value service.
constexpr const char* kConfigurationKey = "fennelline/configuration";

/// Parses and validates a configuration. Errors contain the path of the field and what is allowed.
Result<Configuration> ParseConfiguration(const std::string& aText);

/// Serializes a configuration as JSON. ParseConfiguration() restores an equal value.
std::string WriteConfiguration(const Configuration& aConfiguration);

/// Look-ups that return null if there is no match.
const ModelVersion* FindVersion(const Configuration& aConfiguration, const std::string& aName);
const Contract* FindContract(const Configuration& aConfiguration, const std::string& aCustomer);
const RequestKind* FindKind(const Contract& aContract, const std::string& aName);
const ServiceOperation* FindOperation(const Configuration& aConfiguration,
                                      const std::string& aService, const std::string& aOperation);
const Rollout* FindActiveRollout(const Configuration& aConfiguration, const std::string& aModel);

/// Whether both the contract and the request kind permit the version or its model.
bool IsAllowed(const Contract& aContract, const RequestKind& aKind, const ModelVersion& aVersion);

/// Returns the model name of "MODEL@NUMBER".
std::string ModelOf(const std::string& aVersion);

} // namespace fennelline
