#include "LibWire/MessageCodec.h"

#include "LibBase/Sha256.h"

#include <array>
#include <concepts>
#include <cstring>
#include <limits>
#include <msgpack.hpp>
#include <type_traits>
#include <utility>

namespace fennelline {

namespace {

/// The format version, the first field of each message. Entries refuse messages of another version.
constexpr std::uint64_t kFormat = 1;
constexpr std::uint32_t kMaxItems = 65'536;
constexpr std::size_t kMaxDepth = 16;
constexpr std::size_t kTagHexDigits = 32;

using Packer = msgpack::packer<msgpack::sbuffer>;

template<typename Type>
struct IsVector : std::false_type {};
template<typename Item>
struct IsVector<std::vector<Item>> : std::true_type {};

struct AnyVisitor {
  template<typename... Fields>
  void operator()(Fields&... aFields);
};

template<typename Type>
concept Aggregate = requires(Type& aValue, AnyVisitor& aVisitor) {
  aValue.VisitFields(aVisitor);
};

template<auto Value>
constexpr std::string_view PrettyName() {
  return __PRETTY_FUNCTION__;
}

/// Whether an enumeration has an enumerator of this value. GCC and Clang print a value without an
/// enumerator as a cast, "(Enumeration)9".
template<typename Enumeration, std::uint64_t Number>
constexpr bool HasName() {
  constexpr Enumeration kValue = static_cast<Enumeration>(Number);
  constexpr std::string_view kText = PrettyName<kValue>();
  return kText.find("Value = (") == std::string_view::npos;
}

/// The number of enumerators, which run from zero without gaps.
template<typename Enumeration, std::uint64_t Number = 0>
constexpr std::uint64_t CountValues() {
  if constexpr (HasName<Enumeration, Number>()) {
    return CountValues<Enumeration, Number + 1>();
  } else {
    return Number;
  }
}

static_assert(CountValues<DatagramKind>() == 5);

/// Packs the fields of an aggregate as the elements of an array.
class FieldPacker {
public:
  explicit FieldPacker(Packer& aPacker)
    : m_packer(aPacker) {}

  template<typename... Fields>
  void operator()(const Fields&... aFields) {
    m_packer.pack_array(sizeof...(Fields));
    (Pack(aFields), ...);
  }

  template<typename Value>
  void Pack(const Value& aValue) {
    if constexpr (IsVector<Value>::value) {
      m_packer.pack_array(static_cast<std::uint32_t>(aValue.size()));
      for (const typename Value::value_type& item : aValue) {
        Pack(item);
      }
    } else if constexpr (std::is_enum_v<Value>) {
      m_packer.pack(static_cast<std::uint64_t>(aValue));
    } else if constexpr (Aggregate<Value>) {
      // VisitFields() is used for both reading and writing and so is not const; packing changes
      // nothing.
      const_cast<Value&>(aValue).VisitFields(*this);
    } else {
      m_packer.pack(aValue);
    }
  }

private:
  Packer& m_packer;
};

/// Unpacks the fields of an aggregate from an array of exactly that length. After a failure the
/// fields are unspecified.
class FieldUnpacker {
public:
  explicit FieldUnpacker(const msgpack::object& aObject)
    : m_object(aObject) {}

  bool Succeeded() const { return m_succeeded; }

  template<typename... Fields>
  void operator()(Fields&... aFields) {
    const bool fits =
      m_object.type == msgpack::type::ARRAY && m_object.via.array.size == sizeof...(Fields);
    if (!fits) {
      m_succeeded = false;
      return;
    }
    const msgpack::object* element = m_object.via.array.ptr;
    m_succeeded = (Unpack(*element++, aFields) && ...);
  }

