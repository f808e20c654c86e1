#include "LibRouting/MessagePack.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

Result<std::size_t> DecodeSize(const std::string& aBytes) {
  return DecodeMessagePack<std::size_t>(
    aBytes, [](const nlohmann::json& aDocument) { return aDocument.size(); });
}

} // namespace

TEST_CASE("a message that is nested very deeply is an error and does not exhaust the stack") {
  constexpr std::size_t kDepth = 1'000'000;
  const std::string arrays(kDepth, '\x91');
  CHECK(DecodeSize(arrays + '\x01').IsError());
  CHECK(DecodeSize(arrays).IsError());
  std::string objects;
  for (std::size_t level = 0; level < kDepth; ++level) {
    objects += "\x81\xa1k";
  }
  CHECK(DecodeSize(objects + '\x01').IsError());
}

TEST_CASE("a long message of many rows is decoded") {
  nlohmann::json rows = nlohmann::json::array();
  for (int number = 0; number < 5000; ++number) {
    rows.push_back({number, "key", nlohmann::json::array({1, 2})});
  }
  CHECK(DecodeSize(EncodeMessagePack(rows)).Get() == 5000);
}
