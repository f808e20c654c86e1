#include "LibRouting/CongestionSignal.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fennelline {

namespace {

/// One entry of 86 gets about ten answers a second in a surge.
constexpr Duration kWindow = Milliseconds(1500);
constexpr std::size_t kMaxSamples = 512;

/// The level is computed again after this time, as it takes a look at all runs of the entry.
constexpr Duration kLevelAge = Milliseconds(20);

/// A run is delayed if its first event takes twice as long as expected and this much more. Servers
/// at half of the usual speed, and those that are slow for half a second, stay below.
constexpr Duration kDelay = Milliseconds(250);

/// A server that rejected a request is taken to be full for about the time of a short answer.
constexpr Duration kRejectionAge = Milliseconds(300);

/// Runs without delay that are assumed in addition, so that the first two delays are no surge.
constexpr double kPriorRuns = 3.0;

/// A slow server counts for at most this many delayed runs, or this many times its equal part of
/// all runs.
constexpr double kMaxDelayedPerServer = 2.0;
constexpr double kMaxPart = 2.0;

/// What is learned of the usual time changes by at most this per answer, and only with a level up
/// to this one.
constexpr double kLeastStepMs = 2.0;
constexpr double kStep = 0.05;
constexpr double kMaxUsualMs = 2000.0;
constexpr double kCalmLevel = 0.15;

/// Time to the first event of a usual engine without a queue.
constexpr double kInitialUsualMs = 60.0;

bool IsDelayed(Duration aTime, Duration aExpected) {
  return aTime > aExpected * 2 + kDelay;
}

} // namespace

double CongestionSignal::Counts::Level() const {
  if (m_delayedOfServer.size() < 2) {
    return 0.0;
  }
  const double most =
    std::max(kMaxDelayedPerServer, kMaxPart * m_all / static_cast<double>(m_servers.size()));
  double counted = 0.0;
  double delayedRuns = 0.0;
  for (const auto& [server, delayed] : m_delayedOfServer) {
    counted += std::min(most, delayed);
    delayedRuns += delayed;
  }
  return counted / (m_all - delayedRuns + counted + kPriorRuns);
}

Duration CongestionSignal::ExpectedFirstEvent(const std::string& aModel,
                                              std::int64_t aPrefillTokens) const {
  const auto found = m_usualMs.find(aModel);
  const double usualMs = found == m_usualMs.end() ? kInitialUsualMs : found->second;
  return m_prefillSpeed.PrefillTime(aModel, aPrefillTokens) +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(usualMs));
}

CongestionSignal::RunId CongestionSignal::OnSent(Run aRun) {
  const Duration expected = ExpectedFirstEvent(aRun.m_model, aRun.m_prefillTokens);
  m_runs[++m_lastRun] = {.m_run = std::move(aRun), .m_expected = expected};
  return m_lastRun;
}

void CongestionSignal::OnFirstEvent(RunId aRun, Time aNow) {
  const auto found = m_runs.find(aRun);
  if (found == m_runs.end() || std::exchange(found->second.m_hasBegun, true)) {
    return;
  }
  const Duration time = aNow - found->second.m_run.m_sentAt;
  AddSample(found->second, IsDelayed(time, found->second.m_expected), aNow);
  Learn(found->second, time, aNow);
}

void CongestionSignal::Learn(const OpenRun& aRun, Duration aTime, Time aNow) {
  const auto [usual, isFirst] = m_usualMs.try_emplace(aRun.m_run.m_model, kInitialUsualMs);
  if (!isFirst && Level(aNow) > kCalmLevel) {
    return;
  }
  m_prefillSpeed.Learn(aRun.m_run.m_model, aRun.m_run.m_prefillTokens, Duration(0), aTime);
  const double beyondMs = InFractionalMilliseconds(
    aTime - m_prefillSpeed.PrefillTime(aRun.m_run.m_model, aRun.m_run.m_prefillTokens));
  const double step = std::max(kLeastStepMs, usual->second * kStep);
  usual->second = isFirst ? beyondMs : usual->second + (beyondMs > usual->second ? step : -step);
  usual->second = std::clamp(usual->second, 0.0, kMaxUsualMs);
}

