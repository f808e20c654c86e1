#include "LibBase/FieldReader.h"
#include "LibContract/Configuration.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr std::int64_t kMaxMicros = 1'000'000'000'000'000;
constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr std::int64_t kMaxPeriodMs = 366LL * 24 * 3'600 * 1'000;
constexpr double kMaxShare = 1'000.0;
constexpr double kMaxPercent = 100.0;
constexpr std::size_t kDigestLength = 64;

ModelVersion ParseVersion(FieldReader& aReader) {
  ModelVersion version;
  version.m_name = aReader.String("name");
  version.m_model = ModelOf(version.m_name);
  version.m_inputMicrosPer1000Tokens =
    aReader.Integer("input_micros_per_1000_tokens", {0, kMaxMicros});
  version.m_outputMicrosPer1000Tokens =
    aReader.Integer("output_micros_per_1000_tokens", {0, kMaxMicros});
  version.m_state = aReader.Enum("state", kVersionStateNames, VersionState::Serving);
  version.m_priorQuality = aReader.Number("prior_quality", {0.0, 1.0}, version.m_priorQuality);
  if (version.m_name.size() < version.m_model.size() + 2 || version.m_model.empty()) {
    aReader.Fail("name", "must have the form MODEL@NUMBER");
  }
  return version;
}

RequestKind ParseKind(FieldReader& aReader) {
  RequestKind kind;
  kind.m_name = aReader.String("name");
  kind.m_deadline = aReader.DurationMs("deadline_ms", {1, kMaxDeadlineMs});
  kind.m_qualityTarget = aReader.Number("quality_target", {0.0, 1.0}, 0.0);
  kind.m_urgency = aReader.Enum("urgency", kUrgencyNames, Urgency::Interactive);
  kind.m_models = aReader.Strings("models");
  kind.m_service = aReader.String("service", "");
  kind.m_operation = aReader.String("operation", "");
  if (kind.m_service.empty() != kind.m_operation.empty()) {
    aReader.Fail("operation", "service and operation go together");
  }
  return kind;
}

