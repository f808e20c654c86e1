#include "LibCoordination/Spend/SpendSlices.h"

#include "LibBase/Random.h"
#include "LibCoordination/Spend/SliceAccount.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace fennelline {

namespace {

/// The next period's first slice is drawn this long before the period begins, but at most the
/// length of the period divided by kDrawAheadPeriodDivisor.
constexpr Duration kDrawAhead = Seconds(60);
constexpr int kDrawAheadPeriodDivisor = 10;

/// The sampling interval and the smoothing factor of the spending rate.
constexpr Duration kSampleInterval = Seconds(5);
constexpr double kSampleWeight = 0.3;

/// A longer time between two ticks means that the process was paused.
constexpr Duration kMaxTickTime = Milliseconds(100);

/// The first slice of an entry is at most the limit divided by this.
constexpr std::int64_t kFirstSliceDivisor = 1000;

} // namespace

struct SpendSlices::Impl {
  struct Customer {
    std::int64_t m_limit = 0;
    Duration m_period{0};
    std::int64_t m_index = 0;
    std::optional<SliceAccount> m_current;
    std::optional<SliceAccount> m_next;
    bool m_hasReserved = false;
    /// The time left during which reservations of the previous period may still end.
    Duration m_carryOverLeft{0};
    Time m_tickedAt = kNever;
    /// The largest reservation that exceeded the available slice.
    std::int64_t m_largestRefused = 0;
    double m_microsPerSecond = 0.0;
    std::int64_t m_sampled = 0;
    Time m_sampledAt{};
    Time m_usedAt{};
    Time m_nextDraw{};
    bool m_isDrawing = false;
    bool m_isExhausted = false;
    /// The last period in which this entry checked for an old key as the creator of the period's
    /// key, the old key, and the open call for it.
    std::int64_t m_cleanedUp = 0;
    std::string m_oldKey;
    std::uint64_t m_oldKeyCall = 0;

    bool IsUnlimited() const { return m_limit <= 0 || m_period <= Duration(0); }
  };

  Impl(SpendSettings aSettings, EntryId aSelf, std::uint64_t aSeed)
    : m_settings(aSettings)
    , m_self(std::move(aSelf))
    , m_random(aSeed) {}

  static std::string KeyOf(const std::string& aName, const Customer& aCustomer,
                           std::int64_t aIndex);
  SliceAccount MakeAccount(const std::string& aName, const Customer& aCustomer,
                           std::int64_t aIndex) const;
  /// Switches to the period that contains aNow.
  void AdvancePeriod(const std::string& aName, Customer& aCustomer, Time aNow) const;
  void Sample(Customer& aCustomer, Time aNow) const;
  std::int64_t FirstSlice(const Customer& aCustomer) const;
  std::int64_t Slice(const Customer& aCustomer, std::int64_t aLeft) const;
  std::int64_t Target(const Customer& aCustomer, Time aNow) const;
  void TickCustomer(const std::string& aName, Customer& aCustomer, SpendStep& aStep, Time aNow);
  static void TickCarryOver(Customer& aCustomer, Time aNow);
  void DrawNext(const std::string& aName, Customer& aCustomer, Effects& aEffects, Time aNow);
  void ReportExhaustion(const std::string& aName, Customer& aCustomer, SpendStep& aStep) const;
  void RemoveOldKey(const std::string& aName, Customer& aCustomer, Effects& aEffects);
  bool OnOldKey(const PlatformReply& aReply, Customer& aCustomer, Effects& aEffects);
  Customer* Find(const std::string& aName, Time aNow);

  const SpendSettings m_settings;
  const EntryId m_self;
  Random m_random;
  std::uint64_t m_callNumber = 0;
  bool m_isStopping = false;
  std::map<std::string, Customer> m_customers;
};

std::string SpendSlices::Impl::KeyOf(const std::string& aName, const Customer& aCustomer,
                                     std::int64_t aIndex) {
  return kSpendPrefix + aName + "/" + std::to_string(InMilliseconds(aCustomer.m_period)) + "/" +
         std::to_string(aIndex);
}

SliceAccount SpendSlices::Impl::MakeAccount(const std::string& aName, const Customer& aCustomer,
                                            std::int64_t aIndex) const {
  return {KeyOf(aName, aCustomer, aIndex), m_self, m_settings.m_callTimeout};
}

