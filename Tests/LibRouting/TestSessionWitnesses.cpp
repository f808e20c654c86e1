#include "LibBase/Random.h"
#include "LibRouting/RecentSessions.h"
#include "LibRouting/SessionWitnesses.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace fennelline;

namespace {

constexpr Duration kSessionTime = Seconds(8);

/// Entries that tell the witnesses of a session about it, and ask them. Datagrams get lost.
class Fleet {
public:
  Fleet(std::size_t aEntries, std::uint64_t aSeed)
    : m_random(aSeed)
    , m_sessions(aEntries) {
    for (std::size_t index = 0; index < aEntries; ++index) {
      m_live.push_back(m_random.Next());
    }
  }

  void Announce(std::size_t aEntry, std::uint64_t aSession, Time aNow) {
    m_sessions[aEntry].OnServed(aSession, aNow);
    for (const std::size_t witness : ChooseSessionWitnesses(aSession, m_live)) {
      if (IsDelivered()) {
        m_sessions[witness].OnServed(aSession, aNow);
      }
      ++m_messages;
    }
  }
  bool Stays(std::size_t aEntry, std::uint64_t aSession, Time aNow) {
    if (m_sessions[aEntry].IsRunning(aSession, kSessionTime, aNow)) {
      return true;
    }
    const std::vector<std::size_t> witnesses = ChooseSessionWitnesses(aSession, m_live);
    SessionInquiry inquiry(witnesses.size());
    for (const std::size_t witness : witnesses) {
      m_messages += 2;
      if (IsDelivered() && IsDelivered()) {
        inquiry.OnAnswer(m_sessions[witness].IsRunning(aSession, kSessionTime, aNow));
      }
    }
    return inquiry.StaysOnOldVersion();
  }
  /// The entry is replaced by another one, which knows nothing.
  void Replace(std::size_t aEntry) {
    m_live[aEntry] = m_random.Next();
    m_sessions[aEntry] = {};
  }
  std::size_t AnyEntry() { return m_random.Below(m_live.size()); }
  std::uint64_t NewSession() { return m_random.Next(); }
  std::size_t CountMessages() const { return m_messages; }

private:
  bool IsDelivered() {
    constexpr double kLoss = 0.025;
    return !m_random.Chance(kLoss);
  }

  Random m_random;
  std::vector<std::uint64_t> m_live;
  std::vector<RecentSessions> m_sessions;
  std::size_t m_messages = 0;
};

} // namespace

TEST_CASE("a session keeps its version at any entry, with as many messages in any fleet") {
  constexpr std::size_t kCount = 4000;
  // The platform allows three in a day.
  constexpr std::size_t kAllowed = 3;
  for (const std::size_t entries : {3U, 9U, 66U, 295U, 460U}) {
    CAPTURE(entries);
    Fleet fleet(entries, entries);
    std::size_t moved = 0;
    std::size_t heldBack = 0;
    for (std::size_t number = 0; number < kCount; ++number) {
      const Time now = Time{} + Milliseconds(static_cast<std::int64_t>(number));
      const std::uint64_t old = fleet.NewSession();
      fleet.Announce(fleet.AnyEntry(), old, now);
      if (number % 100 == 0) {
        fleet.Replace(fleet.AnyEntry());
      }
      moved += fleet.Stays(fleet.AnyEntry(), old, now + Seconds(7)) ? 0 : 1;
      heldBack += fleet.Stays(fleet.AnyEntry(), fleet.NewSession(), now) ? 1 : 0;
    }
    CHECK(moved <= kAllowed);
    CHECK(heldBack <= kAllowed);
    CHECK(fleet.CountMessages() <= kCount * 5 * kSessionWitnesses);
  }
}

TEST_CASE("entries that differ by a few members choose mostly the same witnesses") {
  constexpr std::size_t kEntries = 295;
  constexpr std::size_t kMissing = 15;
  Random random(1);
  std::vector<std::uint64_t> all;
  for (std::size_t index = 0; index < kEntries; ++index) {
    all.push_back(random.Next());
  }
  const std::vector<std::uint64_t> known(all.begin(), all.end() - kMissing);
  for (int number = 0; number < 1000; ++number) {
    const std::uint64_t session = random.Next();
    const std::vector<std::size_t> told = ChooseSessionWitnesses(session, known);
    const std::vector<std::size_t> asked = ChooseSessionWitnesses(session, all);
    const std::ptrdiff_t lost =
      std::count_if(asked.begin(), asked.end(), [&](std::size_t aPosition) {
        return std::find(told.begin(), told.end(), aPosition) == told.end();
      });
    const std::ptrdiff_t missing = std::count_if(
      asked.begin(), asked.end(), [&](std::size_t aPosition) { return aPosition >= known.size(); });
    CHECK(lost == missing);
  }
}

TEST_CASE("a session stays if any witness knows it, or none answers") {
  SessionInquiry inquiry(3);
  CHECK(inquiry.StaysOnOldVersion());
  inquiry.OnAnswer(false);
  CHECK(!inquiry.IsDecided());
  CHECK(!inquiry.StaysOnOldVersion());
  SUBCASE("one knows it") {
    inquiry.OnAnswer(true);
    CHECK(inquiry.IsDecided());
    CHECK(inquiry.StaysOnOldVersion());
  }
  SUBCASE("no one knows it") {
    inquiry.OnAnswer(false);
    inquiry.OnAnswer(false);
    CHECK(inquiry.IsDecided());
    CHECK(!inquiry.StaysOnOldVersion());
  }
}

TEST_CASE("questions and answers about sessions survive encoding, and other bytes are refused") {
  const SessionQuestion question{.m_number = 7, .m_session = ~0ULL, .m_replyTo = "10.0.0.1:7000"};
  const Result<SessionQuestion> asked = DecodeSessionQuestion(EncodeSessionQuestion(question));
  REQUIRE(!asked.IsError());
  CHECK(asked.Get().m_session == question.m_session);
  CHECK(asked.Get().m_replyTo == question.m_replyTo);
  const Result<SessionAnswer> answer =
    DecodeSessionAnswer(EncodeSessionAnswer({.m_number = 7, .m_isRunning = true}));
  REQUIRE(!answer.IsError());
  CHECK(answer.Get().m_number == 7);
  CHECK(answer.Get().m_isRunning);
  CHECK(DecodeSessionQuestion("x").IsError());
  CHECK(DecodeSessionAnswer("").IsError());
}
