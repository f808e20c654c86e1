#include "Utilities/StandinPlatform/KeyValueStore.h"

#include <doctest/doctest.h>

using namespace fennelline;

TEST_CASE("Compare-and-swap accepts a write once and returns the current value otherwise") {
  KeyValueStore store;
  CHECK(store.Put("k", "a", 0, std::nullopt).m_status == WriteStatus::Done);
  const WriteOutcome conflict = store.Put("k", "b", 0, std::nullopt);
  CHECK(conflict.m_status == WriteStatus::Conflict);
  REQUIRE(conflict.m_current.has_value());
  CHECK(conflict.m_current->m_value == "a");
  CHECK(store.Put("k", "b", 1, std::nullopt).m_status == WriteStatus::Done);
  CHECK(store.Revision() == 2);
  CHECK(store.Remove("k", 1).m_status == WriteStatus::Conflict);
  CHECK(store.Remove("k", 2).m_status == WriteStatus::Done);
  CHECK_FALSE(store.Get("k").has_value());
  CHECK(store.Put("k", "c", 0, std::nullopt).m_status == WriteStatus::Done);
}

TEST_CASE("A key is removed when its lease expires, and a watch reports the removal") {
  KeyValueStore store;
  const Time start{};
  const std::uint64_t lease = store.Grant(Seconds(1), start);
  CHECK(store.Put("k", "a", 0, lease).m_status == WriteStatus::Done);
  CHECK(store.Renew(lease, start + Milliseconds(900)));
  CHECK_FALSE(store.Expire(start + Milliseconds(1800)));
  CHECK(store.Expire(start + Milliseconds(1900)));
  CHECK_FALSE(store.Get("k").has_value());
  const std::vector<StoredValue> changes = store.ChangesAfter("k", 1);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].m_removed);
  CHECK_FALSE(store.Renew(lease, start + Seconds(2)));
  CHECK(store.Put("k", "a", 0, lease).m_status == WriteStatus::UnknownLease);
}
