// Encodes the messages about limits on requests, between entries.

#include "LibRouting/MessagePack.h"
#include "LibRouting/RequestPermits.h"

namespace fennelline {

using nlohmann::json;

namespace {

/// Position of the first field of a question that earlier releases do not know.
constexpr std::size_t kColdFields = 6;
constexpr Duration kOutdatedAge = std::chrono::hours(24 * 365 * 100);

} // namespace

std::string EncodePermitQuestion(const PermitQuestion& aQuestion) {
  const PermitTerms cold = aQuestion.m_coldTerms.value_or(PermitTerms{});
  // An entry of an earlier release takes a limit of this age for outdated.
  const Duration age = aQuestion.m_perSecond ? aQuestion.m_limitAge : kOutdatedAge;
  return EncodeMessagePack(json::array(
    {aQuestion.m_number, aQuestion.m_server, aQuestion.m_urgency,
     aQuestion.m_perSecond.value_or(cold.m_perSecond), InMilliseconds(age), aQuestion.m_replyTo,
     aQuestion.m_perSecond.has_value(), cold.m_perSecond, cold.m_mostUnused}));
}

Result<PermitQuestion> DecodePermitQuestion(const std::string& aBytes) {
  return DecodeMessagePack<PermitQuestion>(aBytes, [](const json& aDocument) {
    PermitQuestion question{.m_number = aDocument.at(0).get<std::uint64_t>(),
                            .m_server = aDocument.at(1).get<std::uint64_t>(),
                            .m_urgency = aDocument.at(2).get<int>(),
                            .m_perSecond = aDocument.at(3).get<double>(),
                            .m_limitAge = Milliseconds(aDocument.at(4).get<std::int64_t>()),
                            .m_replyTo = aDocument.at(5).get<std::string>()};
    if (aDocument.size() <= kColdFields) {
      return question;
    }
    if (!aDocument.at(kColdFields).get<bool>()) {
      question.m_perSecond = std::nullopt;
    }
    const PermitTerms cold{.m_perSecond = aDocument.at(kColdFields + 1).get<double>(),
                           .m_mostUnused = aDocument.at(kColdFields + 2).get<double>()};
    if (cold.m_perSecond > 0.0) {
      question.m_coldTerms = cold;
    }
    return question;
  });
}

std::string EncodeSendReport(const SendReport& aReport) {
  return EncodeMessagePack(
    json::array({aReport.m_server, aReport.m_terms.m_perSecond, aReport.m_terms.m_mostUnused,
                 aReport.m_crowdedFrom, aReport.m_replyTo}));
}

Result<SendReport> DecodeSendReport(const std::string& aBytes) {
  return DecodeMessagePack<SendReport>(aBytes, [](const json& aDocument) {
    return SendReport{.m_server = aDocument.at(0).get<std::uint64_t>(),
                      .m_terms = {.m_perSecond = aDocument.at(1).get<double>(),
                                  .m_mostUnused = aDocument.at(2).get<double>()},
                      .m_crowdedFrom = aDocument.at(3).get<std::size_t>(),
                      .m_replyTo = aDocument.at(4).get<std::string>()};
  });
}

std::string EncodeColdNotices(const std::vector<ColdNotice>& aNotices) {
  json rows = json::array();
  for (const ColdNotice& notice : aNotices) {
    rows.push_back(json::array({notice.m_server, notice.m_isCold, InMilliseconds(notice.m_left),
                                InMilliseconds(notice.m_age)}));
  }
  return EncodeMessagePack(rows);
}

Result<std::vector<ColdNotice>> DecodeColdNotices(const std::string& aBytes) {
  return DecodeMessagePack<std::vector<ColdNotice>>(aBytes, [](const json& aRows) {
    std::vector<ColdNotice> notices;
    for (const json& row : aRows) {
      notices.push_back({.m_server = row.at(0).get<std::uint64_t>(),
                         .m_isCold = row.at(1).get<bool>(),
                         .m_left = Milliseconds(row.at(2).get<std::int64_t>()),
                         .m_age = Milliseconds(row.at(3).get<std::int64_t>())});
    }
    return notices;
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
