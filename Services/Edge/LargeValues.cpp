#include "Services/Edge/LargeValues.h"

#include "LibHttp/MessageWriter.h"
#include "Services/Edge/StoreReply.h"
#include "platform/StoreCodec.h"

namespace fennelline {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

constexpr std::string_view kValuePath = "/v1/value";

/// Until the first byte of a response. A peer answers in milliseconds; the store may be slow.
constexpr Duration kPeerAnswerTime = Milliseconds(500);
constexpr Duration kStoreAnswerTime = Seconds(2);

} // namespace

LargeValues::LargeValues(EdgeContext& aContext, OutgoingCalls& aCalls, const StoreMirror& aMirror,
                         OnReceived aOnReceived)
  : m_context(aContext)
  , m_calls(aCalls)
  , m_mirror(aMirror)
  , m_onReceived(std::move(aOnReceived))
  , m_source(aContext.m_random.Next()) {}

void LargeValues::FetchAwaited(const std::string& aAnnouncer) {
  if (m_mirror.Awaited().empty()) {
    return;
  }
  m_source.SetAnnouncer(aAnnouncer);
  if (!m_isFetching) {
    m_isFetching = true;
    FetchNext();
  }
}

void LargeValues::FetchNext() {
  if (m_mirror.Awaited().empty()) {
    m_isFetching = false;
    return;
  }
  const auto& [key, revision] = *m_mirror.Awaited().begin();
  const Time now = m_context.m_loop.Now();
  const DeferredValue wanted{.m_key = key, .m_revision = revision, .m_era = m_mirror.Era()};
  if (m_wanted != wanted) {
    m_wanted = wanted;
    m_wantedSince = now;
    m_attempts = 0;
    m_source.Start(m_context.m_entries, now);
    LogLine line("large-value-awaited");
    line.Text("key", key).Count("revision", revision);
    m_context.Log(LogPriority::Notable, line);
  }
  ++m_attempts;
  const LargeValueSource::Choice choice = m_source.Choose(m_peers, now);
  if (choice.m_isStore) {
    FetchFromStore();
  } else {
    FetchFromPeer(choice.m_peer);
  }
}

void LargeValues::FetchFromPeer(const std::string& aPeer) {
  HeaderList headers;
  headers.Add("Host", aPeer);
  const std::string query =
    EncodeLargeValueQuery({.m_wanted = m_wanted, .m_from = m_context.m_settings.m_peerAddress});
  m_calls.Send(aPeer, WriteRequest("POST", std::string(kValuePath), headers, query),
               kPeerAnswerTime,
               [this, aPeer](const CallResponse& aResponse) { OnPeerResponse(aPeer, aResponse); });
}

void LargeValues::OnPeerResponse(const std::string& aPeer, const CallResponse& aResponse) {
  if (aResponse.m_status == kUnavailable) {
    m_context.m_metrics.OnLargeValueCall(LargeValueOutcome::Busy);
    ContinueAfter(m_source.OnBusy(aResponse.m_body));
    return;
  }
  if (aResponse.m_status == kNotFound) {
    m_context.m_metrics.OnLargeValueCall(LargeValueOutcome::Missing);
    ContinueAfter(m_source.OnFailure());
    return;
  }
  const Result<LargeValue> value = DecodeLargeValue(aResponse.m_body);
  if (aResponse.m_status != kOk || value.IsError()) {
    LogFailure(aPeer, aResponse,
               aResponse.m_status == kOk ? value.GetError().m_detail : "incomplete");
    ContinueAfter(m_source.OnFailure());
    return;
  }
  const KeyValue& key = value.Get().m_key;
  m_encoded = {
    .m_id = {.m_key = key.m_key, .m_revision = key.m_revision, .m_era = value.Get().m_era},
    .m_bytes = aResponse.m_body};
  TakeValue(value.Get(), aPeer, aResponse);
}

void LargeValues::FetchFromStore() {
  const std::string& store = m_context.m_settings.m_storeAddress;
  const PlatformRequest request = GetKey{.m_key = m_wanted.m_key};
  m_calls.Send(store, platform::EncodeStoreCall(request, store), kStoreAnswerTime,
               [this, request](const CallResponse& aResponse) {
                 OnStoreReply(ReadStoreReply(m_context, request, aResponse), aResponse);
               });
}