void SpendSlices::Impl::AdvancePeriod(const std::string& aName, Customer& aCustomer,
                                      Time aNow) const {
  const std::int64_t index = aNow.time_since_epoch() / aCustomer.m_period;
  if (aCustomer.m_current && aCustomer.m_index == index) {
    return;
  }
  const bool isNext = aCustomer.m_next && aCustomer.m_index + 1 == index;
  aCustomer.m_current =
    isNext ? std::move(aCustomer.m_next) : std::optional(MakeAccount(aName, aCustomer, index));
  aCustomer.m_next.reset();
  aCustomer.m_index = index;
  if (aCustomer.m_hasReserved) {
    aCustomer.m_carryOverLeft = m_settings.m_longestReservation;
  }
  aCustomer.m_isDrawing = false;
  aCustomer.m_sampled = 0;
  aCustomer.m_largestRefused = 0;
  aCustomer.m_isExhausted = false;
}

void SpendSlices::Impl::Sample(Customer& aCustomer, Time aNow) const {
  const Duration passed = aNow - aCustomer.m_sampledAt;
  if (passed < kSampleInterval) {
    return;
  }
  const std::int64_t used = aCustomer.m_current->Used();
  const double sample =
    static_cast<double>(std::max<std::int64_t>(used - aCustomer.m_sampled, 0)) / InSeconds(passed);
  const double weight = aCustomer.m_microsPerSecond > 0.0 ? kSampleWeight : 1.0;
  aCustomer.m_microsPerSecond += weight * (sample - aCustomer.m_microsPerSecond);
  aCustomer.m_sampled = used;
  aCustomer.m_sampledAt = aNow;
}

std::int64_t SpendSlices::Impl::FirstSlice(const Customer& aCustomer) const {
  const std::int64_t part = std::max<std::int64_t>(aCustomer.m_limit / kFirstSliceDivisor, 1);
  return std::min(m_settings.m_minSliceMicros, part);
}

/// The slice for the current spending rate, limited by the remaining budget.
std::int64_t SpendSlices::Impl::Slice(const Customer& aCustomer, std::int64_t aLeft) const {
  const double ahead = aCustomer.m_microsPerSecond * InSeconds(m_settings.m_sliceDuration);
  const double maxSlice = static_cast<double>(aLeft) * m_settings.m_maxSliceShare;
  return std::max(FirstSlice(aCustomer), static_cast<std::int64_t>(std::min(ahead, maxSlice)));
}

/// The total amount that this entry should hold: what it uses, plus a slice in advance.
std::int64_t SpendSlices::Impl::Target(const Customer& aCustomer, Time aNow) const {
  const SliceAccount& account = *aCustomer.m_current;
  if (m_isStopping) {
    return account.Used();
  }
  const bool isIdle = aNow - aCustomer.m_usedAt >= m_settings.m_idleReturnDelay;
  if (isIdle && aCustomer.m_largestRefused == 0) {
    return account.Used() + FirstSlice(aCustomer);
  }
  const std::int64_t left = account.LeftToDraw(aCustomer.m_limit).value_or(0);
  const std::int64_t slice = Slice(aCustomer, left);
  const bool isLow = static_cast<double>(account.Available()) <
                     static_cast<double>(slice) * m_settings.m_refillShare;
  if (aCustomer.m_largestRefused > account.Available()) {
    return account.Used() + std::max(slice, 2 * aCustomer.m_largestRefused);
  }
  return isLow ? account.Used() + slice : account.Credit();
}

/// Counts only the time in which this process was running, since a pause does not end reservations.
void SpendSlices::Impl::TickCarryOver(Customer& aCustomer, Time aNow) {
  const Duration passed = aNow - std::min(aCustomer.m_tickedAt, aNow);
  aCustomer.m_carryOverLeft -= std::min(passed, kMaxTickTime);
  aCustomer.m_tickedAt = aNow;
}

void SpendSlices::Impl::TickCustomer(const std::string& aName, Customer& aCustomer,
                                     SpendStep& aStep, Time aNow) {
  AdvancePeriod(aName, aCustomer, aNow);
  TickCarryOver(aCustomer, aNow);
  Sample(aCustomer, aNow);
  DrawNext(aName, aCustomer, aStep.m_effects, aNow);
  SliceAccount& account = *aCustomer.m_current;
  const std::int64_t target = Target(aCustomer, aNow);
  if (!aCustomer.m_isDrawing && aNow >= aCustomer.m_nextDraw && target != account.Credit()) {
    aCustomer.m_isDrawing = true;
    account.Refresh();
  }
  if (aCustomer.m_isDrawing &&
      account.Advance(target, aCustomer.m_limit, aStep.m_effects, m_callNumber, aNow)) {
    aCustomer.m_isDrawing = false;
    const auto jitter = static_cast<std::uint64_t>(m_settings.m_minCallInterval.count()) / 2;
    aCustomer.m_nextDraw =
      aNow + m_settings.m_minCallInterval + Duration(m_random.Below(jitter + 1));
  }
  ReportExhaustion(aName, aCustomer, aStep);
  RemoveOldKey(aName, aCustomer, aStep.m_effects);
}

