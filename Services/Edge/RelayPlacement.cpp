// Selects the eligible backend servers of a request and chooses one of them.

#include "LibRouting/LoadEstimate.h"
#include "LibRouting/LongPromptServers.h"
#include "Services/Edge/Hash.h"
#include "Services/Edge/RequestRelay.h"
#include "Services/Edge/ServerPermits.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace fennelline {

namespace {

/// Fraction of its equal share of a server's connections that this entry uses. The margin is
/// needed because entries do not know exactly how many entries there are.
constexpr double kUsableChannelFraction = 0.9;
constexpr double kMinChannels = 2.0;

/// Delay that one more request causes to the others on a server, see PlacementQuery.
constexpr double kEngineDelayPerRequestMs = 1.0;
constexpr double kPlainDelayPerRequestMs = 6.0;

/// Prompts with a longer prefill are announced to the other entries. Shorter ones do not make other
/// requests miss a latency objective of two seconds.
constexpr Duration kAnnouncedPrefillTime = Milliseconds(100);

/// Size of a typical response.
constexpr double kTypicalResponseBytes = 2'000.0;
constexpr double kBytesPerOutputToken = 12.0;

/// Servers in addition to the trial share, so that placement has a choice among them.
constexpr std::size_t kSpareTrialServers = 1;

/// Limits the trial to a few servers of the new version, so that each has about the load that it
/// would have with all traffic: some versions fail only under load.
void LimitTrialServers(std::vector<std::shared_ptr<BackendLink>>& aServers, double aShare,
                       Time aNow) {
  const std::size_t count =
    static_cast<std::size_t>(std::ceil(static_cast<double>(aServers.size()) * aShare));
  std::sort(aServers.begin(), aServers.end(),
            [aNow](const std::shared_ptr<BackendLink>& aFirst,
                   const std::shared_ptr<BackendLink>& aSecond) {
              const bool isFirstAvoided = aFirst->m_health.IsAvoided(aNow);
              const bool isSecondAvoided = aSecond->m_health.IsAvoided(aNow);
              return isFirstAvoided != isSecondAvoided ? isSecondAvoided
                                                       : aFirst->m_identity < aSecond->m_identity;
            });
  aServers.resize(std::min(aServers.size(), count + kSpareTrialServers));
}

/// Returns those of the servers that a request goes to by its rule for versions.
std::vector<std::shared_ptr<BackendLink>> OfVersion(
  const std::vector<std::shared_ptr<BackendLink>>& aServers, const VersionRule& aRule,
  double aExposedShare, Time aNow) {
  std::vector<std::shared_ptr<BackendLink>> ofVersion;
  std::vector<std::shared_ptr<BackendLink>> others;
  for (const std::shared_ptr<BackendLink>& server : aServers) {
    switch (RoleOf(aRule, server->m_record.m_version)) {
      case VersionRole::Target:
        ofVersion.push_back(server);
        break;
      case VersionRole::Accepted:
        others.push_back(server);
        break;
      case VersionRole::Failed:
        break;
    }
  }
  if (aRule.m_preference == VersionPreference::Never || ofVersion.empty()) {
    return others;
  }
  if (aRule.m_preference == VersionPreference::Trial) {
    LimitTrialServers(ofVersion, TrialShare(aExposedShare), aNow);
  } else if (aRule.m_preference == VersionPreference::Prefer && aNow < aRule.m_rampUntil) {
    LimitTrialServers(ofVersion, kRampShare, aNow);
  }
  return ofVersion;
}

} // namespace

bool RequestRelay::WasTried(const BackendLink& aBackend) const {
  return std::find(m_triedBackends.begin(), m_triedBackends.end(), aBackend.m_record.m_id) !=
         m_triedBackends.end();
}

ServerBar RequestRelay::BarOf(const BackendLink& aBackend, Time aNow) const {
  if (aBackend.IsLeaving(aNow)) {
    return ServerBar::Leaving;
  }
  if (m_context.IsEvacuated(aBackend)) {
    return ServerBar::Evacuated;
  }
  if (!aBackend.TakesRequests(aNow)) {
    return ServerBar::LeftAlone;
  }
  if (WasTried(aBackend)) {
    return ServerBar::Tried;
  }
  if (HasNoPermit(aBackend, aNow)) {
    return ServerBar::NoPermit;
  }
  return HasNoRoom(aBackend) ? ServerBar::NoRoom : ServerBar::None;
}

std::string RequestRelay::DescribeBars() const {
  const Time now = m_context.m_loop.Now();
  std::map<ServerBar, std::size_t> counts;
  for (const std::shared_ptr<BackendLink>& backend : m_context.m_backends.OfService(m_service)) {
    ++counts[BarOf(*backend, now)];
  }
  std::string text;
  for (const auto& [bar, count] : counts) {
    text += (text.empty() ? "" : ",") + std::string(NameOf(kServerBarNames, bar)) + ":" +
            std::to_string(count);
  }
  return text;
}

