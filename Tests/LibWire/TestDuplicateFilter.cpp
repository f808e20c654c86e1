#include "LibWire/DuplicateFilter.h"

#include <doctest/doctest.h>

using namespace fennelline;

TEST_CASE("a number is accepted once, in any order within the window") {
  DuplicateFilter filter;
  const Time now;
  CHECK(filter.Accept("e1#1", 1'000, now));
  CHECK(filter.Accept("e1#1", 998, now));
  CHECK(filter.Accept("e1#1", 1'005, now));
  CHECK(filter.Accept("e1#1", 999, now));
  CHECK_FALSE(filter.Accept("e1#1", 998, now));
  CHECK_FALSE(filter.Accept("e1#1", 1'000, now));
  CHECK(filter.Accept("e2#1", 1'000, now));
}

TEST_CASE("numbers below the window count as duplicates and a large jump resets the window") {
  DuplicateFilter filter;
  const Time now;
  CHECK(filter.Accept("e1#1", 5, now));
  CHECK(filter.Accept("e1#1", 5 + DuplicateFilter::kWindow, now));
  CHECK_FALSE(filter.Accept("e1#1", 5, now));
  CHECK_FALSE(filter.Accept("e1#1", 4, now));
  CHECK(filter.Accept("e1#1", 6, now));
  CHECK(filter.Accept("e1#1", 10 * DuplicateFilter::kWindow, now));
  CHECK(filter.Accept("e1#1", 10 * DuplicateFilter::kWindow - 1, now));
}
