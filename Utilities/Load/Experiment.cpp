#include "Utilities/Load/Experiment.h"

#include "LibBase/FieldReader.h"

#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

constexpr std::int64_t kMaxLengthMs = 600'000;
constexpr std::int64_t kMaxRequests = 10'000'000;
constexpr std::int64_t kMaxInFlight = 2'000;
constexpr std::int64_t kMaxCharacters = 1'000'000;
constexpr std::int64_t kMaxTokens = 100'000;
constexpr double kMaxRate = 100'000.0;
constexpr double kMaxWeight = 1'000'000.0;

LoadKind ParseKind(FieldReader& aReader) {
  LoadKind kind;
  kind.m_name = aReader.String("kind");
  kind.m_weight = aReader.Number("weight", {0.0, kMaxWeight}, kind.m_weight);
  kind.m_deadline = aReader.DurationMs("deadline_ms", {1, kMaxLengthMs});
  kind.m_service = aReader.String("service", "");
  kind.m_operation = aReader.String("operation", "");
  kind.m_prefixes = aReader.Integer("prefixes", {1, kMaxCharacters}, kind.m_prefixes);
  kind.m_prefixCharacters =
    aReader.Integer("prefix_characters", {0, kMaxCharacters}, kind.m_prefixCharacters);
  kind.m_ownCharacters =
    aReader.Integer("own_characters", {1, kMaxCharacters}, kind.m_ownCharacters);
  kind.m_maxTokens = aReader.Integer("max_tokens", {1, kMaxTokens}, kind.m_maxTokens);
  kind.m_stream = aReader.Boolean("stream", kind.m_stream);
  kind.m_directVersion = aReader.String("direct_version", "");
  if (kind.m_service.empty() != kind.m_operation.empty()) {
    aReader.Fail("operation", "service and operation must be set together");
  }
  return kind;
}

LoadCustomer ParseCustomer(FieldReader& aReader) {
  LoadCustomer customer;
  customer.m_key = aReader.String("key");
  customer.m_weight = aReader.Number("weight", {0.0, kMaxWeight}, customer.m_weight);
  return customer;
}

} // namespace

Result<Experiment> ParseExperiment(const std::string& aText) {
  const std::shared_ptr<const nlohmann::json> document = TRY(ParseJson(aText));
  FieldReader reader(*document, "");
  Experiment experiment;
  experiment.m_name = reader.String("name");
  experiment.m_seed = static_cast<std::uint64_t>(reader.Integer("seed", {0, kMaxRequests}, 1));
  experiment.m_requestsPerSecond = reader.Number("requests_per_second", {0.001, kMaxRate});
  experiment.m_length = reader.DurationMs("length_ms", {1, kMaxLengthMs});
  experiment.m_maxRequests =
    reader.Integer("most_requests", {1, kMaxRequests}, experiment.m_maxRequests);
  experiment.m_maxInFlight =
    reader.Integer("most_in_flight", {1, kMaxInFlight}, experiment.m_maxInFlight);
  reader.Objects("customers", [&experiment](FieldReader& aReader) {
    experiment.m_customers.push_back(ParseCustomer(aReader));
  });
  reader.Objects("kinds", [&experiment](FieldReader& aReader) {
    experiment.m_kinds.push_back(ParseKind(aReader));
  });
  if (experiment.m_customers.empty() || experiment.m_kinds.empty()) {
    reader.Fail("kinds", "at least one customer and one kind are required");
  }
  TRY(reader.Finish());
  return experiment;
}

} // namespace fennelline
