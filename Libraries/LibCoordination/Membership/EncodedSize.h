#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

namespace fennelline {

/// Bytes that the IPv4 and UDP headers add to each datagram.
constexpr std::size_t kDatagramHeaderBytes = 28;

/// Computes the size of fields in the msgpack encoding, where each struct is an array of its
/// fields.
class EncodedSizeVisitor {
public:
  std::size_t Bytes() const { return m_bytes; }

  template<typename... Fields>
  void operator()(Fields&... aFields) {
    m_bytes += HeaderBytes(sizeof...(aFields));
    (Add(aFields), ...);
  }

private:
  static constexpr std::size_t kShortArray = 16;
  static constexpr std::size_t kShortString = 32;
  static constexpr std::size_t kByteString = 256;
  static constexpr std::size_t kShortArrayHeader = 1;
  static constexpr std::size_t kLongArrayHeader = 3;
  static constexpr std::size_t kDoubleBytes = 9;

  static std::size_t HeaderBytes(std::size_t aCount) {
    return aCount < kShortArray ? kShortArrayHeader : kLongArrayHeader;
  }

  static std::size_t NumberBytes(std::uint64_t aNumber) {
    std::size_t bytes = 1;
    constexpr std::uint64_t kFixedInteger = 128;
    if (aNumber < kFixedInteger) {
      return bytes;
    }
    constexpr std::uint64_t kBits = 8;
    std::size_t width = 1;
    while (width < sizeof(aNumber) && (aNumber >> (width * kBits)) != 0) {
      width *= 2;
    }
    return bytes + width;
  }

  void Add(std::string& aText) {
    const std::size_t header = aText.size() < kShortString ? 1 : aText.size() < kByteString ? 2 : 3;
    m_bytes += header + aText.size();
  }

  template<typename Item>
  void Add(std::vector<Item>& aItems) {
    m_bytes += HeaderBytes(aItems.size());
    for (Item& item : aItems) {
      Add(item);
    }
  }

  template<typename Field>
  void Add(Field& aField) {
    if constexpr (std::is_floating_point_v<Field>) {
      m_bytes += kDoubleBytes;
    } else if constexpr (std::is_integral_v<Field> || std::is_enum_v<Field>) {
      m_bytes += NumberBytes(static_cast<std::uint64_t>(aField));
    } else {
      aField.VisitFields(*this);
    }
  }

  std::size_t m_bytes = 0;
};

/// The encoded size of a message, datagram or digest. Takes a copy because VisitFields() is not
/// const.
template<typename Struct>
std::size_t EncodedBytes(Struct aStruct) {
  EncodedSizeVisitor visitor;
  aStruct.VisitFields(visitor);
  return visitor.Bytes();
}

} // namespace fennelline
