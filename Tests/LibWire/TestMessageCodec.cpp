#include "LibWire/MessageCodec.h"

#include "LibBase/Random.h"

#include <doctest/doctest.h>
#include <ostream>

using namespace fennelline;

namespace {

const std::string kOldSecret = "an-old-shared-secret";
const std::string kNewSecret = "a-new-shared-secret!";

Envelope SampleReply() {
  ClaimSlot slot{.m_identity = {"mopane", "key-1"},
                 .m_state = SlotState::Answered,
                 .m_bodyHash = "abcd",
                 .m_attempt = {"e1#7", 42},
                 .m_answer = {200, "application/json", "{}", "tagger@3", 120},
                 .m_retentionMilliseconds = -5};
  ClaimReply reply{.m_shard = 3,
                   .m_view = 99,
                   .m_identity = {"mopane", "key-1"},
                   .m_attempt = {"e2#8", 43},
                   .m_vote = VoteResult::Taken,
                   .m_slot = slot};
  return Envelope{.m_from = "e1#7", .m_clock = 1ULL << 63U, .m_message = reply};
}

MembershipDatagram SampleDatagram() {
  MembershipDatagram datagram;
  datagram.m_kind = DatagramKind::IndirectPing;
  datagram.m_from = "e1#7";
  datagram.m_members.push_back(
    {.m_entry = "e2#1", .m_version = 4, .m_state = MemberState::Leaving});
  datagram.m_leaving.push_back({.m_backendServer = "engine-4", .m_ageMilliseconds = 1'500});
  datagram.m_configurationRevision = 17;
  return datagram;
}

template<std::size_t Index = 0>
void CheckEachAlternative() {
  if constexpr (Index < std::variant_size_v<Message>) {
    Message message;
    message.emplace<Index>();
    const Result<Envelope> read = DecodeMessage(EncodeMessage({"e1#1", 5, message}));
    REQUIRE(read);
    CHECK(read.Get().m_message.index() == Index);
    CheckEachAlternative<Index + 1>();
  }
}

/// Changes, truncates or extends the bytes at random.
std::string Damage(std::string aBytes, Random& aRandom) {
  const std::uint64_t changes = 1 + aRandom.Below(4);
  for (std::uint64_t change = 0; change < changes && !aBytes.empty(); ++change) {
    aBytes[aRandom.Below(aBytes.size())] = static_cast<char>(aRandom.Below(256));
  }
  if (aRandom.Chance(0.3)) {
    aBytes.resize(aRandom.Below(aBytes.size() + 1));
  }
  if (aRandom.Chance(0.1)) {
    aBytes += static_cast<char>(aRandom.Below(256));
  }
  return aBytes;
}

} // namespace

TEST_CASE("each message type survives a round trip") {
  CheckEachAlternative();
}

TEST_CASE("a message keeps all its fields in a round trip") {
  const Envelope sent = SampleReply();
  const Result<Envelope> read = DecodeMessage(EncodeMessage(sent));
  REQUIRE(read);
  CHECK(read.Get().m_from == sent.m_from);
  CHECK(read.Get().m_clock == sent.m_clock);
  const ClaimReply& reply = std::get<ClaimReply>(read.Get().m_message);
  CHECK(reply.m_vote == VoteResult::Taken);
  CHECK(reply.m_slot.m_answer == StoredAnswer{200, "application/json", "{}", "tagger@3", 120});
  CHECK(reply.m_slot.m_retentionMilliseconds == -5);
  CHECK(EncodeMessage(read.Get()) == EncodeMessage(sent));
}

TEST_CASE("lists, numbers and booleans survive a round trip") {
  LoadReports reports{.m_reports = {{"engine-1", 20, 3, 4, 500, 812.5, {"tagger@3", "writer@1"}}}};
  const Result<Envelope> read = DecodeMessage(EncodeMessage({"e1#1", 0, reports}));
  REQUIRE(read);
  const LoadReport& report = std::get<LoadReports>(read.Get().m_message).m_reports.at(0);
  CHECK(report.m_tokensPerSecond == 812.5);
  CHECK(report.m_versions == std::vector<std::string>{"tagger@3", "writer@1"});
}

TEST_CASE("verdicts on crashing requests survive a round trip") {
  const CrashVerdicts verdicts{.m_verdicts = {{std::string(32, 'f'), 2, 5000, 750}}};
  const Result<Envelope> read = DecodeMessage(EncodeMessage({"e1#1", 0, verdicts}));
  REQUIRE(read);
  const CrashVerdict& verdict = std::get<CrashVerdicts>(read.Get().m_message).m_verdicts.at(0);
  CHECK(verdict.m_fingerprint == std::string(32, 'f'));
  CHECK(verdict.m_refusals == 2);
  CHECK(verdict.m_ageMilliseconds == 5000);
  CHECK(verdict.m_trialMilliseconds == 750);
}

TEST_CASE("the crashes of eight requests fit one packet") {
  constexpr std::size_t kPacketBytes = 1400;
  CrashReports reports;
  for (int request = 0; request < 8; ++request) {
    for (int crash = 0; crash < 2; ++crash) {
      reports.m_reports.push_back({std::string(32, 'f'), std::to_string(UINT64_MAX), 600'000});
    }
  }
  CHECK(EncodeMessage({"edge-midrand-a-1#18323922994189395898", 0, reports}).size() < kPacketBytes);
}

TEST_CASE("corrupted messages decode to errors or other messages and never crash") {
  Random random(20'261);
  const std::string bytes = EncodeMessage(SampleReply());
  std::size_t refused = 0;
  constexpr int kRounds = 20'000;
  for (int round = 0; round < kRounds; ++round) {
    const Result<Envelope> read = DecodeMessage(Damage(bytes, random));
    refused += read.IsError() ? 1U : 0U;
    CHECK((!read.IsError() || read.GetError().m_code == ErrorCode::InvalidMessage));
  }
  CHECK(refused > kRounds / 4);
}

TEST_CASE("random bytes are errors") {
  Random random(7);
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes(random.Below(64), '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random.Below(256));
    }
    CHECK(DecodeMessage(bytes).IsError());
  }
}

TEST_CASE("a number beyond the last enumerator is refused") {
  ClaimReply reply;
  reply.m_vote = VoteResult::Lost;
  CHECK_FALSE(DecodeMessage(EncodeMessage({"e1#1", 0, reply})).IsError());
  reply.m_vote = static_cast<VoteResult>(9);
  CHECK(DecodeMessage(EncodeMessage({"e1#1", 0, reply})).IsError());
}

TEST_CASE("an element count larger than the input is refused without allocating memory") {
  const std::string hugeArray = "\xdd\xff\xff\xff\xff";
  CHECK(DecodeMessage(hugeArray).IsError());
}

TEST_CASE("a datagram survives a round trip and its tag is valid under any known secret") {
  const std::string bytes = EncodeDatagram(SampleDatagram(), kOldSecret);
  const Result<MembershipDatagram> read = DecodeDatagram(bytes, {kNewSecret, kOldSecret});
  REQUIRE(read);
  CHECK(read.Get().m_kind == DatagramKind::IndirectPing);
  CHECK(read.Get().m_members == SampleDatagram().m_members);
  CHECK(read.Get().m_leaving.at(0).m_ageMilliseconds == 1'500);
  CHECK(read.Get().m_configurationRevision == 17);
}

TEST_CASE("a datagram with another secret or a changed byte is refused") {
  std::string bytes = EncodeDatagram(SampleDatagram(), kOldSecret);
  CHECK(DecodeDatagram(bytes, {kNewSecret}).GetError().m_code == ErrorCode::Unauthorized);
  bytes.back() = static_cast<char>(bytes.back() ^ 1);
  CHECK(DecodeDatagram(bytes, {kOldSecret}).GetError().m_code == ErrorCode::Unauthorized);
  CHECK(DecodeDatagram("short", {kOldSecret}).IsError());
}
