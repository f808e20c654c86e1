#pragma once

#include "LibRouting/DecayingSum.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace fennelline {

/// Work of a request in tokens: a generated token takes about ten times as long as a prompt token.
constexpr double WorkOf(std::int64_t aPromptTokens, std::int64_t aMostOutputTokens) {
  constexpr double kOutputWeight = 10.0;
  return static_cast<double>(aPromptTokens) +
         kOutputWeight * static_cast<double>(aMostOutputTokens);
}

/// Recent use of the backend servers by each client account, as seen by one entry. Answers which
/// accounts are over their share when many callers compete for too little capacity.
///
/// An account's share is the larger of an equal part and its usual part outside surges, so that a
/// large account is not over its share in a surge of all callers.
class AccountUse {
public:
  /// With this ratio or a larger one, an account is over its share. One entry of 86 sees about one
  /// request of a usual account in the decay time, so smaller ratios are mostly noise.
  static constexpr double kOverShare = 1.8;
  /// An entry keeps at most this many accounts; the one with the least recent use is dropped.
  static constexpr std::size_t kMaxAccounts = 256;

  /// A request of the account has arrived.
  void Add(const std::string& aAccount, double aWork, bool aIsSurge, Time aNow);
  /// Recent use relative to the account's share; 1 at its share, and for unknown accounts.
  double Ratio(const std::string& aAccount, Time aNow) const;
  /// The ratio by which the next request of the account is treated. Each third request counts as
  /// within the share: an account that sends eight times its usual load is still served more than a
  /// quarter as often as the others.
  double RatioForNext(const std::string& aAccount, Time aNow);
  std::size_t CountAccounts() const { return m_accounts.size(); }

private:
  /// Long enough to see several requests of an account that sends too much, and short enough that
  /// it gets its share soon after it stops.
  static constexpr Duration kRecent = Seconds(8);
  static constexpr Duration kUsual = Seconds(120);

  struct Account {
    DecayingSum m_recent{kRecent};
    DecayingSum m_usual{kUsual};
    std::uint64_t m_requests = 0;
  };

  void DropIdlest(Time aNow);

  std::map<std::string, Account> m_accounts;
  DecayingSum m_recent{kRecent};
  DecayingSum m_usual{kUsual};
  DecayingSum m_requests{kRecent};
};

} // namespace fennelline
