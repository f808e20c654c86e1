#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Effect.h"
#include "LibCoordination/PlatformCall.h"
#include "LibCoordination/Step.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>

namespace fennelline {

struct SpendSettings {
  /// A slice lasts this long at the present rate, so that an outage of the platform shorter than
  /// this refuses nothing.
  Duration m_sliceDuration = Seconds(600);
  /// A further slice is drawn when less than this share of the last one is left.
  double m_refillShare = 0.5;
  /// The largest slice, as a share of what is left of the budget.
  double m_maxSliceShare = 0.05;
  std::int64_t m_minSliceMicros = 10000;
  /// The least time between two calls for one customer.
  Duration m_minCallInterval = Seconds(1);
  Duration m_callTimeout = Seconds(3);
  /// The longest time from TryReserve() to Spend() or Release(). For this long after a period
  /// begins, what a reservation did not need is not given back, because it may be the last
  /// period's.
  Duration m_longestReservation = Seconds(180);
  /// A slice that was not used for this long goes back.
  Duration m_idleReturnDelay = Seconds(120);
};

/// Outcomes for operators: a customer has no budget left in this period, or has some again.
struct SpendNotice {
  std::string m_customer;
  bool m_exhausted = false;
};

constexpr const char* kSpendPrefix = "fennelline/spend/";

/// Spends customers' budgets from slices drawn ahead from the platform.
///
/// A key per customer and period holds what was drawn, and by whom. An entry reserves a request's
/// greatest cost before it runs, and spends at most what it reserved, so the sum over all entries
/// never exceeds the limit. What a lost entry had drawn and not spent stays drawn until the period
/// ends; the next period starts whole. After a limit is lowered, what was drawn before stays
/// spendable until the period ends.
class SpendSlices {
public:
  using SpendStep = Step<SpendNotice>;

  SpendSlices(SpendSettings aSettings, EntryId aSelf, std::uint64_t aSeed);
  ~SpendSlices();
  SpendSlices(SpendSlices&&) noexcept;
  SpendSlices& operator=(SpendSlices&&) noexcept;

  /// The customer's contract: its limit in each period. Periods are counted from the epoch.
  SpendStep OnLimits(const std::string& aCustomer, std::int64_t aLimitMicros, Duration aPeriod,
                     Time aNow);

  /// Takes an amount out of the slice. False where the slice, or the budget, is too small: Tick()
  /// then draws a further slice, so trying again after m_minCallInterval makes sense until
  /// IsExhausted(). A customer whose limit is zero always gets true, an unknown one never.
  bool TryReserve(const std::string& aCustomer, std::int64_t aMicros, Time aNow);

  /// Ends a reservation: aActual of it was spent, the rest returns to the slice. More than was
  /// reserved is taken from the slice as far as it goes; the return value is what could not be
  /// taken and must not be billed.
  std::int64_t Spend(const std::string& aCustomer, std::int64_t aReserved, std::int64_t aActual,
                     Time aNow);

  /// Ends a reservation of which nothing was spent.
  void Release(const std::string& aCustomer, std::int64_t aReserved, Time aNow);

  SpendStep OnPlatformReply(const PlatformReply& aReply, Time aNow);
  SpendStep Tick(Time aNow);

  /// Gives back all unspent slices and draws no more; call when the entry is about to stop, then go
  /// on with Tick() until HasReturnedAll(). What is not returned stays drawn until the period ends.
  SpendStep ReturnAll(Time aNow);
  bool HasReturnedAll() const;

  /// What this entry could reserve now.
  std::int64_t Available(const std::string& aCustomer, Time aNow) const;
  /// True where the last reading of the platform showed nothing left to draw.
  bool IsExhausted(const std::string& aCustomer) const;

private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

} // namespace fennelline
