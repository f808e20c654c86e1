#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

/// What one entry has seen of a server's speed since its last report.
struct SpeedReport {
  /// Lower half of the server's identity. Of 2,700 servers, two share it in fewer than one
  /// deployment in a thousand, and then share an estimate.
  std::uint32_t m_server = 0;
  /// Mean natural logarithm of the factor.
  double m_logFactor = 0.0;
  /// Number of streams that it rests on.
  double m_weight = 0.0;
};

/// Each report takes kSpeedReportBytes; both values are quantised to a byte.
constexpr std::size_t kSpeedReportBytes = 6;
std::string EncodeSpeedReports(const std::vector<SpeedReport>& aReports);
Result<std::vector<SpeedReport>> DecodeSpeedReports(const std::string& aBytes);

/// Estimates how long each server takes relative to the usual server of its service: 1 is usual,
/// 2 is half the speed. Answers the load in which a quarter of the servers runs at half the speed
/// and any of them is slower for half a second now and then.
///
/// The estimate of a server is a mean of logarithms, in which each sample moves it by a bounded
/// step, so that a few extreme samples do little. It decays to 1 without samples, so that no
/// server is avoided for ever. A restarted server has a new identity and starts at 1.
class ServerSpeed {
public:
  /// A stream on the server had this time between events. aKind: service and model; only samples
  /// of the same kind are compared. aLoad: estimated number of requests there.
  void LearnEventTime(std::uint64_t aServer, const std::string& aKind, Duration aEventTime,
                      double aLoad, Time aNow);
  /// A prompt expected to take aExpected on a usual server took aTaken.
  void LearnPrefill(std::uint64_t aServer, const std::string& aKind, Duration aExpected,
                    Duration aTaken, Time aNow);
  void OnReport(const SpeedReport& aReport, Time aNow);

  /// Exactly 1 for servers that differ from the usual one by no more than the noise.
  double Factor(std::uint64_t aServer, Time aNow) const;
  /// Time between events on a usual server with a usual load; zero if it is unknown.
  Duration UsualEventTime(const std::string& aKind) const;
  std::size_t CountSlow(Time aNow) const;
  /// Returns and removes what this entry has seen by itself since the last call, at most aMaxCount
  /// servers, those with the most samples first. The others are kept for the next call.
  std::vector<SpeedReport> TakeReports(std::size_t aMaxCount);
  /// Forgets servers without samples for a long time. Called about once a second.
  void Sweep(Time aNow);

private:
  /// Mean of the logarithms of the factors and the weight that it rests on.
  struct Estimate {
    double m_mean = 0.0;
    double m_weight = 0.0;
    Time m_at{};

    double WeightAt(Time aNow) const;
    void Add(double aLogFactor, double aWeight, Time aNow);
  };
  static constexpr std::size_t kUsualSamples = 64;

  /// The median of the last samples of a kind, as a logarithm, and their mean distance from it.
  struct Usual {
    std::array<float, kUsualSamples> m_last{};
    std::size_t m_count = 0;
    double m_log = 0.0;
    double m_spread = 0.0;

    void Add(double aLog);
  };

  void Learn(std::uint64_t aServer, const std::string& aKind, double aLog, double aWeight,
             Time aNow);
  static double FactorOf(const Estimate& aEstimate, Time aNow);

  std::unordered_map<std::uint32_t, Estimate> m_servers;
  std::unordered_map<std::uint32_t, SpeedReport> m_unreported;
  std::unordered_map<std::string, Usual> m_usual;
};

} // namespace fennelline
