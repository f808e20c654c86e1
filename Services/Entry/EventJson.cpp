#include "Services/Entry/EventJson.h"

#include "LibBase/NameTable.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <type_traits>

namespace fennelline {

using nlohmann::ordered_json;

namespace {

/// Kind names, in the order of the variant alternatives.
constexpr std::array<std::string_view, std::variant_size_v<Event>> kEventNames = {
  "caller_request",   "caller_gone",       "backend_answered", "backend_chunk", "backend_finished",
  "backend_failed",   "vm_list_read",      "load_polled",      "cache_changed", "rating_arrived",
  "message_received", "datagram_received", "platform_reply",   "tick",          "stop_requested"};
constexpr std::array<std::string_view, std::variant_size_v<EntryEffect>> kEffectNames = {
  "send_message",   "send_datagram", "call_platform", "record_timeline",
  "answer_head",    "answer_chunk",  "answer_end",    "call_backend",
  "cancel_backend", "submit_rating", "stop_now"};

constexpr const char* kKindField = "kind";
constexpr const char* kEventField = "event";
constexpr const char* kEffectsField = "effects";
constexpr const char* kSelfField = "self";
constexpr const char* kAddressesField = "addresses";
constexpr const char* kSeedField = "seed";

struct AnyVisitor {
  template<typename... Fields>
  void operator()(Fields&... aFields);
};

/// An aggregate sent between entries, which lists its fields in VisitFields().
template<typename Type>
concept WireAggregate = requires(Type& aValue, AnyVisitor& aVisitor) {
  aValue.VisitFields(aVisitor);
};

// The named fields of each event and effect; the same list is used for writing and reading.

template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, CallerRequest& aItem) {
  aVisit("caller", aItem.m_caller);
  aVisit("target", aItem.m_target);
  aVisit("service", aItem.m_service);
  aVisit("operation", aItem.m_operation);
  aVisit("key_hash", aItem.m_keyHash);
  aVisit("idempotency_key", aItem.m_idempotencyKey);
  aVisit("request_kind", aItem.m_kind);
  aVisit("session", aItem.m_session);
  aVisit("deadline_ms", aItem.m_deadlineMs);
  aVisit("body", aItem.m_body);
  aVisit("model", aItem.m_model);
  aVisit("prompt", aItem.m_prompt);
  aVisit("most_output_tokens", aItem.m_mostOutputTokens);
  aVisit("stream", aItem.m_stream);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, CallerGone& aItem) {
  aVisit("caller", aItem.m_caller);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, BackendAnswered& aItem) {
  aVisit("call", aItem.m_call);
  aVisit("status", aItem.m_status);
  aVisit("content_type", aItem.m_contentType);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, BackendChunk& aItem) {
  aVisit("call", aItem.m_call);
  aVisit("bytes", aItem.m_bytes);
  aVisit("tokens", aItem.m_tokens);
  aVisit("event_number", aItem.m_eventNumber);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, BackendFinished& aItem) {
  aVisit("call", aItem.m_call);
  aVisit("input_tokens", aItem.m_inputTokens);
  aVisit("output_tokens", aItem.m_outputTokens);
  aVisit("version", aItem.m_version);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, BackendFailed& aItem) {
  aVisit("call", aItem.m_call);
  aVisit("failure", aItem.m_failure);
  aVisit("detail", aItem.m_detail);
  aVisit("backend_server", aItem.m_backendServer);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, ListedVm& aItem) {
  aVisit("name", aItem.m_name);
  aVisit("address", aItem.m_address);
  aVisit("data_centre", aItem.m_dataCentre);
  aVisit("role", aItem.m_role);
  aVisit("leaving", aItem.m_leaving);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, VmListRead& aItem) {
  aVisit("vms", aItem.m_vms);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, LoadPolled& aItem) {
  aVisit("backend_server", aItem.m_backendServer);
  aVisit("reached", aItem.m_reached);
  aVisit("refused", aItem.m_refused);
  aVisit("after_failure", aItem.m_afterFailure);
  aVisit("report", aItem.m_report);
  aVisit("slots", aItem.m_slots);
  aVisit("leaving", aItem.m_leaving);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, CacheChanged& aItem) {
  aVisit("backend_server", aItem.m_backendServer);
  aVisit("added", aItem.m_added);
  aVisit("removed", aItem.m_removed);
  aVisit("gap", aItem.m_gap);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, RatingArrived& aItem) {
  aVisit("rating", aItem.m_rating);
  aVisit("good", aItem.m_good);
  aVisit("failed", aItem.m_failed);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, MessageReceived& aItem) {
  aVisit("from", aItem.m_from);
  aVisit("message", aItem.m_message);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, DatagramReceived& aItem) {
  aVisit("datagram", aItem.m_datagram);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, CallId& aItem) {
  aVisit("part", aItem.m_component);
  aVisit("number", aItem.m_number);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, KeyValue& aItem) {
  aVisit("key", aItem.m_key);
  aVisit("value", aItem.m_value);
  aVisit("revision", aItem.m_revision);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, PlatformReply& aItem) {
  aVisit("call", aItem.m_call);
  aVisit("status", aItem.m_status);
  aVisit("revision", aItem.m_revision);
  aVisit("keys", aItem.m_keys);
  aVisit("lease", aItem.m_lease);
}
template<typename Visitor>
void VisitNamedFields(Visitor& /*aVisit*/, Tick& /*aItem*/) {}
template<typename Visitor>
void VisitNamedFields(Visitor& /*aVisit*/, StopRequested& /*aItem*/) {}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, SendMessage& aItem) {
  aVisit("to", aItem.m_to);
  aVisit("message", aItem.m_message);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, SendDatagram& aItem) {
  aVisit("address", aItem.m_address);
  aVisit("datagram", aItem.m_datagram);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, GetKey& aItem) {
  aVisit("get", aItem.m_key);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, ListKeys& aItem) {
  aVisit("list", aItem.m_prefix);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, PutKey& aItem) {
  aVisit("put", aItem.m_key);
  aVisit("value", aItem.m_value);
  aVisit("expected", aItem.m_expected);
  aVisit("lease", aItem.m_lease);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, RemoveKey& aItem) {
  aVisit("remove", aItem.m_key);
  aVisit("expected", aItem.m_expected);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, GrantLease& aItem) {
  aVisit("grant_ms", aItem.m_milliseconds);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, RenewLease& aItem) {
  aVisit("renew", aItem.m_lease);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, EndLease& aItem) {
  aVisit("end", aItem.m_lease);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, WatchKeys& aItem) {
  aVisit("watch", aItem.m_prefix);
  aVisit("after", aItem.m_after);
  aVisit("wait_ms", aItem.m_waitMilliseconds);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, CallPlatform& aItem) {
  aVisit("call", aItem.m_call);
  std::visit([&aVisit](auto& aRequest) { VisitNamedFields(aVisit, aRequest); }, aItem.m_request);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, RecordTimeline& aItem) {
  aVisit("name", aItem.m_record.m_name);
  aVisit("request", aItem.m_record.m_request);
  aVisit("session", aItem.m_record.m_session);
  aVisit("version", aItem.m_record.m_version);
  aVisit("fields", aItem.m_record.m_fields);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, AnswerHead& aItem) {
  aVisit("caller", aItem.m_caller);
  aVisit("status", aItem.m_status);
  aVisit("content_type", aItem.m_contentType);
  aVisit("headers", aItem.m_headers);
  aVisit("stream", aItem.m_stream);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, AnswerChunk& aItem) {
  aVisit("caller", aItem.m_caller);
  aVisit("bytes", aItem.m_bytes);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, AnswerEnd& aItem) {
  aVisit("caller", aItem.m_caller);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, CallBackend& aItem) {
  aVisit("call", aItem.m_call);
  aVisit("backend_server", aItem.m_backendServer);
  aVisit("address", aItem.m_address);
  aVisit("path", aItem.m_path);
  aVisit("body", aItem.m_body);
  aVisit("attempt", aItem.m_attempt);
  aVisit("version", aItem.m_version);
  aVisit("priority", aItem.m_priority);
  aVisit("stream", aItem.m_stream);
  aVisit("resume", aItem.m_resume);
  aVisit("resume_after", aItem.m_resumeAfter);
  aVisit("timeout_us", aItem.m_timeout);
  aVisit("silence_us", aItem.m_silence);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, CancelBackend& aItem) {
  aVisit("call", aItem.m_call);
  aVisit("backend_server", aItem.m_backendServer);
  aVisit("address", aItem.m_address);
  aVisit("attempt", aItem.m_attempt);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, SubmitRating& aItem) {
  aVisit("rating", aItem.m_rating);
  aVisit("request_kind", aItem.m_kind);
  aVisit("version", aItem.m_version);
  aVisit("prompt", aItem.m_prompt);
  aVisit("answer", aItem.m_answer);
}
template<typename Visitor>
void VisitNamedFields(Visitor& aVisit, StopNow& aItem) {
  aVisit("clean", aItem.m_clean);
}

