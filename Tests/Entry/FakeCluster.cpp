#include "Tests/Entry/FakeCluster.h"

#include "LibCoordination/Usage/UsageLedger.h"

#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

constexpr Duration kTick = Milliseconds(10);
constexpr Duration kPoll = Milliseconds(100);
/// From a check that got no whole reply to the next one's result.
constexpr Duration kRepeatedCheck = Milliseconds(60);
constexpr Duration kMinDelay = Milliseconds(1);
constexpr std::uint64_t kDelaySpreadUs = 2'000;
constexpr std::uint64_t kServiceSpreadUs = 30'000;
constexpr Duration kServiceTime = Milliseconds(10);
constexpr std::int64_t kSlots = 8;
constexpr std::int64_t kTokens = 20;
constexpr int kStatusOk = 200;

std::string NameOfEntry(const EntryId& aSelf) {
  return aSelf.substr(0, aSelf.find('#'));
}

} // namespace

Duration FakeCluster::Delay() {
  return kMinDelay + Duration(m_random.Below(kDelaySpreadUs));
}

void FakeCluster::SetConfiguration(const Configuration& aConfiguration) {
  PutKey put{.m_key = kConfigurationKey, .m_value = WriteConfiguration(aConfiguration)};
  const auto present = m_platform.Keys().find(kConfigurationKey);
  put.m_expected = present == m_platform.Keys().end() ? kAbsent : present->second.m_revision;
  m_platform.Handle({}, put);
}

void FakeCluster::AddEntry(const std::string& aName, const DataCentre& aDataCentre) {
  EntryStart start;
  start.m_settings.m_name = aName;
  start.m_settings.m_dataCentre = aDataCentre;
  start.m_settings.m_sessionKeys = {"a session key of the tests"};
  start.m_settings.m_entryListLife = Seconds(1);
  start.m_settings.m_leaveMargin = Seconds(1);
  start.m_self = aName + "#" + std::to_string(++m_incarnations);
  start.m_seed = m_random.Next();
  start.m_addresses.m_datagramAddress = "datagram:" + start.m_self;
  start.m_addresses.m_streamAddress = "stream:" + start.m_self;
  start.m_addresses.m_callerAddress = "caller:" + start.m_self;
  Entry& entry = m_entries[aName];
  entry = Entry{.m_self = start.m_self,
                .m_reducer = std::make_unique<EntryReducer>(start),
                .m_datagramAddress = start.m_addresses.m_datagramAddress};
  ScheduleTick(entry.m_self);
  SchedulePolls(entry.m_self);
}

void FakeCluster::AddModel(const std::string& aName, const DataCentre& aDataCentre,
                           std::vector<std::string> aVersions) {
  m_servers[aName] = Server{.m_vm = {.m_name = aName,
                                     .m_address = "server:" + aName,
                                     .m_dataCentre = aDataCentre,
                                     .m_role = "model"},
                            .m_versions = std::move(aVersions)};
}

void FakeCluster::AddService(const std::string& aName, const DataCentre& aDataCentre,
                             const std::string& aService) {
  m_servers[aName] = Server{.m_vm = {.m_name = aName,
                                     .m_address = "server:" + aName,
                                     .m_dataCentre = aDataCentre,
                                     .m_role = "service:" + aService}};
}

void FakeCluster::SetLeaving(const std::string& aServer) {
  m_servers.at(aServer).m_vm.m_leaving = true;
}

std::vector<std::string> FakeCluster::EntryNames() const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : m_entries) {
    names.push_back(name);
  }
  return names;
}

void FakeCluster::Kill(const std::string& aName) {
  m_entries.erase(aName);
}

void FakeCluster::Pause(const std::string& aName, Duration aLength) {
  m_entries.at(aName).m_pausedUntil = m_now + aLength;
}

void FakeCluster::Stop(const std::string& aName) {
  Deliver(m_entries.at(aName).m_self, StopRequested{});
}

std::optional<bool> FakeCluster::Stopped(const std::string& aName) const {
  const auto found = m_stoppedEntries.find(aName);
  return found == m_stoppedEntries.end() ? std::nullopt : found->second;
}