/// Draws a slice of the next period shortly before it begins, so that no request is refused at its
/// start.
void SpendSlices::Impl::DrawNext(const std::string& aName, Customer& aCustomer, Effects& aEffects,
                                 Time aNow) {
  const Time begin = Time(aCustomer.m_period * (aCustomer.m_index + 1));
  const Duration ahead = std::min(kDrawAhead, aCustomer.m_period / kDrawAheadPeriodDivisor);
  if (m_isStopping || begin - aNow > ahead) {
    return;
  }
  if (!aCustomer.m_next) {
    aCustomer.m_next = MakeAccount(aName, aCustomer, aCustomer.m_index + 1);
  }
  if (aCustomer.m_next->Credit() == 0) {
    aCustomer.m_next->Advance(Slice(aCustomer, aCustomer.m_limit), aCustomer.m_limit, aEffects,
                              m_callNumber, aNow);
  }
}

/// The entry that created a period's key removes the key from two periods earlier. The previous
/// one stays: an entry whose clock is behind may still use it and, finding none, would create it
/// anew and draw the spent money again.
void SpendSlices::Impl::RemoveOldKey(const std::string& aName, Customer& aCustomer,
                                     Effects& aEffects) {
  if (aCustomer.m_cleanedUp == aCustomer.m_index || !aCustomer.m_current->IsCreator()) {
    return;
  }
  aCustomer.m_cleanedUp = aCustomer.m_index;
  aCustomer.m_oldKey = KeyOf(aName, aCustomer, aCustomer.m_index - 2);
  aCustomer.m_oldKeyCall = ++m_callNumber;
  aEffects.push_back(
    CallPlatform{.m_call = {.m_component = Component::Spend, .m_number = aCustomer.m_oldKeyCall},
                 .m_request = GetKey{.m_key = aCustomer.m_oldKey}});
}

bool SpendSlices::Impl::OnOldKey(const PlatformReply& aReply, Customer& aCustomer,
                                 Effects& aEffects) {
  if (aReply.m_call.m_number != aCustomer.m_oldKeyCall) {
    return false;
  }
  aCustomer.m_oldKeyCall = 0;
  if (aReply.m_status == PlatformStatus::Ok && !aReply.m_keys.empty()) {
    aEffects.push_back(
      CallPlatform{.m_call = {.m_component = Component::Spend, .m_number = ++m_callNumber},
                   .m_request = RemoveKey{.m_key = aCustomer.m_oldKey,
                                          .m_expected = aReply.m_keys.front().m_revision}});
  }
  return true;
}

void SpendSlices::Impl::ReportExhaustion(const std::string& aName, Customer& aCustomer,
                                         SpendStep& aStep) const {
  const SliceAccount& account = *aCustomer.m_current;
  const bool isShort = aCustomer.m_largestRefused > account.Available();
  const bool isExhausted = isShort && account.LeftToDraw(aCustomer.m_limit) == 0;
  if (isExhausted != aCustomer.m_isExhausted) {
    aCustomer.m_isExhausted = isExhausted;
    aStep.m_outcomes.push_back({.m_customer = aName, .m_exhausted = isExhausted});
  }
  if (!isShort) {
    aCustomer.m_largestRefused = 0;
  }
}

SpendSlices::Impl::Customer* SpendSlices::Impl::Find(const std::string& aName, Time aNow) {
  const auto customer = m_customers.find(aName);
  if (customer == m_customers.end()) {
    return nullptr;
  }
  if (!customer->second.IsUnlimited()) {
    AdvancePeriod(aName, customer->second, aNow);
  }
  return &customer->second;
}

SpendSlices::SpendSlices(SpendSettings aSettings, EntryId aSelf, std::uint64_t aSeed)
  : m_impl(std::make_unique<Impl>(aSettings, std::move(aSelf), aSeed)) {}
SpendSlices::~SpendSlices() = default;
SpendSlices::SpendSlices(SpendSlices&&) noexcept = default;
SpendSlices& SpendSlices::operator=(SpendSlices&&) noexcept = default;

