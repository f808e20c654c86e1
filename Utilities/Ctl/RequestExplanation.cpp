#include "Utilities/Ctl/RequestExplanation.h"

#include "LibBase/NameTable.h"
#include "LibCoordination/Observation/CrashHistory.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

namespace fennelline {

namespace {

using nlohmann::json;

/// Events this long before a request may have influenced it: a change takes up to two to three
/// seconds to reach every entry.
constexpr std::int64_t kContextWindowMs = 3000;

/// Events that can influence every request of the entry that logged them.
constexpr std::array<std::string_view, 9> kEntryStateEvents = {"dependency-lost",
                                                               "dependency-regained",
                                                               "configuration",
                                                               "rollout",
                                                               "rollout-decision",
                                                               "start",
                                                               "stop",
                                                               "history-gone",
                                                               "log-dropped"};

std::string TextOf(const json& aLine, const char* aField) {
  const auto found = aLine.find(aField);
  return found != aLine.end() && found->is_string() ? found->get<std::string>() : std::string();
}

double NumberOf(const json& aLine, const char* aField) {
  const auto found = aLine.find(aField);
  return found != aLine.end() && found->is_number() ? found->get<double>() : 0.0;
}

std::int64_t TimeOf(const json& aLine) {
  return static_cast<std::int64_t>(NumberOf(aLine, "at"));
}

std::string RoundedMs(double aMs) {
  return std::to_string(static_cast<std::int64_t>(aMs)) + " ms";
}

/// The data from the request's own log lines that determines the cause.
struct RequestFacts {
  json m_end;
  json m_refusal;
  json m_lastAttemptEnd;
  std::set<std::string> m_nodes;
  std::set<std::string> m_servers;
  double m_longestPrefillMs = 0.0;
  /// Identifies its content, or the part of its prompt for which it was refused; empty if no line
  /// has them.
  std::string m_content;
  bool m_isCrashing = false;
  /// The process ended before the answer.
  bool m_isGivenUp = false;
  int m_stalls = 0;
  int m_escalations = 0;
};

RequestFacts CollectFacts(const std::vector<json>& aOwn) {
  RequestFacts facts;
  for (const json& line : aOwn) {
    const std::string event = TextOf(line, "event");
    facts.m_nodes.insert(TextOf(line, "node"));
    if (!TextOf(line, "backend").empty()) {
      facts.m_servers.insert(TextOf(line, "backend"));
    }
    facts.m_end = event == "request" ? line : facts.m_end;
    facts.m_refusal = event == "refused" || event == "rejected" ? line : facts.m_refusal;
    facts.m_lastAttemptEnd = event == "attempt-end" ? line : facts.m_lastAttemptEnd;
    facts.m_content = TextOf(line, "content").empty() ? facts.m_content : TextOf(line, "content");
    facts.m_isCrashing = facts.m_isCrashing || event == "content-not-run";
    facts.m_isGivenUp = facts.m_isGivenUp || event == "given-up";
    facts.m_stalls += event == "stalled" ? 1 : 0;
    facts.m_escalations += event == "escalate" ? 1 : 0;
    if (event == "attempt") {
      facts.m_longestPrefillMs = std::max(facts.m_longestPrefillMs, NumberOf(line, "reading"));
    }
  }
  return facts;
}

RequestEndCause CauseOfRefusal(const RequestFacts& aFacts) {
  const std::string reason = TextOf(aFacts.m_refusal, "reason");
  if (reason == "stopping") {
    return RequestEndCause::Stopping;
  }
  if (reason == "no configuration is known yet") {
    return RequestEndCause::NoConfiguration;
  }
  return NumberOf(aFacts.m_end, "sends") > 0 ? RequestEndCause::RejectedByServers
                                             : RequestEndCause::NoServer;
}

RequestEndCause CauseOfFailure(const RequestFacts& aFacts) {
  if (aFacts.m_isGivenUp) {
    return RequestEndCause::Stopping;
  }
  const std::string outcome = TextOf(aFacts.m_lastAttemptEnd, "outcome");
  if (outcome == "spoilt") {
    return RequestEndCause::MalformedAnswer;
  }
  return NumberOf(aFacts.m_lastAttemptEnd, "time-left") <= 0.0 ? RequestEndCause::DeadlineExceeded
                                                               : RequestEndCause::ConnectionLost;
}

RequestEndCause CauseOf(const RequestFacts& aFacts) {
  const std::string end = TextOf(aFacts.m_end, "end");
  if (end.empty()) {
    return RequestEndCause::NoEndLogged;
  }
  if (end == "answered") {
    return RequestEndCause::Answered;
  }
  if (end == "rejected") {
    return RequestEndCause::Rejected;
  }
  if (aFacts.m_isCrashing && end != "caller-left") {
    return RequestEndCause::CrashingContent;
  }
  if (end == "refused") {
    return CauseOfRefusal(aFacts);
  }
  if (end == "caller-left") {
    return RequestEndCause::CallerLeft;
  }
  return end == "server-failure" ? RequestEndCause::ServerFailure : CauseOfFailure(aFacts);
}

std::string Summarize(const RequestFacts& aFacts, RequestEndCause aCause) {
  std::string text(NameOf(aCause));
  if (aCause == RequestEndCause::NoEndLogged) {
    return text + ": last logged by " + *aFacts.m_nodes.begin();
  }
  const std::string reason = TextOf(aFacts.m_refusal, "reason");
  text += reason.empty() ? "" : ": " + reason;
  const std::string server = TextOf(aFacts.m_lastAttemptEnd, "backend");
  text += server.empty() ? ""
                         : "; last failed at " + server + " after " +
                             RoundedMs(NumberOf(aFacts.m_lastAttemptEnd, "took"));
  text += "; ended after " + RoundedMs(NumberOf(aFacts.m_end, "took"));
  if (aFacts.m_end.contains("first-byte")) {
    text += ", first byte after " + RoundedMs(NumberOf(aFacts.m_end, "first-byte")) +
            ", longest pause " + RoundedMs(NumberOf(aFacts.m_end, "longest-pause"));
  }
  text += "; predicted prompt processing time up to " + RoundedMs(aFacts.m_longestPrefillMs);
  text += aFacts.m_escalations > 0 ? "; escalated to a larger model" : "";
  text += aFacts.m_stalls > 0 ? "; " + std::to_string(aFacts.m_stalls) + " stalled servers" : "";
  return text;
}

/// Whether the line is about a crash under this cause: a content, or a part of prompts.
bool IsAboutCause(const json& aLine, const std::string& aCause) {
  if (aCause.empty()) {
    return false;
  }
  const std::string part = aCause.substr(0, aCause.find(kAccountMark));
  const std::string parts = "," + TextOf(aLine, "parts") + ",";
  return TextOf(aLine, "content") == aCause || parts.find("," + part + ",") != std::string::npos;
}

bool IsRelevant(const json& aLine, const RequestFacts& aFacts, std::int64_t aFrom,
                std::int64_t aTo) {
  // Other requests with the same cause may have crashed servers long before, at any entry.
  if (IsAboutCause(aLine, aFacts.m_content)) {
    return true;
  }
  const std::int64_t at = TimeOf(aLine);
  if (at < aFrom - kContextWindowMs || at > aTo ||
      !aFacts.m_nodes.contains(TextOf(aLine, "node"))) {
    return false;
  }
  const std::string event = TextOf(aLine, "event");
  const bool isOfServer = event == "backend" && aFacts.m_servers.contains(TextOf(aLine, "backend"));
  return isOfServer || std::find(kEntryStateEvents.begin(), kEntryStateEvents.end(), event) !=
                         kEntryStateEvents.end();
}

} // namespace

std::string_view NameOf(RequestEndCause aCause) {
  static constexpr NameTable<RequestEndCause, 13> kNames = {{
    {RequestEndCause::Answered, "answered"},
    {RequestEndCause::Rejected, "rejected by the entry"},
    {RequestEndCause::NoConfiguration, "no configuration was known"},
    {RequestEndCause::Stopping, "the entry was stopping"},
    {RequestEndCause::NoServer, "no server could be used"},
    {RequestEndCause::RejectedByServers, "servers turned it away"},
    {RequestEndCause::CrashingContent, "its content crashes servers"},
    {RequestEndCause::ConnectionLost, "a server's connection broke"},
    {RequestEndCause::MalformedAnswer, "a server's answer was spoilt"},
    {RequestEndCause::ServerFailure, "a server failed it"},
    {RequestEndCause::DeadlineExceeded, "its time was over"},
    {RequestEndCause::CallerLeft, "the caller left"},
    {RequestEndCause::NoEndLogged, "no end was logged"},
  }};
  return NameOf(kNames, aCause);
}

Result<RequestExplanation> ExplainRequest(std::istream& aLogs, const std::string& aRequest) {
  std::vector<json> own;
  std::vector<json> others;
  std::string text;
  while (std::getline(aLogs, text)) {
    const std::size_t start = text.find('{');
    json line = start == std::string::npos
                  ? json()
                  : json::parse(text.begin() + static_cast<std::ptrdiff_t>(start), text.end(),
                                nullptr, false);
    if (line.is_object()) {
      const bool isOwn = TextOf(line, "id") == aRequest;
      (isOwn ? own : others).push_back(std::move(line));
    }
  }
  if (own.empty()) {
    return MakeError(ErrorCode::NotFound, "no log line has the request id " + aRequest);
  }
  const RequestFacts facts = CollectFacts(own);
  RequestExplanation explanation;
  explanation.m_cause = CauseOf(facts);
  explanation.m_summary = Summarize(facts, explanation.m_cause);
  std::int64_t from = TimeOf(own.front());
  std::int64_t until = from;
  for (const json& line : own) {
    from = std::min(from, TimeOf(line));
    until = std::max(until, TimeOf(line));
    explanation.m_lines.push_back({.m_at = TimeOf(line), .m_isOwn = true, .m_text = line.dump()});
  }
  for (const json& line : others) {
    if (IsRelevant(line, facts, from, until)) {
      explanation.m_lines.push_back(
        {.m_at = TimeOf(line), .m_isOwn = false, .m_text = line.dump()});
    }
  }
  std::stable_sort(explanation.m_lines.begin(), explanation.m_lines.end(),
                   [](const ExplanationLine& aOne, const ExplanationLine& aOther) {
                     return aOne.m_at < aOther.m_at;
                   });
  return explanation;
}

std::string RenderExplanation(const RequestExplanation& aExplanation) {
  std::string text = aExplanation.m_summary + "\n";
  for (const ExplanationLine& line : aExplanation.m_lines) {
    text += (line.m_isOwn ? "  " : "  (also) ") + line.m_text + "\n";
  }
  return text;
}

} // namespace fennelline
