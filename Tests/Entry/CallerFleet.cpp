#include "Tests/Entry/CallerFleet.h"

#include "LibBase/Sha256.h"

namespace fennelline {

namespace {

constexpr Duration kCallerTimeout = Milliseconds(2'500);
constexpr double kDuplicateSendChance = 0.05;
constexpr double kReserveShare = 0.3;
constexpr double kTagShare = 0.3;

RequestKind Kind(const std::string& aName, Duration aDeadline, const std::string& aOperation) {
  RequestKind kind;
  kind.m_name = aName;
  kind.m_deadline = aDeadline;
  kind.m_service = aOperation.empty() ? "" : "counter";
  kind.m_operation = aOperation;
  kind.m_urgency = aOperation.empty() ? Urgency::Interactive : Urgency::Counter;
  return kind;
}

Contract ContractOf(const std::string& aCustomer, const std::string& aKey) {
  Contract contract;
  contract.m_customer = aCustomer;
  contract.m_keyHashes = {Sha256Hex(aKey)};
  contract.m_models = {"small"};
  contract.m_spendLimitMicros = 1'000'000'000;
  contract.m_spendPeriod = Seconds(3'600);
  contract.m_kinds = {Kind("check", Milliseconds(300), "check"),
                      Kind("reserve", Milliseconds(600), "reserve"),
                      Kind("tag", kLongestDeadline, "")};
  return contract;
}

ModelVersion Version(const std::string& aName) {
  ModelVersion version;
  version.m_name = aName;
  version.m_model = ModelOf(aName);
  // 20 tokens in and 20 out at these prices cost kTagCost.
  version.m_inputMicrosPer1000Tokens = 100;
  version.m_outputMicrosPer1000Tokens = 100;
  version.m_priorQuality = 0.9;
  return version;
}

} // namespace

Configuration FleetConfiguration() {
  Configuration configuration;
  configuration.m_currency = "ZAR";
  configuration.m_versions = {Version("small@1"), Version("small@2")};
  configuration.m_services = {
    {.m_name = "counter",
     .m_operations = {{.m_name = "check", .m_idempotent = true, .m_costMicros = kCheckCost},
                      {.m_name = "reserve", .m_idempotent = false, .m_costMicros = kReserveCost}}}};
  configuration.m_contracts = {ContractOf("mopane", kMopaneKey),
                               ContractOf("consolas", kConsolasKey)};
  return configuration;
}

void CallerFleet::SendUntil(Time aEnd, Duration aMeanGap) {
  const double gap = m_random.Exponential(static_cast<double>(aMeanGap.count()));
  const Time next = m_cluster.Now() + Duration(static_cast<std::int64_t>(gap) + 1);
  if (next >= aEnd) {
    return;
  }
  m_cluster.At(next, [this, aEnd, aMeanGap]() {
    SendNew();
    SendUntil(aEnd, aMeanGap);
  });
}

void CallerFleet::SendNew() {
  m_requests.push_back(std::make_unique<LogicalRequest>());
  LogicalRequest& request = *m_requests.back();
  const bool mopane = m_random.Chance(0.5);
  request.m_customer = mopane ? "mopane" : "consolas";
  // Both customers use the same keys, which must not collide across customers.
  request.m_key = "key-" + std::to_string(m_requests.size() / 2);
  request.m_body = request.m_customer + " " + std::to_string(m_requests.size());
  CallerRequest& caller = request.m_request;
  caller.m_keyHash = Sha256Hex(mopane ? kMopaneKey : kConsolasKey);
  caller.m_idempotencyKey = request.m_key + "-" + std::to_string(m_requests.size());
  caller.m_body = request.m_body;
  const double kind = m_random.Uniform();
  if (kind < kTagShare) {
    caller.m_kind = "tag";
    caller.m_prompt = request.m_body;
    caller.m_mostOutputTokens = 20;
    request.m_costMicros = kTagCost;
  } else {
    caller.m_target = CallerRequest::Target::Service;
    caller.m_service = "counter";
    const bool reserve = kind < kTagShare + kReserveShare;
    caller.m_operation = reserve ? "reserve" : "check";
    request.m_idempotent = !reserve;
    request.m_costMicros = reserve ? kReserveCost : kCheckCost;
  }
  Send(request);
  if (m_random.Chance(kDuplicateSendChance)) {
    // An immediate duplicate of the request, most likely at another entry.
    Send(request);
  }
}

void CallerFleet::Send(LogicalRequest& aRequest) {
  const std::vector<std::string> entries = m_cluster.EntryNames();
  if (entries.empty()) {
    return;
  }
  --aRequest.m_sendsLeft;
  const std::string& entry = entries[m_random.Below(entries.size())];
  const std::shared_ptr<CallerAnswer> answer = m_cluster.Submit(entry, aRequest.m_request);
  aRequest.m_answers.push_back(answer);
  m_cluster.At(m_cluster.Now() + kCallerTimeout,
               [this, &aRequest, answer]() { Check(aRequest, answer); });
}

void CallerFleet::Check(LogicalRequest& aRequest, const std::shared_ptr<CallerAnswer>& aAnswer) {
  constexpr int kOk = 200;
  const bool satisfied = aAnswer->m_ended && aAnswer->m_status == kOk;
  if (!satisfied && aRequest.m_sendsLeft > 0) {
    Send(aRequest);
  }
}

} // namespace fennelline