std::vector<std::shared_ptr<BackendLink>> RequestRelay::Eligible(const BackendLink* aExcept) const {
  const Time now = m_context.m_loop.Now();
  std::vector<std::shared_ptr<BackendLink>> servers = m_context.m_backends.OfService(m_service);
  VersionRule rule = RuleForRequest();
  const bool hasOther = std::any_of(
    servers.begin(), servers.end(), [&rule, now](const std::shared_ptr<BackendLink>& aServer) {
      return !aServer->IsLeaving(now) &&
             RoleOf(rule, aServer->m_record.m_version) != VersionRole::Failed;
    });
  if (!hasOther) {
    // The service has only servers of failed versions left.
    rule.m_failedVersions.clear();
  }
  std::erase_if(servers, [&](const std::shared_ptr<BackendLink>& aServer) {
    return aServer.get() == aExcept || BarOf(*aServer, now) != ServerBar::None;
  });
  return OfVersion(servers, rule, m_context.m_settings.m_exposedShare, now);
}

std::string RequestRelay::ChooseModel() const {
  if (m_route->m_models.empty()) {
    return {};
  }
  return m_route->m_models[std::min(m_modelIndex, m_route->m_models.size() - 1)];
}

PlacementQuery RequestRelay::MakeQuery(const Service* aService, const std::string& aModel) const {
  const bool isEngine = aService != nullptr && aService->m_isEngine;
  PlacementQuery query;
  query.m_delayPerRequestMs = isEngine ? kEngineDelayPerRequestMs : kPlainDelayPerRequestMs;
  query.m_bytes = static_cast<double>(m_request.m_body.size()) + kTypicalResponseBytes +
                  static_cast<double>(m_metadata.m_mostOutputTokens) * kBytesPerOutputToken;
  query.m_objectiveMs = InFractionalMilliseconds(m_route->m_objective);
  if (m_metadata.m_promptParts.size() > 1) {
    // All parts but the last, which is unique to the request, may be cached.
    const PromptPart& lastShared = m_metadata.m_promptParts[m_metadata.m_promptParts.size() - 2];
    query.m_prefix = lastShared.m_id ^ HashOf(aModel);
    for (const PromptPart& part : m_metadata.m_promptParts) {
      query.m_prefixTokens += part.m_tokens;
    }
    query.m_prefixTokens -= m_metadata.m_promptParts.back().m_tokens;
  }
  if (isEngine) {
    const PrefillSpeedEstimator& speed = m_context.m_prefillSpeed;
    const Duration promptTime = speed.PrefillTime(aModel, m_metadata.m_promptTokens);
    query.m_promptMs = InFractionalMilliseconds(promptTime);
    query.m_prefixMs = InFractionalMilliseconds(speed.PrefillTime(aModel, query.m_prefixTokens));
    query.m_isLong = promptTime >= PrefillLoad::kLongPrefill;
    AddExpectedTimes(query, *aService, aModel);
    if (LongPromptsDelayEvents(*aService)) {
      query.m_pauseObjectiveMs = InFractionalMilliseconds(m_route->m_pauseObjective);
    }
  }
  return query;
}

bool RequestRelay::LongPromptsDelayEvents(const Service& aService) const {
  if (m_route->m_models.empty()) {
    return false;
  }
  const Duration chunk =
    m_context.m_prefillSpeed.PrefillTime(m_route->m_models.back(), kPrefillChunkTokens);
  return DelaysStreamEvents(aService.m_tokensPerEvent, chunk, m_route->m_pauseObjective);
}

std::vector<bool> RequestRelay::MarkLongPromptServers(
  const std::vector<std::shared_ptr<BackendLink>>& aServers) {
  std::vector<LongPromptCandidate> candidates;
  candidates.reserve(aServers.size());
  for (const std::shared_ptr<BackendLink>& server : aServers) {
    candidates.push_back(
      {.m_identity = server->m_identity, .m_zone = HashOf(server->m_record.m_zone)});
  }
  return ChooseLongPromptServers(candidates);
}

void RequestRelay::RecordPrefill(const Choice& aChoice) {
  BackendLink& backend = *aChoice.m_backend;
  const PlacementQuery& query = aChoice.m_query;
  const Time now = m_context.m_loop.Now();
  m_prefillTokens =
    m_metadata.m_promptTokens - (aChoice.m_isPrefixCached ? query.m_prefixTokens : 0);
  const Duration usualTime = m_context.m_prefillSpeed.PrefillTime(ChooseModel(), m_prefillTokens);
  const Duration time = std::chrono::duration_cast<Duration>(usualTime * aChoice.m_speedFactor);
  m_prefixCached = aChoice.m_isPrefixCached;
  m_expectedPrefillWait = backend.m_prefillLoad.Left(now);
  backend.m_prefillLoad.Add(time, now);
  if (time >= kAnnouncedPrefillTime && m_context.m_onLoad) {
    m_context.m_onLoad({.m_backend = backend.m_identity, .m_prefillTime = time});
  }
  if (query.m_prefix != 0) {
    backend.m_prefixes.OnSent(query.m_prefix, now);
  }
}

