#include "LibCoordination/Observation/CrashSuspects.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

constexpr Time kCrash{Seconds(10)};

ServerRun Run(const std::string& aContent) {
  return {.m_requestId = aContent,
          .m_causes = {.m_content = aContent,
                       .m_parts = {{.m_inAccount = "part-a", .m_anywhere = "part"}}},
          .m_sentAt = kCrash - Seconds(2)};
}

ServerRun Beginning(const std::string& aContent) {
  ServerRun run = Run(aContent);
  run.m_headAt = kCrash - Milliseconds(80);
  return run;
}

ServerRun Answering(const std::string& aContent, bool aIsProven) {
  ServerRun run = Beginning(aContent);
  run.m_firstEventAt = run.m_headAt;
  run.m_isProven = aIsProven;
  return run;
}

} // namespace

TEST_CASE("a request that had been answered for a while does not make its parts suspect") {
  const std::vector<CrashedRun> suspects =
    FindCrashSuspects({Answering("long", true), Answering("short", false), Run("waiting")});
  REQUIRE(suspects.size() == 3);
  CHECK(suspects[0].m_causes.m_content == "long");
  CHECK(suspects[0].m_causes.m_parts.empty());
  CHECK(suspects[1].m_causes.m_parts.size() == 1);
  CHECK(suspects[2].m_causes.m_parts.size() == 1);
  CHECK(suspects[2].m_sentAt == kCrash - Seconds(2));
}

TEST_CASE("requests beside one whose answer the server was beginning are not suspect") {
  const std::vector<CrashedRun> suspects = FindCrashSuspects(
    {Run("waiting"), Beginning("first"), Answering("long", true), Beginning("second")});
  REQUIRE(suspects.size() == 2);
  CHECK(suspects[0].m_causes.m_content == "first");
  CHECK(suspects[1].m_causes.m_content == "second");
}
