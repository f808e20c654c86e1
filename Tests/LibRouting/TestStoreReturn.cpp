#include "LibRouting/DepartedServers.h"
#include "LibRouting/RolloutRecord.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

const Time kNow{Seconds(1000)};

RolloutRecord Record(RolloutPhase aPhase, std::uint64_t aOrder) {
  return {.m_service = "pool", .m_version = "v2", .m_orderRevision = aOrder, .m_phase = aPhase};
}

} // namespace

TEST_CASE("a server that has left is told from one that started again under its id") {
  DepartedServers departed;
  departed.OnDeparted({.m_id = "a", .m_startedAtMs = 500}, kNow);
  CHECK(departed.HasLeft({.m_id = "a", .m_startedAtMs = 500}));
  CHECK(departed.HasLeft({.m_id = "a", .m_startedAtMs = 400}));
  CHECK(!departed.HasLeft({.m_id = "a", .m_startedAtMs = 501}));
  CHECK(!departed.HasLeft({.m_id = "b", .m_startedAtMs = 500}));
  departed.OnDeparted({.m_id = "b", .m_startedAtMs = 1}, kNow + Seconds(61));
  CHECK(!departed.HasLeft({.m_id = "a", .m_startedAtMs = 500}));
}

TEST_CASE("a decision on an order is ahead of what came before it, and none replaces another") {
  using enum RolloutPhase;
  CHECK(Record(RolledBack, 7).IsAheadOf(Record(Moving, 7)));
  CHECK(Record(Succeeded, 7).IsAheadOf(Record(Canary, 7)));
  CHECK(Record(Moving, 7).IsAheadOf(Record(Canary, 7)));
  CHECK(!Record(Canary, 7).IsAheadOf(Record(Moving, 7)));
  CHECK(!Record(Succeeded, 7).IsAheadOf(Record(RolledBack, 7)));
  CHECK(!Record(RolledBack, 7).IsAheadOf(Record(Succeeded, 7)));
  CHECK(!Record(RolledBack, 7).IsAheadOf(Record(Canary, 8)));
}
