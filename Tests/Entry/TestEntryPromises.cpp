#include "Tests/Entry/CallerFleet.h"

#include "LibBase/Sha256.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace fennelline;

namespace {

constexpr int kOk = 200;
constexpr Duration kConfigurationSpreadTime = Seconds(3);

void SetUp(FakeCluster& aCluster, const Configuration& aConfiguration = FleetConfiguration()) {
  aCluster.SetConfiguration(aConfiguration);
  for (const std::string number : {"1", "2", "3"}) {
    aCluster.AddEntry("entry-" + number, "dc-" + number);
    aCluster.AddModel("engine-" + number, "dc-" + number, {"small@1", "small@2"});
    aCluster.AddService("service-" + number, "dc-" + number, "counter");
  }
  aCluster.RunFor(Seconds(8));
}

CallerRequest Tag(const std::string& aBody, const std::string& aSession) {
  CallerRequest request;
  request.m_keyHash = Sha256Hex(kMopaneKey);
  request.m_kind = "tag";
  request.m_body = aBody;
  request.m_prompt = aBody;
  request.m_session = aSession;
  request.m_mostOutputTokens = 20;
  return request;
}

CallerRequest Reserve(const std::string& aBody, const std::string& aKey) {
  CallerRequest request;
  request.m_keyHash = Sha256Hex(kMopaneKey);
  request.m_target = CallerRequest::Target::Service;
  request.m_service = "counter";
  request.m_operation = "reserve";
  request.m_idempotencyKey = aKey;
  request.m_body = aBody;
  return request;
}

std::shared_ptr<CallerAnswer> Await(FakeCluster& aCluster, const std::string& aEntry,
                                    const CallerRequest& aRequest) {
  const std::shared_ptr<CallerAnswer> answer = aCluster.Submit(aEntry, aRequest);
  REQUIRE(aCluster.RunUntil([&answer]() { return answer->m_ended; }, Seconds(10)));
  return answer;
}

std::string CodeOf(const CallerAnswer& aAnswer) {
  return nlohmann::json::parse(aAnswer.m_body).value("code", "");
}

std::size_t CountRuns(const FakeCluster& aCluster, const std::string& aBody) {
  return static_cast<std::size_t>(
    std::count_if(aCluster.Runs().begin(), aCluster.Runs().end(),
                  [&aBody](const BackendRun& aRun) { return aRun.m_body == aBody; }));
}

void SetVersionState(FakeCluster& aCluster, const std::string& aVersion, VersionState aState) {
  Configuration configuration = FleetConfiguration();
  for (ModelVersion& version : configuration.m_versions) {
    version.m_state = version.m_name == aVersion ? aState : version.m_state;
  }
  aCluster.SetConfiguration(configuration);
}

/// Sends a request that crashes servers through each entry.
void CheckCrashingRequestIsStopped(const ClusterFaults& aFaults) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    FakeCluster cluster(seed, aFaults);
    SetUp(cluster);
    cluster.AddModel("engine-4", "dc-1", {"small@1", "small@2"});
    cluster.AddModel("engine-5", "dc-2", {"small@1", "small@2"});
    cluster.RunFor(Seconds(2));
    const std::string poison = std::string("please ") + kCrashMarker;
    for (const std::string& entry : cluster.EntryNames()) {
      const std::shared_ptr<CallerAnswer> answer = Await(cluster, entry, Tag(poison, ""));
      CHECK(answer->m_status != kOk);
    }
    CHECK(CountRuns(cluster, poison) <= 2);
  }
}

} // namespace

TEST_CASE("racing first requests of a session end on one version, and it stays there") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    FakeCluster cluster(seed);
    SetUp(cluster);
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    for (const std::string& entry : cluster.EntryNames()) {
      answers.push_back(cluster.Submit(entry, Tag("racing", "a-session")));
    }
    cluster.RunFor(Seconds(4));
    const std::string version = answers.front()->m_headers["Fennelline-Version"];
    const std::string token = answers.front()->m_headers["Fennelline-Session"];
    for (const std::shared_ptr<CallerAnswer>& answer : answers) {
      REQUIRE(answer->m_status == kOk);
      CHECK(answer->m_headers["Fennelline-Version"] == version);
    }
    for (int turn = 0; turn < 5; ++turn) {
      for (const std::string& entry : cluster.EntryNames()) {
        const std::shared_ptr<CallerAnswer> answer = Await(cluster, entry, Tag("turn", token));
        CHECK(answer->m_headers["Fennelline-Version"] == version);
      }
    }
  }
}

