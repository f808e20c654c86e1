#include "LibBase/FieldReader.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace fennelline;

TEST_CASE("an unknown field is rejected with its path and the allowed names") {
  const nlohmann::json document = {{"outer", {{"name", "x"}, {"nmae", "y"}}}};
  FieldReader reader(document, "");
  reader.Object("outer", [](FieldReader& aInner) { aInner.String("name"); });
  const Result<void> outcome = reader.Finish();
  REQUIRE(outcome.IsError());
  CHECK(outcome.GetError().m_code == ErrorCode::UnknownField);
  CHECK(outcome.GetError().m_detail == "outer.nmae: unknown field; allowed are: name");
}

TEST_CASE("a number out of range is rejected with the range") {
  const nlohmann::json document = {{"count", 11}};
  FieldReader reader(document, "");
  reader.Integer("count", {0, 10});
  const Result<void> outcome = reader.Finish();
  REQUIRE(outcome.IsError());
  CHECK(outcome.GetError().m_detail == "count: must be a whole number from 0 to 10");
}

TEST_CASE("a missing optional field takes its default and a missing required field is rejected") {
  const nlohmann::json document = nlohmann::json::object();
  FieldReader reader(document, "");
  CHECK(reader.Integer("retries", {0, 10}, 3) == 3);
  CHECK(reader.String("name").empty());
  CHECK(reader.Finish().GetError().m_code == ErrorCode::MissingField);
}

TEST_CASE("text that no type can hold is an error and not an exception") {
  const std::string digits(400, '9');
  const std::string deep(200'000, '[');
  for (const std::string& text : {std::string("1e400"), std::string("[-1e999]"), digits,
                                  "-" + digits, "{\"slots\":" + digits + "e9}", deep,
                                  std::string("\xff"), std::string("\"\\ud800\""), std::string()}) {
    CAPTURE(text.substr(0, 20));
    CHECK(ParseJson(text).IsError());
  }
}
