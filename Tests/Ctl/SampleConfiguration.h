#pragma once

#include <string>

namespace fennelline::test {

/// Returns a small configuration in which the spend limit occurs once.
inline std::string SampleConfiguration(const std::string& aSpendLimit = "1000") {
  return R"({"currency": "ZAR",
    "versions": [
      {"name": "tagger@1", "input_micros_per_1000_tokens": 1, "output_micros_per_1000_tokens": 2},
      {"name": "tagger@2", "input_micros_per_1000_tokens": 1, "output_micros_per_1000_tokens": 2}],
    "contracts": [
      {"customer": "mopane", "models": ["tagger"], "spend_period_ms": 60000,
       "spend_limit_micros": )" +
         aSpendLimit + R"(, "kinds": [{"name": "tag", "deadline_ms": 300}]}]})";
}

} // namespace fennelline::test
