#include "LibRouting/ServerContact.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

const Time kNow{Seconds(100)};

ServerContact Reached(Duration aAgo) {
  return {.m_reachedAt = kNow - aAgo};
}

/// Reached a second ago, and failed since.
ServerContact Failed(Duration aAgo) {
  return {.m_reachedAt = kNow - Seconds(1), .m_failedAt = kNow - aAgo};
}

} // namespace

TEST_CASE("servers that crash beside one that is reached are no lost path") {
  CHECK(!IsPathLost({}, kNow));
  CHECK(!IsPathLost({Reached(Milliseconds(20)), Reached(Seconds(9))}, kNow));
  CHECK(!IsPathLost({Failed(Milliseconds(10)), Reached(Seconds(1)), Reached(Seconds(2))}, kNow));
  CHECK(!IsPathLost(
    {Failed(Milliseconds(10)), Failed(Milliseconds(15)), Reached(Milliseconds(100))}, kNow));
}

TEST_CASE("a path is lost if no server can be connected to, or two and no other was reached") {
  CHECK(IsPathLost({Failed(Milliseconds(10))}, kNow));
  CHECK(IsPathLost({Failed(Milliseconds(10)), Failed(Milliseconds(400))}, kNow));
  CHECK(
    IsPathLost({Failed(Milliseconds(10)), Failed(Milliseconds(400)), Reached(Seconds(1))}, kNow));
}

TEST_CASE("a server that is reached again ends a lost path") {
  const ServerContact returned{.m_reachedAt = kNow, .m_failedAt = kNow - Milliseconds(10)};
  CHECK(!IsPathLost({Failed(Milliseconds(10)), Failed(Milliseconds(20)), returned}, kNow));
}

TEST_CASE("old failures alone do not make a path lost") {
  CHECK(!IsPathLost({Failed(Milliseconds(999))}, kNow + Seconds(5)));
}
