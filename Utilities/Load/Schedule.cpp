#include "Utilities/Load/Schedule.h"

#include "LibBase/Random.h"

#include <nlohmann/json.hpp>
#include <numeric>

namespace fennelline {

namespace {

template<typename Item>
std::size_t ChooseByWeight(const std::vector<Item>& aItems, Random& aRandom) {
  const double total =
    std::accumulate(aItems.begin(), aItems.end(), 0.0,
                    [](double aSum, const Item& aItem) { return aSum + aItem.m_weight; });
  double rest = aRandom.Uniform() * total;
  for (std::size_t index = 0; index < aItems.size(); ++index) {
    rest -= aItems[index].m_weight;
    if (rest < 0.0) {
      return index;
    }
  }
  return aItems.size() - 1;
}

/// Returns text of the given length in words that are unique to the seed text.
std::string GenerateText(const std::string& aSeedText, std::int64_t aCharacters) {
  const std::size_t length = static_cast<std::size_t>(aCharacters);
  std::string text;
  for (std::size_t word = 0; text.size() < length; ++word) {
    text += aSeedText + "-" + std::to_string(word) + " ";
  }
  text.resize(length);
  return text;
}

std::string ModelBody(const LoadKind& aKind, const std::string& aKey, Random& aRandom) {
  const std::uint64_t prefix = aRandom.Below(static_cast<std::uint64_t>(aKind.m_prefixes));
  nlohmann::json messages = nlohmann::json::array();
  if (aKind.m_prefixCharacters > 0) {
    const std::string name = aKind.m_name + "-" + std::to_string(prefix);
    messages.push_back(
      {{"role", "system"}, {"content", GenerateText(name, aKind.m_prefixCharacters)}});
  }
  messages.push_back({{"role", "user"}, {"content", GenerateText(aKey, aKind.m_ownCharacters)}});
  const nlohmann::json body = {
    {"messages", messages}, {"max_tokens", aKind.m_maxTokens}, {"stream", aKind.m_stream}};
  return body.dump();
}

std::string ServiceBody(Random& aRandom) {
  constexpr std::uint64_t kItems = 500;
  return nlohmann::json{{"item", "item-" + std::to_string(aRandom.Below(kItems))}}.dump();
}

} // namespace

std::vector<PlannedRequest> MakeSchedule(const Experiment& aExperiment) {
  Random random(aExperiment.m_seed);
  std::vector<PlannedRequest> requests;
  double seconds = random.Exponential(1.0 / aExperiment.m_requestsPerSecond);
  while (seconds < InSeconds(aExperiment.m_length) &&
         static_cast<std::int64_t>(requests.size()) < aExperiment.m_maxRequests) {
    PlannedRequest request;
    request.m_at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    request.m_customer = ChooseByWeight(aExperiment.m_customers, random);
    request.m_kind = ChooseByWeight(aExperiment.m_kinds, random);
    request.m_key = aExperiment.m_name + "-" + std::to_string(aExperiment.m_seed) + "-" +
                    std::to_string(requests.size());
    const LoadKind& kind = aExperiment.m_kinds[request.m_kind];
    request.m_body =
      kind.IsService() ? ServiceBody(random) : ModelBody(kind, request.m_key, random);
    requests.push_back(std::move(request));
    seconds += random.Exponential(1.0 / aExperiment.m_requestsPerSecond);
  }
  return requests;
}

} // namespace fennelline
