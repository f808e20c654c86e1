#include "LibRouting/ServerSpeed.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

/// Each request of a batch lengthens the engine's step by about this part. Samples are converted to
/// the usual load.
constexpr double kStepPartPerRequest = 0.02;
constexpr double kUsualLoad = 8.0;

/// A sample moves the estimate by at most its weight's part of this, so that a stream during
/// half a second of 2.5 times the usual time counts little more than a slow server's.
constexpr double kMaxLogStep = 0.6;
/// Largest factor that a sample may claim, as a logarithm: servers differ by less than four.
constexpr double kMaxLog = 1.4;
/// Number of samples that the mean distance from the usual value remembers.
constexpr double kSpreadMemory = 100.0;
/// Kinds whose samples differ by more than this mean distance for other reasons (runs of other
/// models in the same batch) count less.
constexpr double kTrustedSpread = 0.5;
/// How fast their weight falls with that distance.
constexpr double kDistrust = 4.0;

/// Streams that the starting value 1 counts for.
constexpr double kStartWeight = 1.0;
/// A server counts as usual while the estimate rests on less: one stream says too little.
constexpr double kKnownWeight = 1.5;
/// An estimate rests on at most this many streams, so that it follows changes.
constexpr double kMaxWeight = 16.0;
/// The weight decays to 1/e within this time. With ten streams, a server of twice the usual time
/// counts as usual again after less than a minute without samples.
constexpr Duration kDecayTime = Seconds(30);
/// An estimate with a smaller weight changes the factor by less than 2%.
constexpr double kLeastWeight = 0.05;

/// Differences of up to this logarithm are noise (20%), and count as none; those from the second
/// one on (43%) count in full.
constexpr double kNoiseLog = 0.18;
constexpr double kFullLog = 0.36;

/// Prefill shorter than this is hidden by the time of a step and of the network.
constexpr Duration kMinPrefill = Milliseconds(30);
/// Prompts of other entries lengthen the time to the first event, so it tells less than the time
/// between events.
constexpr double kPrefillWeight = 0.25;

/// Servers with a higher factor count as slow in the metrics.
constexpr double kSlowFactor = 1.5;

/// Kinds beyond this are not learned: where callers name the model, they could name any number.
constexpr std::size_t kMaxKinds = 128;

/// Resolution of the quantised values.
constexpr double kLogSteps = 64.0;
constexpr double kWeightSteps = 16.0;
constexpr double kMaxByte = 255.0;
constexpr double kMaxSignedByte = 127.0;
constexpr std::size_t kIdentityBytes = 4;
constexpr unsigned kByteBits = 8;
constexpr std::uint32_t kByteMask = 0xff;

} // namespace

std::string EncodeSpeedReports(const std::vector<SpeedReport>& aReports) {
  std::string bytes;
  bytes.reserve(aReports.size() * kSpeedReportBytes);
  for (const SpeedReport& report : aReports) {
    for (std::size_t index = 0; index < kIdentityBytes; ++index) {
      bytes += static_cast<char>((report.m_server >> (index * kByteBits)) & kByteMask);
    }
    const double log =
      std::clamp(std::round(report.m_logFactor * kLogSteps), -kMaxSignedByte, kMaxSignedByte);
    bytes += static_cast<char>(static_cast<std::int8_t>(log));
    const double weight = std::clamp(std::round(report.m_weight * kWeightSteps), 0.0, kMaxByte);
    bytes += static_cast<char>(static_cast<std::uint8_t>(weight));
  }
  return bytes;
}

Result<std::vector<SpeedReport>> DecodeSpeedReports(const std::string& aBytes) {
  if (aBytes.size() % kSpeedReportBytes != 0) {
    return MakeError(ErrorCode::InvalidField, "speed reports: incomplete report");
  }
  std::vector<SpeedReport> reports;
  for (std::size_t start = 0; start < aBytes.size(); start += kSpeedReportBytes) {
    SpeedReport report;
    for (std::size_t index = 0; index < kIdentityBytes; ++index) {
      const std::uint32_t byte = static_cast<std::uint8_t>(aBytes[start + index]);
      report.m_server |= byte << (index * kByteBits);
    }
    report.m_logFactor = static_cast<std::int8_t>(aBytes[start + kIdentityBytes]) / kLogSteps;
    report.m_weight = static_cast<std::uint8_t>(aBytes[start + kIdentityBytes + 1]) / kWeightSteps;
    reports.push_back(report);
  }
  return reports;
}

double ServerSpeed::Estimate::WeightAt(Time aNow) const {
  const double age = std::max(0.0, InSeconds(aNow - m_at));
  return m_weight * std::exp(-age / InSeconds(kDecayTime));
}

void ServerSpeed::Estimate::Add(double aLogFactor, double aWeight, Time aNow) {
  if (aWeight <= 0.0) {
    return;
  }
  const double weight = WeightAt(aNow);
  const double step =
    std::clamp(std::clamp(aLogFactor, -kMaxLog, kMaxLog) - m_mean, -kMaxLogStep, kMaxLogStep);
  m_mean += step * aWeight / (weight + aWeight);
  m_weight = std::min(kMaxWeight, weight + aWeight);
  m_at = aNow;
}