template<typename Value>
ordered_json Write(Value& aValue);

struct NamedWriter {
  ordered_json m_object = ordered_json::object();

  template<typename Value>
  void operator()(const char* aName, Value& aValue) {
    m_object[aName] = Write(aValue);
  }
};

struct ArrayWriter {
  ordered_json m_array = ordered_json::array();

  template<typename... Values>
  void operator()(Values&... aValues) {
    (m_array.push_back(Write(aValues)), ...);
  }
};

template<typename Item>
ordered_json WriteItems(std::vector<Item>& aItems) {
  ordered_json array = ordered_json::array();
  for (Item& item : aItems) {
    array.push_back(Write(item));
  }
  return array;
}

ordered_json WriteMessage(Message& aMessage) {
  ordered_json fields =
    std::visit([](auto& aAlternative) { return Write(aAlternative); }, aMessage);
  return ordered_json::array({aMessage.index(), std::move(fields)});
}

template<typename Value>
constexpr bool kIsVector = false;
template<typename Item>
constexpr bool kIsVector<std::vector<Item>> = true;

template<typename Value>
ordered_json Write(Value& aValue) {
  if constexpr (std::is_enum_v<Value>) {
    return static_cast<std::int64_t>(aValue);
  } else if constexpr (std::is_arithmetic_v<Value> || std::is_same_v<Value, std::string>) {
    return aValue;
  } else if constexpr (std::is_same_v<Value, Duration>) {
    return aValue.count();
  } else if constexpr (std::is_same_v<Value, std::optional<std::uint64_t>>) {
    return aValue ? ordered_json(*aValue) : ordered_json(nullptr);
  } else if constexpr (std::is_same_v<Value, std::pair<std::string, std::string>>) {
    return ordered_json::array({aValue.first, aValue.second});
  } else if constexpr (std::is_same_v<Value, Message>) {
    return WriteMessage(aValue);
  } else if constexpr (kIsVector<Value>) {
    return WriteItems(aValue);
  } else if constexpr (WireAggregate<Value>) {
    ArrayWriter writer;
    aValue.VisitFields(writer);
    return writer.m_array;
  } else {
    NamedWriter writer;
    VisitNamedFields(writer, aValue);
    return writer.m_object;
  }
}