std::optional<Duration> RequestRelay::TakeLikelyPermit() const {
  const Time now = m_context.m_loop.Now();
  std::shared_ptr<BackendLink> earliest;
  for (const std::shared_ptr<BackendLink>& backend : m_context.m_backends.OfService(m_service)) {
    const bool isLimited = m_context.m_permits->NeedFor(*backend) == PermitNeed::Required &&
                           backend->TakesRequests(now) && !m_context.IsEvacuated(*backend);
    if (isLimited && (!earliest || backend->m_likelyPermit < earliest->m_likelyPermit)) {
      earliest = backend;
    }
  }
  const std::optional<PermitTerms> terms =
    earliest ? m_context.m_permits->TermsFor(*earliest) : std::nullopt;
  if (!terms) {
    return std::nullopt;
  }
  const Time likely = std::max(now, earliest->m_likelyPermit);
  // The other entries refuse about as many requests, which come back too.
  const double untilNext =
    static_cast<double>(m_context.m_entries) / std::max(kMinPermitsPerSecond, terms->m_perSecond);
  earliest->m_likelyPermit = std::min(
    now + kMaxPermitWait,
    likely + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(untilNext)));
  return likely - now;
}

bool RequestRelay::HasUnlimitedServer(const BackendLink* aExcept) const {
  const std::vector<std::shared_ptr<BackendLink>> eligible = Eligible(aExcept);
  return std::any_of(eligible.begin(), eligible.end(),
                     [this](const std::shared_ptr<BackendLink>& aServer) {
                       return NeedFor(*aServer) != PermitNeed::Required;
                     });
}

std::optional<RequestRelay::Choice> RequestRelay::ChooseBackend() {
  const std::vector<std::shared_ptr<BackendLink>> eligible = Eligible();
  const Time now = m_context.m_loop.Now();
  const Service* service = m_routes->FindService(m_service);
  const bool isEngine = service != nullptr && service->m_isEngine;
  const double entries = static_cast<double>(m_context.m_entries);
  const PlacementQuery query = MakeQuery(service, ChooseModel());
  const bool isSuspect = IsSuspect();
  // Another server can run it if the limited one answers too late.
  const bool mayCheckLimit = m_retryPolicy.Promise().MayRepeat() && !isSuspect;
  const double maxChannels =
    service == nullptr || service->m_mostChannels == 0
      ? static_cast<double>(m_context.m_settings.m_maxDescriptors)
      : std::max(kMinChannels,
                 static_cast<double>(service->m_mostChannels) * kUsableChannelFraction / entries);
  const std::vector<bool> isForLongPrompts = query.m_pauseObjectiveMs > 0.0
                                               ? MarkLongPromptServers(eligible)
                                               : std::vector<bool>(eligible.size(), false);
  double ownMean = 0.0;
  for (const std::shared_ptr<BackendLink>& backend : eligible) {
    ownMean += backend->m_runningRequests / static_cast<double>(eligible.size());
  }
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(eligible.size());
  for (std::size_t index = 0; index < eligible.size(); ++index) {
    const std::shared_ptr<BackendLink>& backend = eligible[index];
    const bool isFull = static_cast<double>(backend->m_pool.CountInUse()) >= maxChannels;
    const PrefillLoad& prefillLoad = backend->m_prefillLoad;
    candidates.push_back(
      {.m_identity = backend->m_identity,
       .m_load = isEngine ? EstimateLoad(backend->m_runningRequests, ownMean, m_context.m_entries)
                          : backend->m_runningRequests,
       .m_speedFactor = isEngine ? SpeedFactor(*backend) : 1.0,
       .m_recentRejection = isEngine ? backend->m_health.RecentRejection(now) : 0.0,
       .m_prefillMs = InFractionalMilliseconds(prefillLoad.Left(now)),
       .m_continuousPrefillMs = InFractionalMilliseconds(prefillLoad.ContinuousTime(now)),
       .m_slots = static_cast<double>(backend->m_record.m_slots),
       .m_isNear = backend->m_record.m_zone == m_context.m_settings.m_zone,
       .m_holdsPrefix = backend->m_prefixes.Holds(query.m_prefix, now),
       .m_isReserved = isForLongPrompts[index],
       .m_isServingLongPrompt = prefillLoad.IsServingLongPrompt(now),
       .m_isLimited = backend->m_limit.PerSecond().has_value() &&
                      !(mayCheckLimit && m_context.m_permits->IsDueForCheck(*backend)),
       .m_needsPermit = !backend->m_limit.PerSecond() &&
                        m_context.m_permits->NeedFor(*backend) != PermitNeed::None,
       .m_failureRate = backend->m_health.FailureRate(now),
       .m_isAvoided = isFull || backend->m_health.IsAvoided(now) ||
                      (isSuspect && backend->m_runningSuspects > 0)});
  }
  const std::optional<std::size_t> chosen = ChoosePlacement(query, candidates, m_context.m_random);
  if (!chosen) {
    return std::nullopt;
  }
  return Choice{.m_backend = eligible[*chosen],
                .m_query = query,
                .m_isPrefixCached = candidates[*chosen].m_holdsPrefix,
                .m_isEngine = isEngine,
                .m_load = candidates[*chosen].m_load,
                .m_speedFactor = candidates[*chosen].m_speedFactor};
}

} // namespace fennelline