void ServerSpeed::Usual::Add(double aLog) {
  m_last[m_count++ % kUsualSamples] = static_cast<float>(aLog);
  std::array<float, kUsualSamples> sorted = m_last;
  const std::ptrdiff_t count = static_cast<std::ptrdiff_t>(std::min(m_count, kUsualSamples));
  const auto middle = sorted.begin() + (count - 1) / 2;
  std::nth_element(sorted.begin(), middle, sorted.begin() + count);
  m_log = static_cast<double>(*middle);
}

void ServerSpeed::LearnEventTime(std::uint64_t aServer, const std::string& aKind,
                                 Duration aEventTime, double aLoad, Time aNow) {
  if (aEventTime <= Duration(0)) {
    return;
  }
  const double forLoad =
    (1.0 + kStepPartPerRequest * kUsualLoad) / (1.0 + kStepPartPerRequest * std::max(0.0, aLoad));
  Learn(aServer, aKind, std::log(InSeconds(aEventTime) * forLoad), 1.0, aNow);
}

void ServerSpeed::LearnPrefill(std::uint64_t aServer, const std::string& aKind, Duration aExpected,
                               Duration aTaken, Time aNow) {
  if (aExpected < kMinPrefill || aTaken <= Duration(0)) {
    return;
  }
  Learn(aServer, "prefill/" + aKind, std::log(InSeconds(aTaken) / InSeconds(aExpected)),
        kPrefillWeight, aNow);
}

void ServerSpeed::Learn(std::uint64_t aServer, const std::string& aKind, double aLog,
                        double aWeight, Time aNow) {
  if (m_usual.size() >= kMaxKinds && !m_usual.contains(aKind)) {
    return;
  }
  Usual& usual = m_usual[aKind];
  usual.Add(aLog);
  const double distance = std::clamp(aLog - usual.m_log, -kMaxLog, kMaxLog);
  const double gain = 1.0 / std::min(kSpreadMemory, static_cast<double>(usual.m_count));
  usual.m_spread += (std::abs(distance) - usual.m_spread) * gain;
  const double spread = usual.m_spread / kTrustedSpread;
  const double weight = aWeight / (1.0 + std::pow(spread, kDistrust));
  const std::uint32_t server = static_cast<std::uint32_t>(aServer);
  m_servers[server].Add(distance, weight, aNow);
  SpeedReport& report = m_unreported[server];
  report.m_server = server;
  report.m_logFactor += (distance - report.m_logFactor) * weight / (report.m_weight + weight);
  report.m_weight += weight;
}

void ServerSpeed::OnReport(const SpeedReport& aReport, Time aNow) {
  m_servers[aReport.m_server].Add(aReport.m_logFactor, aReport.m_weight, aNow);
}

double ServerSpeed::FactorOf(const Estimate& aEstimate, Time aNow) {
  const double weight = aEstimate.WeightAt(aNow);
  if (weight < kKnownWeight) {
    return 1.0;
  }
  const double log = aEstimate.m_mean * weight / (weight + kStartWeight);
  const double part = std::clamp((std::abs(log) - kNoiseLog) / (kFullLog - kNoiseLog), 0.0, 1.0);
  return part <= 0.0 ? 1.0 : std::exp(log * part);
}

double ServerSpeed::Factor(std::uint64_t aServer, Time aNow) const {
  const auto found = m_servers.find(static_cast<std::uint32_t>(aServer));
  return found == m_servers.end() ? 1.0 : FactorOf(found->second, aNow);
}

Duration ServerSpeed::UsualEventTime(const std::string& aKind) const {
  const auto found = m_usual.find(aKind);
  return found == m_usual.end() ? Duration(0)
                                : std::chrono::duration_cast<Duration>(
                                    std::chrono::duration<double>(std::exp(found->second.m_log)));
}

std::size_t ServerSpeed::CountSlow(Time aNow) const {
  return static_cast<std::size_t>(
    std::count_if(m_servers.begin(), m_servers.end(), [aNow](const auto& aServer) {
      return FactorOf(aServer.second, aNow) > kSlowFactor;
    }));
}

std::vector<SpeedReport> ServerSpeed::TakeReports(std::size_t aMaxCount) {
  std::vector<SpeedReport> reports;
  reports.reserve(m_unreported.size());
  for (const auto& [server, report] : m_unreported) {
    reports.push_back(report);
  }
  std::sort(reports.begin(), reports.end(),
            [](const SpeedReport& aFirst, const SpeedReport& aSecond) {
              return aFirst.m_weight != aSecond.m_weight ? aFirst.m_weight > aSecond.m_weight
                                                         : aFirst.m_server < aSecond.m_server;
            });
  reports.resize(std::min(aMaxCount, reports.size()));
  for (const SpeedReport& report : reports) {
    m_unreported.erase(report.m_server);
  }
  return reports;
}

void ServerSpeed::Sweep(Time aNow) {
  std::erase_if(m_servers, [aNow](const auto& aServer) {
    return aServer.second.WeightAt(aNow) < kLeastWeight;
  });
  std::erase_if(m_unreported,
                [this](const auto& aReport) { return !m_servers.contains(aReport.first); });
}

} // namespace fennelline