void CongestionSignal::OnEnded(RunId aRun, Time aNow) {
  const auto found = m_runs.find(aRun);
  if (found == m_runs.end()) {
    return;
  }
  const OpenRun run = std::move(found->second);
  m_runs.erase(found);
  if (!run.m_hasBegun && IsDelayed(aNow - run.m_run.m_sentAt, run.m_expected)) {
    AddSample(run, true, aNow);
  }
}

void CongestionSignal::OnRejected(RunId aRun, Time aNow) {
  const auto found = m_runs.find(aRun);
  if (found != m_runs.end() && !std::exchange(found->second.m_hasBegun, true)) {
    AddSample(found->second, true, aNow);
    m_lastRejection = aNow;
  }
}

void CongestionSignal::AddSample(const OpenRun& aRun, bool aIsDelayed, Time aNow) {
  m_samples.push_back(
    {.m_at = aNow,
     .m_server = aRun.m_run.m_server,
     .m_urgency = aRun.m_run.m_urgency,
     .m_isDelayed = aIsDelayed,
     .m_excess = std::max(Duration(0), aNow - aRun.m_run.m_sentAt - aRun.m_expected)});
  while (m_samples.size() > kMaxSamples || m_samples.front().m_at + kWindow < aNow) {
    m_samples.pop_front();
  }
}

CongestionSignal::Counts CongestionSignal::CountRecent(int aFirstUrgency, int aLastUrgency,
                                                       Time aNow) const {
  Counts counts;
  const auto count = [&](int aUrgency, std::uint64_t aServer, bool aIsDelayed) {
    if (aUrgency >= aFirstUrgency && aUrgency <= aLastUrgency) {
      counts.m_all += 1.0;
      counts.m_servers.insert(aServer);
      if (aIsDelayed) {
        counts.m_delayedOfServer[aServer] += 1.0;
      }
    }
  };
  for (const Sample& sample : m_samples) {
    if (sample.m_at + kWindow >= aNow) {
      count(sample.m_urgency, sample.m_server, sample.m_isDelayed);
    }
  }
  for (const auto& [id, run] : m_runs) {
    if (!run.m_hasBegun && IsDelayed(aNow - run.m_run.m_sentAt, run.m_expected)) {
      count(run.m_run.m_urgency, run.m_run.m_server, true);
    }
  }
  return counts;
}

double CongestionSignal::Level(Time aNow) {
  if (aNow >= m_levelAt + kLevelAge) {
    m_level = CountRecent(0, std::numeric_limits<int>::max(), aNow).Level();
    m_levelAt = aNow;
  }
  return m_level;
}

bool CongestionSignal::HasWaitingRun(Time aNow) const {
  const bool isOverdue = std::any_of(m_runs.begin(), m_runs.end(), [aNow](const auto& aItem) {
    const OpenRun& run = aItem.second;
    return !run.m_hasBegun && IsDelayed(aNow - run.m_run.m_sentAt, run.m_expected);
  });
  return isOverdue || (m_lastRejection != Time{} && m_lastRejection + kRejectionAge >= aNow);
}

double CongestionSignal::LevelOf(int aUrgency, Time aNow) const {
  return CountRecent(aUrgency, aUrgency, aNow).Level();
}

Duration CongestionSignal::ServerWait(int aUrgency, Time aNow) const {
  Duration sum{0};
  std::int64_t count = 0;
  for (const Sample& sample : m_samples) {
    if (sample.m_urgency == aUrgency && sample.m_at + kWindow >= aNow) {
      sum += sample.m_excess;
      ++count;
    }
  }
  for (const auto& [id, run] : m_runs) {
    const Duration excess = aNow - run.m_run.m_sentAt - run.m_expected;
    if (!run.m_hasBegun && run.m_run.m_urgency == aUrgency && excess > Duration(0)) {
      // On average, those that wait now have waited for half of their time.
      sum += excess * 2;
      ++count;
    }
  }
  return count == 0 ? Duration(0) : sum / count;
}

} // namespace fennelline
