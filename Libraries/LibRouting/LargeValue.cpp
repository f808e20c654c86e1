#include "LibRouting/LargeValue.h"

#include "LibRouting/MessagePack.h"
#include "LibRouting/StoreEraJson.h"

#include <zstd.h>

namespace fennelline {

using nlohmann::json;

namespace {

/// Bounds the memory that a malformed message can claim. The store's values are at most 1 MiB.
constexpr std::size_t kMaxValueBytes = 16UL * 1024 * 1024;

/// The fastest regular level. Entries have a fraction of a core.
constexpr int kCompressionLevel = 1;

json::binary_t Compress(const std::string& aText) {
  json::binary_t bytes(std::vector<std::uint8_t>(ZSTD_compressBound(aText.size())));
  // Cannot fail: the buffer has the size that the library asks for.
  bytes.resize(
    ZSTD_compress(bytes.data(), bytes.size(), aText.data(), aText.size(), kCompressionLevel));
  return bytes;
}

Result<std::string> Decompress(const json::binary_t& aBytes) {
  const unsigned long long size = ZSTD_getFrameContentSize(aBytes.data(), aBytes.size());
  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > kMaxValueBytes) {
    return MakeError(ErrorCode::InvalidMessage, "compressed value without a valid size");
  }
  std::string text(static_cast<std::size_t>(size), '\0');
  const std::size_t written =
    ZSTD_decompress(text.data(), text.size(), aBytes.data(), aBytes.size());
  if (ZSTD_isError(written) != 0 || written != text.size()) {
    return MakeError(ErrorCode::InvalidMessage, "compressed value is damaged");
  }
  return text;
}

struct CompressedValue {
  LargeValue m_value;
  json::binary_t m_bytes;
};

/// Entries of earlier releases neither send nor read the era, which is the last field.
constexpr std::size_t kEraField = 3;

} // namespace

std::string EncodeLargeValueQuery(const LargeValueQuery& aQuery) {
  return EncodeMessagePack(json::array({aQuery.m_wanted.m_key, aQuery.m_wanted.m_revision,
                                        aQuery.m_from, EraToJson(aQuery.m_wanted.m_era)}));
}

Result<LargeValueQuery> DecodeLargeValueQuery(const std::string& aBytes) {
  return DecodeMessagePack<LargeValueQuery>(aBytes, [](const json& aDocument) {
    return LargeValueQuery{.m_wanted = {.m_key = aDocument.at(0).get<std::string>(),
                                        .m_revision = aDocument.at(1).get<Revision>(),
                                        .m_era = ReadEra(aDocument, kEraField)},
                           .m_from = aDocument.at(2).get<std::string>()};
  });
}

std::string EncodeLargeValue(const KeyValue& aValue, std::optional<StoreEra> aEra) {
  return EncodeMessagePack(json::array(
    {aValue.m_key, aValue.m_revision, json(Compress(aValue.m_value)), EraToJson(aEra)}));
}

Result<LargeValue> DecodeLargeValue(const std::string& aBytes) {
  CompressedValue compressed =
    TRY(DecodeMessagePack<CompressedValue>(aBytes, [](const json& aDocument) {
      return CompressedValue{.m_value = {.m_key = {.m_key = aDocument.at(0).get<std::string>(),
                                                   .m_value = {},
                                                   .m_revision = aDocument.at(1).get<Revision>()},
                                         .m_era = ReadEra(aDocument, kEraField)},
                             .m_bytes = aDocument.at(2).get_binary()};
    }));
  compressed.m_value.m_key.m_value = TRY(Decompress(compressed.m_bytes));
  return compressed.m_value;
}

} // namespace fennelline
