#include "Utilities/Policy/Workload.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

/// Spread of the logarithm of an answer's length around its mean.
constexpr double kLengthSpread = 0.4;

/// Shared prefixes are used unevenly: the n-th with a weight of 1 / n.
std::uint64_t DrawPrefix(std::uint64_t aCount, Random& aRandom) {
  double sum = 0.0;
  for (std::uint64_t rank = 1; rank <= aCount; ++rank) {
    sum += 1.0 / static_cast<double>(rank);
  }
  double left = aRandom.Uniform() * sum;
  for (std::uint64_t rank = 1; rank < aCount; ++rank) {
    left -= 1.0 / static_cast<double>(rank);
    if (left < 0.0) {
      return rank;
    }
  }
  return aCount;
}

/// Two large accounts and eight small ones; the contract's share is that of the usual traffic.
std::vector<CustomerProfile> TenCustomers() {
  std::vector<CustomerProfile> customers = {{"large-1", 0.3, 6.0}, {"large-2", 0.3, 6.0}};
  for (int number = 1; number <= 8; ++number) {
    customers.push_back({"small-" + std::to_string(number), 0.05, 1.0});
  }
  return customers;
}

template<typename Row, typename WeightOf>
std::size_t DrawRow(const std::vector<Row>& aRows, Random& aRandom, WeightOf aWeightOf) {
  double sum = 0.0;
  for (const Row& row : aRows) {
    sum += aWeightOf(row);
  }
  double left = aRandom.Uniform() * sum;
  for (std::size_t index = 0; index + 1 < aRows.size(); ++index) {
    left -= aWeightOf(aRows[index]);
    if (left < 0.0) {
      return index;
    }
  }
  return aRows.size() - 1;
}

std::int64_t DrawLength(double aMean, Random& aRandom) {
  const double factor =
    std::exp(kLengthSpread * aRandom.Normal() - kLengthSpread * kLengthSpread / 2.0);
  return std::max<std::int64_t>(1, std::llround(aMean * factor));
}

Arrival DrawArrival(const Mix& aMix, Time aAt, Random& aRandom) {
  Arrival arrival;
  arrival.m_at = aAt;
  arrival.m_customer =
    DrawRow(aMix.m_customers, aRandom, [](const CustomerProfile& aRow) { return aRow.m_traffic; });
  arrival.m_kind =
    DrawRow(aMix.m_kinds, aRandom, [](const KindProfile& aRow) { return aRow.m_share; });
  const KindProfile& kind = aMix.m_kinds[arrival.m_kind];
  arrival.m_inputTokens = kind.m_inputTokens + kind.m_prefixTokens;
  arrival.m_outputTokens = DrawLength(kind.m_outputTokens, aRandom);
  if (kind.m_prefixCount > 0) {
    constexpr std::uint64_t kPrefixesPerKind = 100'000;
    arrival.m_prefix =
      (arrival.m_kind + 1) * kPrefixesPerKind + DrawPrefix(kind.m_prefixCount, aRandom);
    arrival.m_prefixTokens = kind.m_prefixTokens;
  }
  return arrival;
}

} // namespace

Mix MopaneMix() {
  return Mix{
    .m_name = "mopane",
    .m_kinds =
      {
        {"tag", 0.30, Urgency::Interactive, Milliseconds(2000), 150, 12.0, 0, 0, true},
        {"reorder-note", 0.18, Urgency::Interactive, Seconds(12), 500, 150.0, 0, 0, true},
        {"brief", 0.12, Urgency::Background, Seconds(60), 300, 350.0, 40, 5000, true},
        {"stock-check", 0.40, Urgency::Counter, Milliseconds(1000), 120, 16.0, 0, 0, true},
      },
    .m_customers = TenCustomers(),
  };
}

Mix ConsolasMix() {
  return Mix{
    .m_name = "consolas",
    .m_kinds =
      {
        {"appraisal", 0.20, Urgency::Interactive, Seconds(20), 1200, 220.0, 12, 1500, true},
        {"chat", 0.25, Urgency::Interactive, Seconds(10), 150, 90.0, 300, 1000, true},
        {"tag", 0.25, Urgency::Interactive, Milliseconds(2000), 150, 12.0, 0, 0, true},
        {"stock-check", 0.30, Urgency::Counter, Milliseconds(1000), 120, 16.0, 0, 0, true},
      },
    .m_customers = TenCustomers(),
  };
}

std::vector<Arrival> MakeArrivals(const Mix& aMix, double aPerSecond, Duration aLength,
                                  Random& aRandom) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  std::vector<Arrival> arrivals;
  Time now{};
  while (true) {
    const double gap = aRandom.Exponential(1.0 / aPerSecond);
    now += Duration(std::llround(gap * kMicrosecondsPerSecond));
    if (now >= Time{} + aLength) {
      return arrivals;
    }
    arrivals.push_back(DrawArrival(aMix, now, aRandom));
  }
}

} // namespace fennelline
