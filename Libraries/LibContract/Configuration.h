#pragma once

#include "LibBase/Error.h"
#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// Whether a version takes work.
enum class VersionState {
  /// Takes all work that contracts allow.
  Serving,
  /// Runs the sessions it has; takes no new session and no work without a session.
  Draining,
  /// Takes nothing at all. Its sessions get a final refusal.
  Revoked,
};

constexpr NameTable<VersionState, 3> kVersionStateNames = {{
  {VersionState::Serving, "serving"},
  {VersionState::Draining, "draining"},
  {VersionState::Revoked, "revoked"},
}};

/// One version of a model, "MODEL@NUMBER".
struct ModelVersion {
  std::string m_name;
  std::string m_model;
  std::int64_t m_inputMicrosPer1000Tokens = 0;
  std::int64_t m_outputMicrosPer1000Tokens = 0;
  VersionState m_state = VersionState::Serving;
  /// The share of good answers to expect before any rating has come, from 0 to 1.
  double m_priorQuality = 0.5;
};

/// How urgent a kind of request is. Under load, less urgent work is refused first.
enum class Urgency { Counter, Interactive, Background };

constexpr NameTable<Urgency, 3> kUrgencyNames = {{
  {Urgency::Counter, "counter"},
  {Urgency::Interactive, "interactive"},
  {Urgency::Background, "background"},
}};

/// What one kind of a customer's requests is promised.
struct RequestKind {
  std::string m_name;
  /// From the arrival at the entry to the last byte of the answer.
  Duration m_deadline{0};
  /// The least share of good answers, from 0 to 1. Zero for plain services.
  double m_qualityTarget = 0.0;
  Urgency m_urgency = Urgency::Interactive;
  /// Models or versions for this kind; empty means all that the contract allows.
  std::vector<std::string> m_models;
  /// The service and its operation, both empty for model work.
  std::string m_service;
  std::string m_operation;
};

/// What one customer may use and what it is promised.
struct Contract {
  std::string m_customer;
  /// SHA-256 digests of the bearer keys, in lower-case hexadecimal digits.
  std::vector<std::string> m_keyHashes;
  /// Models ("tagger", any version) or versions ("tagger@3").
  std::vector<std::string> m_models;
  std::int64_t m_spendLimitMicros = 0;
  Duration m_spendPeriod{0};
  /// The customer's weight when capacity is short.
  double m_share = 1.0;
  std::vector<RequestKind> m_kinds;
};

/// An operation of a plain service.
struct ServiceOperation {
  std::string m_name;
  /// False for reservations and quotes: such a request runs at most once.
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

/// A change from one version of a model to another in steps.
struct Rollout {
  std::string m_name;
  std::string m_model;
  std::string m_from;
  std::string m_to;
  /// Shares of new sessions and sessionless work for m_to, in percent, growing.
  std::vector<double> m_stepPercents;
  std::size_t m_step = 0;
  RolloutState m_state = RolloutState::Running;
  /// Why it is in this state, in one sentence.
  std::string m_reason;

  /// The share of m_to now, from 0 to 1.
  double NewVersionShare() const;
};

/// Everything the operators decide. One document in the platform's key-value service; its revision
/// is that of the key.
struct Configuration {
  std::uint64_t m_revision = 0;
  std::string m_currency;
  std::vector<ModelVersion> m_versions;
  std::vector<PlainService> m_services;
  std::vector<Contract> m_contracts;
  std::vector<Rollout> m_rollouts;
};

/// The key of the configuration in the platform's service.
constexpr const char* kConfigurationKey = "fennelline/configuration";

/// Parses and checks a configuration. Errors name the field by its path and what is allowed.
Result<Configuration> ParseConfiguration(const std::string& aText);

/// Writes a configuration as JSON text that ParseConfiguration() reads back to the same value.
std::string WriteConfiguration(const Configuration& aConfiguration);

/// Look-ups; null where there is no such thing.
const ModelVersion* FindVersion(const Configuration& aConfiguration, const std::string& aName);
const Contract* FindContract(const Configuration& aConfiguration, const std::string& aCustomer);
const RequestKind* FindKind(const Contract& aContract, const std::string& aName);
const ServiceOperation* FindOperation(const Configuration& aConfiguration,
                                      const std::string& aService, const std::string& aOperation);
const Rollout* FindActiveRollout(const Configuration& aConfiguration, const std::string& aModel);

/// Whether the contract and the kind name the version or its model.
bool IsAllowed(const Contract& aContract, const RequestKind& aKind, const ModelVersion& aVersion);

/// The model's part of "MODEL@NUMBER".
std::string ModelOf(const std::string& aVersion);

} // namespace fennelline