void LargeValues::OnStoreReply(const PlatformReply& aReply, const CallResponse& aResponse) {
  constexpr std::string_view kSource = "store";
  if (aReply.m_status != PlatformStatus::Ok || aReply.m_keys.empty()) {
    LogFailure(kSource, aResponse, "not available");
    ContinueAfter(m_source.OnFailure());
    return;
  }
  TakeValue({.m_key = aReply.m_keys.front(), .m_era = aReply.m_era}, kSource, aResponse);
}

bool LargeValues::IsOfCurrentEra(std::optional<StoreEra> aEra) const {
  // Entries of earlier releases do not say the era, and may not have noticed that it changed.
  const bool isKnown = aEra || !m_mirror.HasChangedEra();
  return isKnown && m_mirror.Compare(aEra) == EraOrder::Same;
}

void LargeValues::TakeValue(const LargeValue& aValue, std::string_view aSource,
                            const CallResponse& aResponse) {
  if (!IsOfCurrentEra(aValue.m_era)) {
    LogFailure(aSource, aResponse, "of another era");
    ContinueAfter(m_source.OnFailure());
    return;
  }
  const KeyValue& value = aValue.m_key;
  m_context.m_metrics.OnLargeValueCall(LargeValueOutcome::Received);
  LogLine line("large-value");
  line.Text("key", value.m_key).Count("revision", value.m_revision);
  line.Text("dependency", aSource).Count("bytes", aResponse.m_body.size());
  line.Count("value-bytes", value.m_value.size()).Ms("transfer", aResponse.m_transferTime);
  line.Ms("awaited", m_context.m_loop.Now() - m_wantedSince).Count("attempts", m_attempts);
  m_context.Log(LogPriority::Notable, line);
  m_onReceived(value);
  // An older revision than the awaited one leaves it awaited.
  ContinueAfter(m_mirror.Awaited().empty() ? Duration(0) : m_source.OnFailure());
}

void LargeValues::ContinueAfter(Duration aDelay) {
  m_context.m_loop.After(aDelay, [this] { FetchNext(); });
}

void LargeValues::LogFailure(std::string_view aSource, const CallResponse& aResponse,
                             std::string_view aReason) const {
  m_context.m_metrics.OnLargeValueCall(LargeValueOutcome::Failed);
  LogLine line("large-value-failed");
  line.Text("key", m_wanted.m_key).Count("revision", m_wanted.m_revision);
  line.Text("dependency", aSource).Count("status", aResponse.m_status);
  line.Count("bytes", aResponse.m_body.size()).Ms("transfer", aResponse.m_transferTime);
  line.Text("reason", aReason);
  m_context.Log(LogPriority::Notable, line);
}

bool LargeValues::Answer(const std::shared_ptr<ServerConnection>& aPeer,
                         const IncomingRequest& aRequest) {
  if (aRequest.m_head.m_target != kValuePath) {
    return false;
  }
  const Result<LargeValueQuery> query = DecodeLargeValueQuery(aRequest.m_body);
  if (query.IsError()) {
    LogLine line("rejected");
    line.Text("id", "").Count("status", kBadRequest).Text("reason", query.GetError().m_detail);
    m_context.Log(LogPriority::Notable, line);
    aPeer->SendResponse({.m_status = kBadRequest, .m_headers = {}}, {});
    return true;
  }
  const KeyValue* held = m_mirror.Find(query.Get().m_wanted.m_key);
  const bool isSameEra = m_mirror.Compare(query.Get().m_wanted.m_era) == EraOrder::Same;
  if (!isSameEra || held == nullptr || held->m_revision < query.Get().m_wanted.m_revision) {
    aPeer->SendResponse({.m_status = kNotFound, .m_headers = {}}, {});
    return true;
  }
  const DeferredValue id{
    .m_key = held->m_key, .m_revision = held->m_revision, .m_era = m_mirror.Era()};
  if (m_encoded.m_id != id) {
    m_encoded = {.m_id = id, .m_bytes = EncodeLargeValue(*held, m_mirror.Era())};
  }
  const Time now = m_context.m_loop.Now();
  if (m_sender.Start(id, query.Get().m_from, m_encoded.m_bytes.size(),
                     m_context.m_settings.m_linkBytesPerSecond, now)) {
    aPeer->SendResponse({.m_status = kOk, .m_headers = {}}, m_encoded.m_bytes);
  } else {
    aPeer->SendResponse({.m_status = kUnavailable, .m_headers = {}}, m_sender.NextHolder(now));
  }
  return true;
}

} // namespace fennelline
