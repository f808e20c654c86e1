#include "LibRouting/MessagePack.h"

#include <cstdint>
#include <vector>

namespace fennelline {

using nlohmann::json;

namespace {

/// Messages nest a few levels; the decoder's stack holds some ten thousand.
constexpr std::size_t kMaxNesting = 1000;

/// Counts the nesting of a document and stops the parser at the limit.
class NestingCounter : public nlohmann::json_sax<json> {
public:
  bool IsExceeded() const { return m_isExceeded; }

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return Enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t, const std::string&, const json::exception&) override {
    return false;
  }

private:
  bool Enter() {
    m_isExceeded = ++m_depth > kMaxNesting;
    return !m_isExceeded;
  }
  bool Leave() {
    --m_depth;
    return true;
  }

  std::size_t m_depth = 0;
  bool m_isExceeded = false;
};

} // namespace

std::string EncodeMessagePack(const json& aDocument) {
  const std::vector<std::uint8_t> bytes = json::to_msgpack(aDocument);
  return {bytes.begin(), bytes.end()};
}

bool IsNestedTooDeeply(const std::string& aBytes) {
  // Each level takes a byte.
  if (aBytes.size() <= kMaxNesting) {
    return false;
  }
  NestingCounter counter;
  json::sax_parse(aBytes, &counter, json::input_format_t::msgpack);
  return counter.IsExceeded();
}

} // namespace fennelline