std::shared_ptr<CallerAnswer> FakeCluster::Submit(const std::string& aEntry,
                                                  CallerRequest aRequest) {
  const std::shared_ptr<CallerAnswer> answer = std::make_shared<CallerAnswer>();
  answer->m_submitted = m_now;
  const auto entry = m_entries.find(aEntry);
  if (entry == m_entries.end()) {
    return answer;
  }
  answer->m_entry = entry->second.m_self;
  aRequest.m_caller = entry->second.m_nextCaller++;
  entry->second.m_callers[aRequest.m_caller] = answer;
  DeliverAfter(Delay(), entry->second.m_self, std::move(aRequest));
  return answer;
}

void FakeCluster::At(Time aTime, std::function<void()> aAction) {
  m_events.emplace(std::pair(aTime, ++m_eventNumber), std::move(aAction));
}

void FakeCluster::RunFor(Duration aLength) {
  RunUntil([]() { return false; }, aLength);
}

bool FakeCluster::RunUntil(const std::function<bool()>& aCondition, Duration aLimit) {
  const Time end = m_now + aLimit;
  while (!m_events.empty() && m_events.begin()->first.first <= end) {
    if (aCondition()) {
      return true;
    }
    const auto next = m_events.begin();
    m_now = std::max(m_now, next->first.first);
    const std::function<void()> action = std::move(next->second);
    m_events.erase(next);
    action();
  }
  m_now = end;
  return aCondition();
}

FakeCluster::Entry* FakeCluster::FindEntry(const EntryId& aSelf) {
  const auto found = m_entries.find(NameOfEntry(aSelf));
  const bool same = found != m_entries.end() && found->second.m_self == aSelf;
  return same ? &found->second : nullptr;
}

void FakeCluster::Deliver(const EntryId& aSelf, Event aEvent) {
  Entry* entry = FindEntry(aSelf);
  if (entry == nullptr) {
    return;
  }
  if (m_now < entry->m_pausedUntil) {
    At(entry->m_pausedUntil, [this, aSelf, event = std::move(aEvent)]() { Deliver(aSelf, event); });
    return;
  }
  for (EntryEffect& effect : entry->m_reducer->Reduce(aEvent, m_now)) {
    Run(*entry, std::move(effect));
  }
  if (entry->m_stopped) {
    m_stoppedEntries[NameOfEntry(aSelf)] = entry->m_stopped;
    m_entries.erase(NameOfEntry(aSelf));
  }
}

void FakeCluster::DeliverAfter(Duration aDelay, const EntryId& aSelf, Event aEvent) {
  At(m_now + aDelay, [this, aSelf, event = std::move(aEvent)]() { Deliver(aSelf, event); });
}

void FakeCluster::ScheduleTick(const EntryId& aSelf) {
  At(m_now + kTick, [this, aSelf]() {
    Entry* entry = FindEntry(aSelf);
    if (entry == nullptr) {
      return;
    }
    if (m_now >= entry->m_pausedUntil) {
      Deliver(aSelf, Tick{});
    }
    ScheduleTick(aSelf);
  });
}

void FakeCluster::SchedulePolls(const EntryId& aSelf) {
  At(m_now + kPoll, [this, aSelf]() {
    if (FindEntry(aSelf) == nullptr) {
      return;
    }
    VmListRead list;
    for (const auto& [name, entry] : m_entries) {
      list.m_vms.push_back(
        {.m_name = name, .m_address = entry.m_datagramAddress, .m_role = "entry"});
    }
    for (const auto& [name, server] : m_servers) {
      list.m_vms.push_back(server.m_vm);
      // The VM list lags: only the server's load report says that it is leaving.
      list.m_vms.back().m_leaving = false;
    }
    if (!m_platformDown) {
      DeliverAfter(Delay(), aSelf, std::move(list));
    }
    for (const auto& [name, server] : m_servers) {
      DeliverLoadReport(aSelf, server, false);
    }
    SchedulePolls(aSelf);
  });
}

void FakeCluster::DeliverLoadReport(const EntryId& aSelf, const Server& aServer,
                                    bool aAfterFailure) {
  LoadPolled polled{.m_backendServer = aServer.m_vm.m_name,
                    .m_reached = !aServer.m_crashed,
                    .m_refused = aServer.m_crashed,
                    .m_afterFailure = aAfterFailure};
  polled.m_report.m_backendServer = aServer.m_vm.m_name;
  polled.m_report.m_runningRequests = static_cast<std::int64_t>(aServer.m_running.size());
  polled.m_report.m_tokensPerSecond = 1'000.0;
  polled.m_report.m_versions = aServer.m_versions;
  polled.m_slots = kSlots;
  polled.m_leaving = aServer.m_vm.m_leaving;
  DeliverAfter(Delay(), aSelf, std::move(polled));
}