  template<typename Value>
  static bool Unpack(const msgpack::object& aObject, Value& aValue) {
    if constexpr (IsVector<Value>::value) {
      return UnpackVector(aObject, aValue);
    } else if constexpr (std::is_enum_v<Value>) {
      return UnpackEnum(aObject, aValue);
    } else if constexpr (std::is_same_v<Value, bool>) {
      aValue = aObject.type == msgpack::type::BOOLEAN && aObject.via.boolean;
      return aObject.type == msgpack::type::BOOLEAN;
    } else if constexpr (std::is_floating_point_v<Value>) {
      return UnpackNumber(aObject, aValue);
    } else if constexpr (std::is_integral_v<Value>) {
      return UnpackInteger(aObject, aValue);
    } else if constexpr (std::is_same_v<Value, std::string>) {
      return UnpackString(aObject, aValue);
    } else {
      FieldUnpacker inner(aObject);
      aValue.VisitFields(inner);
      return inner.Succeeded();
    }
  }

private:
  template<typename Item>
  static bool UnpackVector(const msgpack::object& aObject, std::vector<Item>& aItems) {
    if (aObject.type != msgpack::type::ARRAY) {
      return false;
    }
    aItems.resize(aObject.via.array.size);
    const msgpack::object* element = aObject.via.array.ptr;
    for (Item& item : aItems) {
      if (!Unpack(*element++, item)) {
        return false;
      }
    }
    return true;
  }

  template<typename Enumeration>
  static bool UnpackEnum(const msgpack::object& aObject, Enumeration& aValue) {
    std::uint64_t number = 0;
    if (!UnpackInteger(aObject, number) || number >= CountValues<Enumeration>()) {
      return false;
    }
    aValue = static_cast<Enumeration>(number);
    return true;
  }

  template<typename Integer>
  static bool UnpackInteger(const msgpack::object& aObject, Integer& aValue) {
    if (aObject.type == msgpack::type::POSITIVE_INTEGER) {
      aValue = static_cast<Integer>(aObject.via.u64);
      return std::in_range<Integer>(aObject.via.u64);
    }
    if (aObject.type == msgpack::type::NEGATIVE_INTEGER) {
      aValue = static_cast<Integer>(aObject.via.i64);
      return std::in_range<Integer>(aObject.via.i64);
    }
    return false;
  }

  static bool UnpackNumber(const msgpack::object& aObject, double& aValue) {
    aValue = aObject.via.f64;
    return aObject.type == msgpack::type::FLOAT64;
  }

  static bool UnpackString(const msgpack::object& aObject, std::string& aValue) {
    if (aObject.type != msgpack::type::STR) {
      return false;
    }
    aValue.assign(aObject.via.str.ptr, aObject.via.str.size);
    return true;
  }

  const msgpack::object& m_object;
  bool m_succeeded = false;
};

template<std::size_t Index>
bool UnpackAlternative(const msgpack::object& aObject, Message& aMessage) {
  return FieldUnpacker::Unpack(aObject, aMessage.emplace<Index>());
}

using AlternativeUnpacker = bool (*)(const msgpack::object&, Message&);

template<std::size_t... Indexes>
constexpr std::array<AlternativeUnpacker, sizeof...(Indexes)> MakeAlternativeUnpackers(
  std::index_sequence<Indexes...> /*aIndexes*/) {
  return {&UnpackAlternative<Indexes>...};
}

constexpr std::array<AlternativeUnpacker, std::variant_size_v<Message>> kAlternativeUnpackers =
  MakeAlternativeUnpackers(std::make_index_sequence<std::variant_size_v<Message>>{});

/// The header of a message on the wire. The fields of the message follow as a second element.
struct EnvelopeHeader {
  std::uint64_t m_format = kFormat;
  std::uint64_t m_type = 0;
  EntryId m_from;
  std::uint64_t m_clock = 0;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_format, m_type, m_from, m_clock);
  }
};

Error Invalid(const std::string& aReason) {
  return MakeError(ErrorCode::InvalidMessage, aReason);
}

/// Parses exactly one msgpack value within limits. The handle owns the value's memory and does not
/// refer to aBytes.
Result<msgpack::object_handle> ParseMsgpack(std::string_view aBytes) {
  const std::size_t maxBytes = aBytes.size();
  const msgpack::unpack_limit limit(kMaxItems, 0, maxBytes, 0, 0, kMaxDepth);
  try {
    std::size_t offset = 0;
    msgpack::object_handle handle =
      msgpack::unpack(aBytes.data(), aBytes.size(), offset, nullptr, nullptr, limit);
    if (offset != aBytes.size()) {
      return Invalid("trailing bytes after the message");
    }
    return handle;
  } catch (const msgpack::unpack_error& error) {
    return Invalid(std::string("invalid msgpack or limits exceeded: ") + error.what());
  }
}

