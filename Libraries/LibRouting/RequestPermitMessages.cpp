// Encodes the messages about limits on requests, between entries.

#include "LibRouting/MessagePack.h"
#include "LibRouting/RequestPermits.h"

namespace fennelline {

using nlohmann::json;

std::string EncodePermitQuestion(const PermitQuestion& aQuestion) {
  return EncodeMessagePack(
    json::array({aQuestion.m_number, aQuestion.m_server, aQuestion.m_urgency, aQuestion.m_perSecond,
                 InMilliseconds(aQuestion.m_limitAge), aQuestion.m_replyTo}));
}

Result<PermitQuestion> DecodePermitQuestion(const std::string& aBytes) {
  return DecodeMessagePack<PermitQuestion>(aBytes, [](const json& aDocument) {
    return PermitQuestion{.m_number = aDocument.at(0).get<std::uint64_t>(),
                          .m_server = aDocument.at(1).get<std::uint64_t>(),
                          .m_urgency = aDocument.at(2).get<int>(),
                          .m_perSecond = aDocument.at(3).get<double>(),
                          .m_limitAge = Milliseconds(aDocument.at(4).get<std::int64_t>()),
                          .m_replyTo = aDocument.at(5).get<std::string>()};
  });
}

std::string EncodePermitAnswer(const PermitAnswer& aAnswer) {
  const PermitDecision& decision = aAnswer.m_decision;
  return EncodeMessagePack(
    json::array({aAnswer.m_number, decision.m_isGranted, InMilliseconds(decision.m_nextPermit),
                 InMilliseconds(decision.m_likelyWait)}));
}

Result<PermitAnswer> DecodePermitAnswer(const std::string& aBytes) {
  return DecodeMessagePack<PermitAnswer>(aBytes, [](const json& aDocument) {
    return PermitAnswer{
      .m_number = aDocument.at(0).get<std::uint64_t>(),
      .m_decision = {.m_isGranted = aDocument.at(1).get<bool>(),
                     .m_nextPermit = Milliseconds(aDocument.at(2).get<std::int64_t>()),
                     .m_likelyWait = Milliseconds(aDocument.at(3).get<std::int64_t>())}};
  });
}

std::string EncodeLimitNotices(const std::vector<LimitNotice>& aNotices) {
  json rows = json::array();
  for (const LimitNotice& notice : aNotices) {
    rows.push_back(json::array({notice.m_server, notice.m_perSecond.has_value(),
                                notice.m_perSecond.value_or(0.0), InMilliseconds(notice.m_age)}));
  }
  return EncodeMessagePack(rows);
}

Result<std::vector<LimitNotice>> DecodeLimitNotices(const std::string& aBytes) {
  return DecodeMessagePack<std::vector<LimitNotice>>(aBytes, [](const json& aRows) {
    std::vector<LimitNotice> notices;
    for (const json& row : aRows) {
      const bool isLimited = row.at(1).get<bool>();
      const double perSecond = row.at(2).get<double>();
      notices.push_back({.m_server = row.at(0).get<std::uint64_t>(),
                         .m_perSecond = isLimited ? std::optional<double>(perSecond) : std::nullopt,
                         .m_age = Milliseconds(row.at(3).get<std::int64_t>())});
    }
    return notices;
  });
}

} // namespace fennelline