template<typename Value>
void Read(const ordered_json& aJson, Value& aValue);

struct NamedReader {
  const ordered_json& m_object;

  template<typename Value>
  void operator()(const char* aName, Value& aValue) {
    Read(m_object.at(aName), aValue);
  }
};

struct ArrayReader {
  const ordered_json& m_array;

  template<typename... Values>
  void operator()(Values&... aValues) {
    std::size_t index = 0;
    (Read(m_array.at(index++), aValues), ...);
  }
};

template<typename Item>
void ReadItems(const ordered_json& aJson, std::vector<Item>& aItems) {
  for (const ordered_json& element : aJson) {
    Read(element, aItems.emplace_back());
  }
}

/// Default-constructs the variant alternative at the given index.
template<typename Variant, std::size_t Index = 0>
Variant MakeAlternative(std::size_t aIndex) {
  if constexpr (Index < std::variant_size_v<Variant>) {
    return aIndex == Index ? Variant(std::in_place_index<Index>)
                           : MakeAlternative<Variant, Index + 1>(aIndex);
  } else {
    throw std::out_of_range("variant index out of range");
  }
}

void ReadMessage(const ordered_json& aJson, Message& aMessage) {
  aMessage = MakeAlternative<Message>(aJson.at(0).get<std::size_t>());
  std::visit([&aJson](auto& aAlternative) { Read(aJson.at(1), aAlternative); }, aMessage);
}

