#include "Services/Entry/Shell/StatusJson.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace fennelline {

namespace {

/// Adds a gauge to a registry that is built for a single scrape.
void Set(prometheus::Registry& aRegistry, const std::string& aName, const std::string& aHelp,
         double aValue, const prometheus::Labels& aLabels = {}) {
  prometheus::BuildGauge().Name(aName).Help(aHelp).Register(aRegistry).Add(aLabels).Set(aValue);
}

template<typename Number>
double AsDouble(Number aNumber) {
  return static_cast<double>(aNumber);
}

void SetRequests(prometheus::Registry& aRegistry, const RequestPipeline& aRequests) {
  const RequestPipeline::Counts& counts = aRequests.GetCounts();
  for (const auto& [outcome, count] : counts.m_outcomes) {
    Set(aRegistry, "fennelline_requests_total", "Requests ended, by outcome", AsDouble(count),
        {{"outcome", outcome}});
  }
  Set(aRegistry, "fennelline_requests_late_total", "Answers that left after their deadline",
      AsDouble(counts.m_late));
  Set(aRegistry, "fennelline_request_seconds_total", "Time from arrival to end, summed",
      counts.m_totalSeconds);
  Set(aRegistry, "fennelline_requests_open", "Requests not ended yet",
      AsDouble(aRequests.OpenCount()));
}

void SetCoordination(prometheus::Registry& aRegistry, const EntryParts& aParts, Time aNow) {
  const std::shared_ptr<const Configuration> configuration = aParts.m_configuration.Current();
  const ClaimTable::Counts claims = aParts.m_claims.Count();
  Set(aRegistry, "fennelline_configuration_revision", "Revision of the configuration in force",
      configuration ? AsDouble(configuration->m_revision) : 0.0);
  Set(aRegistry, "fennelline_configuration_age_seconds",
      "Time since the configuration was last known to be the newest",
      InSeconds(aParts.m_configuration.Age(aNow)));
  Set(aRegistry, "fennelline_members_live", "Live entries, this one included",
      AsDouble(aParts.m_liveEntries));
  Set(aRegistry, "fennelline_claim_slots", "Claim slots held for other entries and for this one",
      AsDouble(claims.m_slots));
  Set(aRegistry, "fennelline_claim_shards_served", "Shards of the claim table served here",
      AsDouble(claims.m_shardsServed));
  Set(aRegistry, "fennelline_usage_records_unsettled", "Own usage records not yet settled",
      AsDouble(aParts.m_usage.CountUnsettled()));
  Set(aRegistry, "fennelline_usage_copies", "Usage records held for other entries",
      AsDouble(aParts.m_usage.CountCopiesHeld()));
}

void SetBackends(prometheus::Registry& aRegistry, const EntryParts& aParts) {
  for (const auto& [id, server] : aParts.m_backends.Servers()) {
    const prometheus::Labels labels = {{"server", id}};
    Set(aRegistry, "fennelline_backend_outstanding", "Requests sent there and not ended",
        AsDouble(server.m_outstanding), labels);
    Set(aRegistry, "fennelline_backend_takes_work", "1 where new work may be sent there",
        TakesNewWork(server) ? 1.0 : 0.0, labels);
  }
}

} // namespace

std::string WriteMetrics(const EntryReducer& aReducer, Time aNow) {
  prometheus::Registry registry;
  SetRequests(registry, aReducer.Requests());
  SetCoordination(registry, aReducer.Parts(), aNow);
  SetBackends(registry, aReducer.Parts());
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace fennelline
