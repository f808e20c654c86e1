#include "LibRouting/PassedOnRequest.h"

#include <doctest/doctest.h>

using namespace fennelline;

TEST_CASE("a passed-on request is read as written, and its marks do not go on") {
  HeaderList headers;
  headers.Add("X-Own", "kept");
  AddPassedOn(headers, {.m_runsLeft = 2, .m_configuration = 41});
  const Result<PassedOnRequest> read = TakePassedOn(headers);
  REQUIRE(!read.IsError());
  CHECK(read.Get().m_runsLeft == 2);
  CHECK(read.Get().m_configuration == 41);
  REQUIRE(headers.Rows().size() == 1);
  CHECK(headers.Rows()[0].m_name == "X-Own");
}

TEST_CASE(
  "a request without the marks of another entry, or with others, is none that is passed on") {
  for (const char* runs : {"", "0", "-1", "two", "1,1"}) {
    HeaderList headers;
    headers.Add("Entry-Runs-Left", runs);
    headers.Add("Entry-Configuration", "1");
    CHECK(TakePassedOn(headers).IsError());
  }
  HeaderList twice;
  AddPassedOn(twice, {.m_runsLeft = 1, .m_configuration = 1});
  AddPassedOn(twice, {.m_runsLeft = 9, .m_configuration = 1});
  CHECK(TakePassedOn(twice).IsError());
  HeaderList none;
  CHECK(TakePassedOn(none).IsError());
}

TEST_CASE("only an answer with its mark says that the request was not taken") {
  HeaderList headers;
  CHECK(!IsNotTaken(headers));
  AddNotTaken(headers);
  CHECK(IsNotTaken(headers));
}