Result<Envelope> ReadEnvelope(const msgpack::object& aRoot) {
  constexpr std::size_t kElements = 2;
  if (aRoot.type != msgpack::type::ARRAY || aRoot.via.array.size != kElements) {
    return Invalid("the message envelope is not an array of two elements");
  }
  EnvelopeHeader head;
  if (!FieldUnpacker::Unpack(aRoot.via.array.ptr[0], head)) {
    return Invalid("the envelope header is malformed");
  }
  if (head.m_format != kFormat) {
    return Invalid("message format " + std::to_string(head.m_format) + " is not supported");
  }
  if (head.m_type >= kAlternativeUnpackers.size()) {
    return Invalid("message type " + std::to_string(head.m_type) + " is not supported");
  }
  Envelope envelope{.m_from = std::move(head.m_from), .m_clock = head.m_clock, .m_message = {}};
  if (!kAlternativeUnpackers[head.m_type](aRoot.via.array.ptr[1], envelope.m_message)) {
    return Invalid("a field of message type " + std::to_string(head.m_type) + " is malformed");
  }
  return envelope;
}

std::string TagOf(std::string_view aSecret, std::string_view aBytes) {
  return HmacSha256Hex(aSecret, aBytes).substr(0, kTagHexDigits);
}

bool HasTagOfAny(const std::vector<std::string>& aSecrets, std::string_view aTag,
                 std::string_view aBytes) {
  bool matched = false;
  for (const std::string& secret : aSecrets) {
    matched = EqualInConstantTime(aTag, TagOf(secret, aBytes)) || matched;
  }
  return matched;
}

} // namespace

std::string EncodeMessage(const Envelope& aEnvelope) {
  const EnvelopeHeader head{.m_type = aEnvelope.m_message.index(),
                            .m_from = aEnvelope.m_from,
                            .m_clock = aEnvelope.m_clock};
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  FieldPacker fields(packer);
  packer.pack_array(2);
  fields.Pack(head);
  std::visit([&fields](const auto& aMessage) { fields.Pack(aMessage); }, aEnvelope.m_message);
  return {buffer.data(), buffer.size()};
}

Result<Envelope> DecodeMessage(std::string_view aBytes) {
  if (aBytes.size() > kMaxMessageBytes) {
    return Invalid("the message is longer than " + std::to_string(kMaxMessageBytes) + " bytes");
  }
  const msgpack::object_handle handle = TRY(ParseMsgpack(aBytes));
  return ReadEnvelope(handle.get());
}

std::string EncodeDatagram(const MembershipDatagram& aDatagram, std::string_view aSecret) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  FieldPacker(packer).Pack(aDatagram);
  const std::string_view body(buffer.data(), buffer.size());
  return TagOf(aSecret, body) + std::string(body);
}

Result<MembershipDatagram> DecodeDatagram(std::string_view aBytes,
                                          const std::vector<std::string>& aSecrets) {
  if (aBytes.size() < kTagHexDigits || aBytes.size() > kMaxDatagramBytes) {
    return Invalid("invalid datagram size: " + std::to_string(aBytes.size()) + " bytes");
  }
  const std::string_view tag = aBytes.substr(0, kTagHexDigits);
  const std::string_view body = aBytes.substr(kTagHexDigits);
  if (!HasTagOfAny(aSecrets, tag, body)) {
    return MakeError(ErrorCode::Unauthorized,
                     "the datagram's authentication tag matches no known secret");
  }
  const msgpack::object_handle handle = TRY(ParseMsgpack(body));
  MembershipDatagram datagram;
  if (!FieldUnpacker::Unpack(handle.get(), datagram)) {
    return Invalid("a field of the datagram is malformed");
  }
  return datagram;
}

} // namespace fennelline
