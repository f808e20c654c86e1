#include "LibRouting/RolloutRecord.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

RolloutRecord Record(RolloutPhase aPhase, std::uint64_t aOrder) {
  return {.m_service = "pool", .m_version = "v2", .m_orderRevision = aOrder, .m_phase = aPhase};
}

} // namespace

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