template<typename Value>
void Read(const ordered_json& aJson, Value& aValue) {
  if constexpr (std::is_enum_v<Value>) {
    aValue = static_cast<Value>(aJson.get<std::uint8_t>());
  } else if constexpr (std::is_arithmetic_v<Value> || std::is_same_v<Value, std::string>) {
    aValue = aJson.get<Value>();
  } else if constexpr (std::is_same_v<Value, Message>) {
    ReadMessage(aJson, aValue);
  } else if constexpr (kIsVector<Value>) {
    ReadItems(aJson, aValue);
  } else if constexpr (WireAggregate<Value>) {
    ArrayReader reader{aJson};
    aValue.VisitFields(reader);
  } else {
    NamedReader reader{aJson};
    VisitNamedFields(reader, aValue);
  }
}

std::string Dump(const ordered_json& aJson) {
  constexpr int kCompact = -1;
  return aJson.dump(kCompact, ' ', false, ordered_json::error_handler_t::replace);
}

/// Writes the kind and the fields of the active alternative.
template<typename Variant, std::size_t Count>
ordered_json WriteKind(const Variant& aVariant, const std::array<std::string_view, Count>& aNames) {
  // The field lists are also used for reading, so they take a non-const reference; the writer does
  // not modify the value.
  Variant& variant = const_cast<Variant&>(aVariant);
  NamedWriter writer;
  writer.m_object[kKindField] = aNames[variant.index()];
  std::visit([&writer](auto& aAlternative) { VisitNamedFields(writer, aAlternative); }, variant);
  return writer.m_object;
}

Error NotRecorded(const std::string& aWhat, const std::string& aReason) {
  return MakeError(ErrorCode::InvalidJson, "not " + aWhat + ": " + aReason);
}

std::string FieldText(const TimelineRecord& aRecord, const std::string& aName) {
  for (const auto& [name, value] : aRecord.m_fields) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

} // namespace

std::string WriteEvent(const Event& aEvent) {
  return Dump(WriteKind(aEvent, kEventNames));
}

Result<Event> ParseEvent(const std::string& aText) {
  try {
    const ordered_json object = ordered_json::parse(aText);
    const std::string kind = object.at(kKindField).get<std::string>();
    const auto found = std::find(kEventNames.begin(), kEventNames.end(), kind);
    const std::size_t index = static_cast<std::size_t>(found - kEventNames.begin());
    Event event = MakeAlternative<Event>(index);
    NamedReader reader{object};
    std::visit([&reader](auto& aAlternative) { VisitNamedFields(reader, aAlternative); }, event);
    return event;
  } catch (const std::exception& error) {
    return NotRecorded("an event", error.what());
  }
}

std::string WriteEffects(const EntryEffects& aEffects) {
  ordered_json array = ordered_json::array();
  for (const EntryEffect& effect : aEffects) {
    array.push_back(WriteKind(effect, kEffectNames));
  }
  return Dump(array);
}

TimelineRecord MakeStartRecord(const EntryId& aSelf, const MemberDigest& aAddresses,
                               std::uint64_t aSeed) {
  MemberDigest addresses = aAddresses;
  TimelineRecord record;
  record.m_name = kReducerStartName;
  record.m_fields = {{kSelfField, aSelf},
                     {kAddressesField, Dump(Write(addresses))},
                     {kSeedField, std::to_string(aSeed)}};
  return record;
}

TimelineRecord MakeStepRecord(const Event& aEvent, const EntryEffects& aEffects) {
  TimelineRecord record;
  record.m_name = kReducerStepName;
  record.m_fields = {{kEventField, WriteEvent(aEvent)}, {kEffectsField, WriteEffects(aEffects)}};
  return record;
}

Result<ReducerStart> ReadStartRecord(const TimelineRecord& aRecord) {
  ReducerStart start;
  start.m_self = FieldText(aRecord, kSelfField);
  try {
    Read(ordered_json::parse(FieldText(aRecord, kAddressesField)), start.m_addresses);
    Read(ordered_json::parse(FieldText(aRecord, kSeedField)), start.m_seed);
  } catch (const std::exception& error) {
    return NotRecorded("a start record", error.what());
  }
  return start;
}

Result<ReducerStep> ReadStepRecord(const TimelineRecord& aRecord) {
  return ReducerStep{.m_event = TRY(ParseEvent(FieldText(aRecord, kEventField))),
                     .m_effects = FieldText(aRecord, kEffectsField)};
}

} // namespace fennelline