Contract ParseContract(FieldReader& aReader) {
  Contract contract;
  contract.m_customer = aReader.String("customer");
  contract.m_keyHashes = aReader.Strings("key_hashes");
  contract.m_models = aReader.Strings("models");
  contract.m_spendLimitMicros = aReader.Integer("spend_limit_micros", {0, kMaxMicros});
  contract.m_spendPeriod = aReader.DurationMs("spend_period_ms", {1'000, kMaxPeriodMs});
  contract.m_share = aReader.Number("share", {0.001, kMaxShare}, 1.0);
  aReader.Objects(
    "kinds", [&contract](FieldReader& aKind) { contract.m_kinds.push_back(ParseKind(aKind)); });
  for (const std::string& digest : contract.m_keyHashes) {
    if (digest.size() != kDigestLength) {
      aReader.Fail("key_hashes", "each must be a SHA-256 digest of 64 hexadecimal digits");
    }
  }
  return contract;
}

PlainService ParseService(FieldReader& aReader) {
  PlainService service;
  service.m_name = aReader.String("name");
  aReader.Objects("operations", [&service](FieldReader& aOperation) {
    ServiceOperation operation;
    operation.m_name = aOperation.String("name");
    operation.m_idempotent = aOperation.Boolean("idempotent", true);
    operation.m_costMicros = aOperation.Integer("cost_micros", {0, kMaxMicros}, 0);
    service.m_operations.push_back(operation);
  });
  return service;
}

std::vector<double> ParsePercents(FieldReader& aReader) {
  std::vector<double> percents;
  aReader.Objects("steps", [&percents](FieldReader& aStep) {
    percents.push_back(aStep.Number("percent", {0.0, kMaxPercent}));
  });
  if (percents.empty() || !std::is_sorted(percents.begin(), percents.end())) {
    aReader.Fail("steps", "must be a growing list of {\"percent\": NUMBER}");
  }
  return percents;
}

Rollout ParseRollout(FieldReader& aReader) {
  Rollout rollout;
  rollout.m_name = aReader.String("name");
  rollout.m_from = aReader.String("from");
  rollout.m_to = aReader.String("to");
  rollout.m_model = ModelOf(rollout.m_to);
  rollout.m_stepPercents = ParsePercents(aReader);
  const std::int64_t lastStep = static_cast<std::int64_t>(rollout.m_stepPercents.size()) - 1;
  rollout.m_step =
    static_cast<std::size_t>(aReader.Integer("step", {0, std::max<std::int64_t>(lastStep, 0)}, 0));
  rollout.m_state = aReader.Enum("state", kRolloutStateNames, RolloutState::Running);
  rollout.m_reason = aReader.String("reason", "");
  if (ModelOf(rollout.m_from) != rollout.m_model) {
    aReader.Fail("from", "must be a version of the same model as \"to\"");
  }
  return rollout;
}

Error Invalid(const std::string& aPath, const std::string& aReason) {
  return MakeError(ErrorCode::InvalidConfiguration, aPath + ": " + aReason);
}

std::string Indexed(const std::string& aName, std::size_t aIndex) {
  return aName + "[" + std::to_string(aIndex) + "]";
}

Result<void> CheckModelNames(const Configuration& aConfiguration,
                             const std::vector<std::string>& aNames, const std::string& aPath) {
  for (const std::string& name : aNames) {
    const bool known =
      std::any_of(aConfiguration.m_versions.begin(), aConfiguration.m_versions.end(),
                  [&name](const ModelVersion& aVersion) {
                    return aVersion.m_name == name || aVersion.m_model == name;
                  });
    if (!known) {
      return Invalid(aPath, "\"" + name + "\" is neither a model nor a version of this document");
    }
  }
  return {};
}

Result<void> CheckKinds(const Configuration& aConfiguration, const Contract& aContract,
                        const std::string& aPath) {
  std::set<std::string> names;
  for (std::size_t index = 0; index < aContract.m_kinds.size(); ++index) {
    const RequestKind& kind = aContract.m_kinds[index];
    const std::string path = aPath + "." + Indexed("kinds", index);
    if (!names.insert(kind.m_name).second) {
      return Invalid(path + ".name", "\"" + kind.m_name + "\" is there twice");
    }
    TRY(CheckModelNames(aConfiguration, kind.m_models, path + ".models"));
    const bool isService = !kind.m_service.empty();
    if (isService && FindOperation(aConfiguration, kind.m_service, kind.m_operation) == nullptr) {
      return Invalid(path + ".operation", "no such operation of a service of this document");
    }
  }
  return {};
}

Result<void> CheckContracts(const Configuration& aConfiguration) {
  std::set<std::string> customers;
  std::set<std::string> digests;
  for (std::size_t index = 0; index < aConfiguration.m_contracts.size(); ++index) {
    const Contract& contract = aConfiguration.m_contracts[index];
    const std::string path = Indexed("contracts", index);
    if (!customers.insert(contract.m_customer).second) {
      return Invalid(path + ".customer", "\"" + contract.m_customer + "\" is there twice");
    }
    for (const std::string& digest : contract.m_keyHashes) {
      if (!digests.insert(digest).second) {
        return Invalid(path + ".key_hashes", "a key belongs to one customer only");
      }
    }
    TRY(CheckModelNames(aConfiguration, contract.m_models, path + ".models"));
    TRY(CheckKinds(aConfiguration, contract, path));
  }
  return {};
}

Result<void> CheckVersions(const Configuration& aConfiguration) {
  std::set<std::string> names;
  for (std::size_t index = 0; index < aConfiguration.m_versions.size(); ++index) {
    const std::string& name = aConfiguration.m_versions[index].m_name;
    if (!names.insert(name).second) {
      return Invalid(Indexed("versions", index) + ".name", "\"" + name + "\" is there twice");
    }
  }
  return {};
}

Result<void> CheckRollouts(const Configuration& aConfiguration) {
  std::set<std::string> activeModels;
  for (std::size_t index = 0; index < aConfiguration.m_rollouts.size(); ++index) {
    const Rollout& rollout = aConfiguration.m_rollouts[index];
    const std::string path = Indexed("rollouts", index);
    if (FindVersion(aConfiguration, rollout.m_from) == nullptr) {
      return Invalid(path + ".from",
                     "\"" + rollout.m_from + "\" is not a version of this document");
    }
    if (FindVersion(aConfiguration, rollout.m_to) == nullptr) {
      return Invalid(path + ".to", "\"" + rollout.m_to + "\" is not a version of this document");
    }
    const bool active =
      rollout.m_state == RolloutState::Running || rollout.m_state == RolloutState::Paused;
    if (active && !activeModels.insert(rollout.m_model).second) {
      return Invalid(path, "model \"" + rollout.m_model + "\" already has an active roll-out");
    }
  }
  return {};
}

json ToJson(const RequestKind& aKind) {
  json object = {{"name", aKind.m_name},
                 {"deadline_ms", InMilliseconds(aKind.m_deadline)},
                 {"quality_target", aKind.m_qualityTarget},
                 {"urgency", NameOf(kUrgencyNames, aKind.m_urgency)},
                 {"models", aKind.m_models}};
  if (!aKind.m_service.empty()) {
    object["service"] = aKind.m_service;
    object["operation"] = aKind.m_operation;
  }
  return object;
}

json ToJson(const Contract& aContract) {
  json kinds = json::array();
  for (const RequestKind& kind : aContract.m_kinds) {
    kinds.push_back(ToJson(kind));
  }
  return {{"customer", aContract.m_customer},
          {"key_hashes", aContract.m_keyHashes},
          {"models", aContract.m_models},
          {"spend_limit_micros", aContract.m_spendLimitMicros},
          {"spend_period_ms", InMilliseconds(aContract.m_spendPeriod)},
          {"share", aContract.m_share},
          {"kinds", kinds}};
}

json ToJson(const ModelVersion& aVersion) {
  return {{"name", aVersion.m_name},
          {"input_micros_per_1000_tokens", aVersion.m_inputMicrosPer1000Tokens},
          {"output_micros_per_1000_tokens", aVersion.m_outputMicrosPer1000Tokens},
          {"state", NameOf(kVersionStateNames, aVersion.m_state)},
          {"prior_quality", aVersion.m_priorQuality}};
}

json ToJson(const PlainService& aService) {
  json operations = json::array();
  for (const ServiceOperation& operation : aService.m_operations) {
    operations.push_back({{"name", operation.m_name},
                          {"idempotent", operation.m_idempotent},
                          {"cost_micros", operation.m_costMicros}});
  }
  return {{"name", aService.m_name}, {"operations", operations}};
}

json ToJson(const Rollout& aRollout) {
  json steps = json::array();
  for (const double percent : aRollout.m_stepPercents) {
    steps.push_back({{"percent", percent}});
  }
  return {{"name", aRollout.m_name},    {"from", aRollout.m_from},
          {"to", aRollout.m_to},        {"steps", steps},
          {"step", aRollout.m_step},    {"state", NameOf(kRolloutStateNames, aRollout.m_state)},
          {"reason", aRollout.m_reason}};
}

template<typename Item>
json ToJsonArray(const std::vector<Item>& aItems) {
  json array = json::array();
  for (const Item& item : aItems) {
    array.push_back(ToJson(item));
  }
  return array;
}

} // namespace

Result<Configuration> ParseConfiguration(const std::string& aText) {
  const std::shared_ptr<const json> document = TRY(ParseJson(aText));
  Configuration configuration;
  FieldReader reader(*document, "");
  configuration.m_currency = reader.String("currency");
  reader.Objects("versions", [&configuration](FieldReader& aReader) {
    configuration.m_versions.push_back(ParseVersion(aReader));
  });
  reader.Objects("services", [&configuration](FieldReader& aReader) {
    configuration.m_services.push_back(ParseService(aReader));
  });
  reader.Objects("contracts", [&configuration](FieldReader& aReader) {
    configuration.m_contracts.push_back(ParseContract(aReader));
  });
  reader.Objects("rollouts", [&configuration](FieldReader& aReader) {
    configuration.m_rollouts.push_back(ParseRollout(aReader));
  });
  TRY(reader.Finish());
  TRY(CheckVersions(configuration));
  TRY(CheckContracts(configuration));
  TRY(CheckRollouts(configuration));
  return configuration;
}

std::string WriteConfiguration(const Configuration& aConfiguration) {
  const json document = {{"currency", aConfiguration.m_currency},
                         {"versions", ToJsonArray(aConfiguration.m_versions)},
                         {"services", ToJsonArray(aConfiguration.m_services)},
                         {"contracts", ToJsonArray(aConfiguration.m_contracts)},
                         {"rollouts", ToJsonArray(aConfiguration.m_rollouts)}};
  constexpr int kIndent = 2;
  return document.dump(kIndent) + "\n";
}

} // namespace fennelline
