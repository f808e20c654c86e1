#include "LibRouting/SessionWitnesses.h"

#include "LibBase/RendezvousRank.h"
#include "LibRouting/MessagePack.h"

#include <algorithm>
#include <numeric>

namespace fennelline {

using nlohmann::json;

std::vector<std::size_t> ChooseSessionWitnesses(std::uint64_t aSession,
                                                std::span<const std::uint64_t> aLiveEntries) {
  std::vector<std::uint64_t> ranks;
  ranks.reserve(aLiveEntries.size());
  for (const std::uint64_t entry : aLiveEntries) {
    ranks.push_back(RendezvousRank(aSession, entry));
  }
  std::vector<std::size_t> positions(aLiveEntries.size());
  std::iota(positions.begin(), positions.end(), 0);
  const std::size_t count = std::min(kSessionWitnesses, positions.size());
  std::partial_sort(
    positions.begin(), positions.begin() + static_cast<std::ptrdiff_t>(count), positions.end(),
    [&ranks](std::size_t aFirst, std::size_t aSecond) { return ranks[aFirst] > ranks[aSecond]; });
  positions.resize(count);
  return positions;
}

void SessionInquiry::OnAnswer(bool aIsRunning) {
  m_isRunning = m_isRunning || aIsRunning;
  ++m_answers;
  m_unanswered -= m_unanswered > 0 ? 1 : 0;
}

std::string EncodeSessionQuestion(const SessionQuestion& aQuestion) {
  return EncodeMessagePack(
    json::array({aQuestion.m_number, aQuestion.m_session, aQuestion.m_replyTo}));
}

Result<SessionQuestion> DecodeSessionQuestion(const std::string& aBytes) {
  return DecodeMessagePack<SessionQuestion>(aBytes, [](const json& aDocument) {
    return SessionQuestion{.m_number = aDocument.at(0).get<std::uint64_t>(),
                           .m_session = aDocument.at(1).get<std::uint64_t>(),
                           .m_replyTo = aDocument.at(2).get<std::string>()};
  });
}

std::string EncodeSessionAnswer(const SessionAnswer& aAnswer) {
  return EncodeMessagePack(json::array({aAnswer.m_number, aAnswer.m_isRunning}));
}

Result<SessionAnswer> DecodeSessionAnswer(const std::string& aBytes) {
  return DecodeMessagePack<SessionAnswer>(aBytes, [](const json& aDocument) {
    return SessionAnswer{.m_number = aDocument.at(0).get<std::uint64_t>(),
                         .m_isRunning = aDocument.at(1).get<bool>()};
  });
}

} // namespace fennelline
