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
  /// How long a slice lasts at the current spending rate, so that a shorter platform outage does
  /// not cause refusals.
  Duration m_sliceDuration = Seconds(600);
  /// A further slice is drawn if less than this share of a slice is left.
  double m_refillShare = 0.5;
  /// The maximum slice, as a share of the remaining budget.
  double m_maxSliceShare = 0.05;
  std::int64_t m_minSliceMicros = 10000;
  /// The minimum time between two draws for one customer.
  Duration m_minCallInterval = Seconds(1);
  Duration m_callTimeout = Seconds(3);
  /// The maximum time from TryReserve() to Spend() or Release(). For this long after the start of a
  /// period, the unused part of a reservation is not returned, because the reservation may belong
  /// to the previous period.
  Duration m_longestReservation = Seconds(180);
  /// How long a slice must be unused before it is returned.
  Duration m_idleReturnDelay = Seconds(120);
};

/// Notifies operators that a customer has no budget left in this period, or has some again.
struct SpendNotice {
  std::string m_customer;
  bool m_exhausted = false;
};

constexpr const char* kSpendPrefix = "fennelline/spend/";

/// Enforces customers' spending limits with slices of their budgets that are drawn in advance from
/// the platform.
///
/// A key per customer and period records how much was drawn and by which entry. An entry reserves
/// the maximum cost of a request before it runs, and spends at most what it reserved, so the total
/// over all entries never exceeds the limit. What a failed entry had drawn and not spent stays
/// drawn until the period ends; the next period starts with the full budget. After a limit is
/// lowered, what was drawn before can still be spent until the period ends.
class SpendSlices {
public:
  using SpendStep = Step<SpendNotice>;

  SpendSlices(SpendSettings aSettings, EntryId aSelf, std::uint64_t aSeed);
  ~SpendSlices();
  SpendSlices(SpendSlices&&) noexcept;
  SpendSlices& operator=(SpendSlices&&) noexcept;

  /// Sets a customer's spending limit per period. Periods are counted from the epoch.
  SpendStep OnLimits(const std::string& aCustomer, std::int64_t aLimitMicros, Duration aPeriod,
                     Time aNow);

  /// Reserves an amount from the slice. Returns false if the slice or the budget is too small;
  /// Tick() then draws a further slice, so it is worth trying again after m_minCallInterval until
  /// IsExhausted(). Always returns true if the customer's limit is zero, and false for an unknown
  /// customer.
  bool TryReserve(const std::string& aCustomer, std::int64_t aMicros, Time aNow);

  /// Ends a reservation: aActual was spent, and the rest returns to the slice. If aActual exceeds
  /// the reservation, the excess is taken from the slice as far as possible. Returns the part that
  /// could not be taken, which must not be billed.
  std::int64_t Spend(const std::string& aCustomer, std::int64_t aReserved, std::int64_t aActual,
                     Time aNow);

  /// Ends a reservation without spending any of it.
  void Release(const std::string& aCustomer, std::int64_t aReserved, Time aNow);

  SpendStep OnPlatformReply(const PlatformReply& aReply, Time aNow);
  SpendStep Tick(Time aNow);

  /// Returns all unspent slices and draws no more. Call this before the entry stops, then continue
  /// with Tick() until HasReturnedAll(). What is not returned stays drawn until the period ends.
  SpendStep ReturnAll(Time aNow);
  bool HasReturnedAll() const;

  /// The amount that this entry could reserve now.
  std::int64_t Available(const std::string& aCustomer, Time aNow) const;
  /// Whether a reservation failed and the last read of the platform showed nothing left to draw.
  bool IsExhausted(const std::string& aCustomer) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace fennelline