SpendSlices::SpendStep SpendSlices::OnLimits(const std::string& aCustomer,
                                             std::int64_t aLimitMicros, Duration aPeriod,
                                             Time aNow) {
  Impl::Customer& customer = m_impl->m_customers[aCustomer];
  if (customer.m_period != aPeriod) {
    customer.m_current.reset();
    customer.m_next.reset();
  }
  customer.m_limit = aLimitMicros;
  customer.m_period = aPeriod;
  customer.m_usedAt = std::max(customer.m_usedAt, aNow);
  return {};
}

bool SpendSlices::TryReserve(const std::string& aCustomer, std::int64_t aMicros, Time aNow) {
  Impl::Customer* const customer = m_impl->Find(aCustomer, aNow);
  if (customer == nullptr || aMicros < 0) {
    return false;
  }
  if (customer->IsUnlimited()) {
    return true;
  }
  customer->m_usedAt = aNow;
  if (customer->m_current->Available() < aMicros) {
    customer->m_largestRefused = std::max(customer->m_largestRefused, aMicros);
    return false;
  }
  customer->m_current->Use(aMicros);
  customer->m_hasReserved = true;
  return true;
}

std::int64_t SpendSlices::Spend(const std::string& aCustomer, std::int64_t aReserved,
                                std::int64_t aActual, Time aNow) {
  Impl::Customer* const customer = m_impl->Find(aCustomer, aNow);
  if (customer == nullptr || customer->IsUnlimited()) {
    return 0;
  }
  SliceAccount& account = *customer->m_current;
  // The unused part of a reservation must not be returned if it was reserved in the previous
  // period. While such reservations may still end, none is returned: some of this period's budget
  // stays unused, but it is never exceeded.
  if (customer->m_carryOverLeft <= Duration(0)) {
    account.ReturnUnused(std::max<std::int64_t>(aReserved - aActual, 0));
  }
  const std::int64_t extra = std::max<std::int64_t>(aActual - aReserved, 0);
  const std::int64_t taken = std::min(extra, std::max<std::int64_t>(account.Available(), 0));
  account.Use(taken);
  return extra - taken;
}

void SpendSlices::Release(const std::string& aCustomer, std::int64_t aReserved, Time aNow) {
  Spend(aCustomer, aReserved, 0, aNow);
}

SpendSlices::SpendStep SpendSlices::OnPlatformReply(const PlatformReply& aReply, Time aNow) {
  SpendStep step;
  if (aReply.m_call.m_component != Component::Spend) {
    return step;
  }
  for (std::pair<const std::string, Impl::Customer>& each : m_impl->m_customers) {
    Impl::Customer& customer = each.second;
    if ((customer.m_current && customer.m_current->OnReply(aReply, aNow)) ||
        (customer.m_next && customer.m_next->OnReply(aReply, aNow)) ||
        m_impl->OnOldKey(aReply, customer, step.m_effects)) {
      break;
    }
  }
  return step;
}

SpendSlices::SpendStep SpendSlices::Tick(Time aNow) {
  SpendStep step;
  for (std::pair<const std::string, Impl::Customer>& customer : m_impl->m_customers) {
    if (!customer.second.IsUnlimited()) {
      m_impl->TickCustomer(customer.first, customer.second, step, aNow);
    }
  }
  return step;
}

SpendSlices::SpendStep SpendSlices::ReturnAll(Time aNow) {
  m_impl->m_isStopping = true;
  for (std::pair<const std::string, Impl::Customer>& customer : m_impl->m_customers) {
    customer.second.m_nextDraw = aNow;
  }
  return Tick(aNow);
}

bool SpendSlices::HasReturnedAll() const {
  return std::all_of(m_impl->m_customers.begin(), m_impl->m_customers.end(),
                     [](const std::pair<const std::string, Impl::Customer>& aCustomer) {
                       const std::optional<SliceAccount>& account = aCustomer.second.m_current;
                       return !account || (account->Available() <= 0 && !account->IsBusy());
                     });
}

std::int64_t SpendSlices::Available(const std::string& aCustomer, Time aNow) const {
  const Impl::Customer* const customer = m_impl->Find(aCustomer, aNow);
  if (customer == nullptr) {
    return 0;
  }
  return customer->IsUnlimited() ? std::numeric_limits<std::int64_t>::max()
                                 : std::max<std::int64_t>(customer->m_current->Available(), 0);
}

bool SpendSlices::IsExhausted(const std::string& aCustomer) const {
  const auto customer = m_impl->m_customers.find(aCustomer);
  return customer != m_impl->m_customers.end() && customer->second.m_isExhausted;
}

} // namespace fennelline