TEST_CASE("a draining version serves only its existing sessions, a revoked one serves nothing") {
  FakeCluster cluster(3);
  SetUp(cluster);
  const std::shared_ptr<CallerAnswer> first = Await(cluster, "entry-1", Tag("first", "s"));
  const std::string version = first->m_headers["Fennelline-Version"];
  const std::string token = first->m_headers["Fennelline-Session"];
  SetVersionState(cluster, version, VersionState::Draining);
  cluster.RunFor(kConfigurationSpreadTime);
  for (const std::string& entry : cluster.EntryNames()) {
    CHECK(Await(cluster, entry, Tag("more", token))->m_headers["Fennelline-Version"] == version);
    CHECK(Await(cluster, entry, Tag("new", ""))->m_headers["Fennelline-Version"] != version);
  }
  SetVersionState(cluster, version, VersionState::Revoked);
  cluster.RunFor(kConfigurationSpreadTime);
  const std::size_t before = cluster.Runs().size();
  for (const std::string& entry : cluster.EntryNames()) {
    const std::shared_ptr<CallerAnswer> refused = Await(cluster, entry, Tag("after", token));
    CHECK(CodeOf(*refused) == "version-revoked");
  }
  CHECK(cluster.Runs().size() == before);
}

TEST_CASE("a leaving backend server gets nothing new from any entry after 3 s") {
  FakeCluster cluster(4);
  SetUp(cluster);
  CallerFleet fleet(cluster, 5);
  fleet.SendUntil(cluster.Now() + Seconds(20), Milliseconds(10));
  cluster.RunFor(Seconds(5));
  cluster.SetLeaving("service-1");
  const Time limit = cluster.Now() + Seconds(3);
  cluster.RunFor(Seconds(30));
  std::size_t before = 0;
  for (const BackendRun& run : cluster.Runs()) {
    if (run.m_server == "service-1") {
      ++before;
      CHECK(run.m_at < limit);
    }
  }
  CHECK(before > 0);
}

TEST_CASE("a request that crashes backend servers is stopped after two, whatever key or entry") {
  CheckCrashingRequestIsStopped({});
}

TEST_CASE("a request that crashes servers is stopped after two if the first check gets no reply") {
  CheckCrashingRequestIsStopped({.m_lostCheck = 1.0});
}

TEST_CASE(
  "a graceful stop answers requests in flight and from old entry lists, and settles all usage") {
  FakeCluster cluster(6);
  SetUp(cluster);
  const std::shared_ptr<CallerAnswer> open = cluster.Submit("entry-1", Reserve("in flight", "k-1"));
  cluster.RunFor(Milliseconds(5));
  cluster.Stop("entry-1");
  cluster.RunFor(Milliseconds(500));
  const std::vector<MemberDigest> listed = cluster.Of("entry-2").EntriesForCallers();
  CHECK(std::none_of(listed.begin(), listed.end(), [](const MemberDigest& aMember) {
    return aMember.m_entry.starts_with("entry-1#");
  }));
  // A caller with an outdated entry list is still served.
  CHECK(Await(cluster, "entry-1", Reserve("old list", "k-2"))->m_status == kOk);
  cluster.RunFor(Seconds(60));
  CHECK(open->m_status == kOk);
  REQUIRE(cluster.Stopped("entry-1").has_value());
  CHECK(*cluster.Stopped("entry-1"));
  CHECK(cluster.Bills()["mopane"].m_micros == 2 * kReserveCost);
}

TEST_CASE("the same key conflicts with another body and replays the answer for the same body") {
  FakeCluster cluster(7);
  SetUp(cluster);
  const std::shared_ptr<CallerAnswer> first = Await(cluster, "entry-1", Reserve("one", "key"));
  const std::shared_ptr<CallerAnswer> again = Await(cluster, "entry-2", Reserve("one", "key"));
  const std::shared_ptr<CallerAnswer> other = Await(cluster, "entry-3", Reserve("two", "key"));
  CHECK(first->m_status == kOk);
  CHECK(again->m_body == first->m_body);
  CHECK(CodeOf(*other) == "key-reused");
  CHECK(CountRuns(cluster, "one") == 1);
  CHECK(CountRuns(cluster, "two") == 0);
}

TEST_CASE("requests that the contract or its budget does not cover do not run") {
  FakeCluster cluster(8);
  Configuration poor = FleetConfiguration();
  poor.m_contracts[0].m_spendLimitMicros = kReserveCost / 2;
  SetUp(cluster, poor);
  CallerRequest badKey = Tag("bad key", "");
  badKey.m_keyHash = Sha256Hex("nobody's key");
  CHECK(CodeOf(*Await(cluster, "entry-1", badKey)) == "bad-key");
  CallerRequest otherModel = Tag("other model", "");
  otherModel.m_model = "large";
  CHECK(CodeOf(*Await(cluster, "entry-1", otherModel)) == "version-not-allowed");
  CHECK(CodeOf(*Await(cluster, "entry-1", Reserve("too dear", "k"))) == "spend-limit");
  CHECK(cluster.Runs().empty());
}