void FakeCluster::CheckServer(const EntryId& aSelf, const std::string& aServer) {
  // Without this fault, nothing is drawn, so that the runs of other tests stay as they are.
  if (m_faults.m_lostCheck == 0.0 || !m_random.Chance(m_faults.m_lostCheck)) {
    DeliverLoadReport(aSelf, m_servers.at(aServer), true);
    return;
  }
  DeliverAfter(Delay(), aSelf, LoadPolled{.m_backendServer = aServer, .m_afterFailure = true});
  At(m_now + kRepeatedCheck,
     [this, aSelf, aServer]() { DeliverLoadReport(aSelf, m_servers.at(aServer), true); });
}

void FakeCluster::Run(Entry& aEntry, EntryEffect aEffect) {
  const EntryId self = aEntry.m_self;
  if (const SendMessage* message = std::get_if<SendMessage>(&aEffect)) {
    if (m_random.Chance(m_faults.m_messageLoss)) {
      return;
    }
    const int copies = m_random.Chance(m_faults.m_messageDuplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      DeliverAfter(Delay(), message->m_to,
                   MessageReceived{.m_from = self, .m_message = message->m_message});
    }
  } else if (const SendDatagram* datagram = std::get_if<SendDatagram>(&aEffect)) {
    if (!m_random.Chance(m_faults.m_messageLoss)) {
      DeliverAfter(Delay(), datagram->m_address.substr(std::string("datagram:").size()),
                   DatagramReceived{.m_datagram = datagram->m_datagram});
    }
  } else if (const CallPlatform* call = std::get_if<CallPlatform>(&aEffect)) {
    const WatchKeys* watch = std::get_if<WatchKeys>(&call->m_request);
    const Duration wait = Milliseconds(watch == nullptr ? 0 : watch->m_waitMilliseconds);
    At(m_now + Delay(),
       [this, self, copy = *call, wait]() { OnPlatformCall(self, copy, m_now + wait); });
  } else if (const CallBackend* backend = std::get_if<CallBackend>(&aEffect)) {
    OnBackendCall(self, *backend);
  } else if (const SubmitRating* rating = std::get_if<SubmitRating>(&aEffect)) {
    DeliverAfter(Milliseconds(100), self,
                 RatingArrived{.m_rating = rating->m_rating, .m_good = true});
  } else if (const AnswerHead* head = std::get_if<AnswerHead>(&aEffect)) {
    OnAnswerPart(aEntry, head->m_caller, [head](CallerAnswer& aAnswer) {
      aAnswer.m_status = head->m_status;
      aAnswer.m_contentType = head->m_contentType;
      aAnswer.m_headers = {head->m_headers.begin(), head->m_headers.end()};
    });
  } else if (const AnswerChunk* chunk = std::get_if<AnswerChunk>(&aEffect)) {
    OnAnswerPart(aEntry, chunk->m_caller,
                 [chunk](CallerAnswer& aAnswer) { aAnswer.m_body += chunk->m_bytes; });
  } else if (const AnswerEnd* end = std::get_if<AnswerEnd>(&aEffect)) {
    OnAnswerPart(aEntry, end->m_caller, [this](CallerAnswer& aAnswer) {
      aAnswer.m_ended = true;
      aAnswer.m_endedAt = m_now;
    });
  } else if (const StopNow* stop = std::get_if<StopNow>(&aEffect)) {
    aEntry.m_stopped = stop->m_clean;
  }
}

void FakeCluster::OnAnswerPart(Entry& aEntry, CallerId aCaller,
                               const std::function<void(CallerAnswer&)>& aApply) {
  CallerAnswer& answer = *aEntry.m_callers.at(aCaller);
  if (answer.m_ended) {
    ++answer.m_afterEnd;
    return;
  }
  aApply(answer);
}

