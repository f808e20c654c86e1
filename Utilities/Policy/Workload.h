#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibContract/Configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fennelline {

/// One kind of request of a users' mix.
struct KindProfile {
  std::string m_name;
  double m_share = 0.0;
  Urgency m_urgency = Urgency::Interactive;
  Duration m_deadline{0};
  std::int64_t m_inputTokens = 0;
  /// Mean of the answer's length; lengths spread around it.
  double m_outputTokens = 0.0;
  /// Prompts of this kind share one of so many prefixes of this length; zero for none.
  std::uint64_t m_prefixCount = 0;
  std::int64_t m_prefixTokens = 0;
  bool m_idempotent = true;
};

struct CustomerProfile {
  std::string m_name;
  /// Share of the requests, and the contract's share of the capacity.
  double m_traffic = 0.0;
  double m_share = 1.0;
};

struct Mix {
  std::string m_name;
  std::vector<KindProfile> m_kinds;
  std::vector<CustomerProfile> m_customers;
};

/// Tags, reorder notes, briefs on long shared catalogues, stock checks.
Mix MopaneMix();
/// Appraisals, chat, tags, stock look-ups.
Mix ConsolasMix();

/// One request as a caller sends it.
struct Arrival {
  Time m_at{};
  std::size_t m_customer = 0;
  std::size_t m_kind = 0;
  std::int64_t m_inputTokens = 0;
  std::int64_t m_outputTokens = 0;
  std::uint64_t m_prefix = 0;
  std::int64_t m_prefixTokens = 0;
};

/// Requests at random instants (a Poisson process), the same for the same seed.
std::vector<Arrival> MakeArrivals(const Mix& aMix, double aPerSecond, Duration aLength,
                                  Random& aRandom);

} // namespace fennelline