void FakeCluster::OnPlatformCall(const EntryId& aFrom, const CallPlatform& aCall, Time aWaitUntil) {
  PlatformReply reply{.m_call = aCall.m_call, .m_status = PlatformStatus::Unavailable};
  const WatchKeys* watch = std::get_if<WatchKeys>(&aCall.m_request);
  if (!m_platformDown && watch != nullptr) {
    reply = m_platform.Handle(aCall.m_call, ListKeys{.m_prefix = watch->m_prefix});
    std::erase_if(reply.m_keys,
                  [watch](const KeyValue& aKey) { return aKey.m_revision <= watch->m_after; });
    if (reply.m_keys.empty() && m_now < aWaitUntil) {
      At(m_now + Milliseconds(20),
         [this, aFrom, aCall, aWaitUntil]() { OnPlatformCall(aFrom, aCall, aWaitUntil); });
      return;
    }
  } else if (!m_platformDown) {
    reply = m_platform.Handle(aCall.m_call, aCall.m_request);
  }
  if (!m_platformDown && m_random.Chance(m_faults.m_lostReply)) {
    reply = {.m_call = aCall.m_call, .m_status = PlatformStatus::Unknown};
  }
  DeliverAfter(Delay(), aFrom, std::move(reply));
}

void FakeCluster::OnBackendCall(const EntryId& aFrom, const CallBackend& aCall) {
  const Server& server = m_servers.at(aCall.m_backendServer);
  if (server.m_crashed || m_random.Chance(m_faults.m_notSentCall)) {
    DeliverAfter(Delay(), aFrom,
                 BackendFailed{.m_call = aCall.m_call, .m_failure = BackendFailure::NotSent});
    return;
  }
  // The run takes place even if the requesting entry dies.
  At(m_now + Delay(), [this, aFrom, aCall]() {
    Server& target = m_servers.at(aCall.m_backendServer);
    m_runs.push_back({.m_server = aCall.m_backendServer,
                      .m_path = aCall.m_path,
                      .m_version = aCall.m_version,
                      .m_body = aCall.m_body,
                      .m_at = m_now});
    target.m_running.insert(aCall.m_attempt);
    const bool crashes = aCall.m_body.find(kCrashMarker) != std::string::npos;
    if (crashes) {
      target.m_crashed = true;
      target.m_running.clear();
    }
    const Duration time = kServiceTime + Duration(m_random.Below(kServiceSpreadUs));
    At(m_now + (crashes ? Delay() : time), [this, aFrom, aCall]() { FinishRun(aFrom, aCall); });
  });
}

void FakeCluster::FinishRun(const EntryId& aFrom, const CallBackend& aCall) {
  Server& server = m_servers.at(aCall.m_backendServer);
  server.m_running.erase(aCall.m_attempt);
  if (server.m_crashed || m_random.Chance(m_faults.m_brokenCall)) {
    DeliverAfter(Delay(), aFrom,
                 BackendFailed{.m_call = aCall.m_call, .m_failure = BackendFailure::Broken});
    At(m_now + 2 * kTick, [this, aFrom, aCall]() { CheckServer(aFrom, aCall.m_backendServer); });
    return;
  }
  const Duration delay = Delay();
  DeliverAfter(delay, aFrom,
               BackendAnswered{.m_call = aCall.m_call,
                               .m_status = kStatusOk,
                               .m_contentType = "application/json"});
  DeliverAfter(delay, aFrom,
               BackendChunk{.m_call = aCall.m_call,
                            .m_bytes = "answer to " + aCall.m_body,
                            .m_tokens = kTokens,
                            .m_eventNumber = aCall.m_stream ? 1U : 0U});
  DeliverAfter(delay, aFrom,
               BackendFinished{.m_call = aCall.m_call,
                               .m_inputTokens = kTokens,
                               .m_outputTokens = kTokens,
                               .m_version = aCall.m_version});
}

std::map<std::string, Bill> FakeCluster::Bills() {
  std::map<std::string, Bill> bills;
  const auto add = [&bills](const nlohmann::json& aCustomers, std::int64_t aFactor) {
    for (const nlohmann::json& customer : aCustomers) {
      Bill& bill = bills[customer.at("customer").get<std::string>()];
      bill.m_micros += aFactor * customer.at("micros").get<std::int64_t>();
      bill.m_requests += aFactor * customer.at("requests").get<std::int64_t>();
    }
  };
  for (const auto& [key, value] : m_platform.Keys()) {
    const bool isTotals = key.starts_with(kTotalsKey);
    if (!isTotals && !key.starts_with(kLedgerPrefix)) {
      continue;
    }
    const nlohmann::json document = nlohmann::json::parse(value.m_value);
    add(document.at("customers"), 1);
    // A ledger already folded into the totals but not removed yet must count only once.
    for (const nlohmann::json& folded : document.value("folded", nlohmann::json::array())) {
      add(folded.at("customers"), -1);
    }
  }
  return bills;
}

} // namespace fennelline
