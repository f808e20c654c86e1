#include "Utilities/Ctl/RequestExplanation.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace fennelline;

namespace {

constexpr const char* kAttempt =
  R"({"at":1000,"node":"a","event":"attempt","id":"r1","backend":"i-1","service":"pool","number":1,"reading":40.0})"
  "\n";

std::string AttemptEnd(const std::string& aOutcome, const std::string& aNext, double aTimeLeft) {
  return R"({"at":1400,"node":"a","event":"attempt-end","id":"r1","backend":"i-1","outcome":")" +
         aOutcome + R"(","next":")" + aNext + R"(","took":400.0,"time-left":)" +
         std::to_string(aTimeLeft) + "}\n";
}

std::string End(const std::string& aEnd, int aSends) {
  return R"({"at":1500,"node":"a","event":"request","id":"r1","end":")" + aEnd +
         R"(","status":0,"sends":)" + std::to_string(aSends) + R"(,"took":500.0})" + "\n";
}

std::string Refused(const std::string& aReason) {
  return R"({"at":1500,"node":"a","event":"refused","id":"r1","reason":")" + aReason +
         R"(","retry-after":300.0})" + "\n";
}

RequestExplanation ExplanationOf(const std::string& aLogs) {
  std::istringstream logs(aLogs);
  Result<RequestExplanation> explanation = ExplainRequest(logs, "r1");
  REQUIRE(!explanation.IsError());
  return explanation.Take();
}

RequestEndCause CauseOf(const std::string& aLogs) {
  return ExplanationOf(aLogs).m_cause;
}

} // namespace

TEST_CASE("each of the thirteen causes is determined from the log lines of a request") {
  const std::string attempt = kAttempt;
  CHECK(CauseOf(attempt + End("answered", 0)) == RequestEndCause::Answered);
  CHECK(CauseOf(R"({"at":1,"node":"a","event":"rejected","id":"r1","reason":"no such key"})"
                "\n" +
                End("rejected", 0)) == RequestEndCause::Rejected);
  CHECK(CauseOf(Refused("no configuration is known yet") + End("refused", 0)) ==
        RequestEndCause::NoConfiguration);
  CHECK(CauseOf(Refused("stopping") + End("refused", 0)) == RequestEndCause::Stopping);
  const std::string givenUp = R"({"at":1400,"node":"a","event":"given-up","id":"r1"})"
                              "\n";
  for (const char* end : {"failed", "cut"}) {
    CHECK(CauseOf(attempt + givenUp + End(end, 1)) == RequestEndCause::Stopping);
  }
  CHECK(CauseOf(Refused("no backend server can take it") + End("refused", 0)) ==
        RequestEndCause::NoServer);
  CHECK(CauseOf(attempt + AttemptEnd("not-run", "refuse", 900.0) +
                Refused("no backend server can take it") + End("refused", 1)) ==
        RequestEndCause::RejectedByServers);
  const std::string notRun =
    R"({"at":1400,"node":"a","event":"content-not-run","id":"r1","content":"f00d"})"
    "\n";
  for (const char* end : {"refused", "failed", "cut"}) {
    CHECK(CauseOf(notRun + End(end, 0)) == RequestEndCause::CrashingContent);
  }
  CHECK(CauseOf(attempt + AttemptEnd("lost", "cut", 900.0) + End("cut", 1)) ==
        RequestEndCause::ConnectionLost);
  CHECK(CauseOf(attempt + AttemptEnd("spoilt", "fail", 900.0) + End("failed", 1)) ==
        RequestEndCause::MalformedAnswer);
  CHECK(CauseOf(attempt + AttemptEnd("failed", "pass-on", 900.0) + End("server-failure", 1)) ==
        RequestEndCause::ServerFailure);
  CHECK(CauseOf(attempt + AttemptEnd("lost", "fail", -1.0) + End("failed", 1)) ==
        RequestEndCause::DeadlineExceeded);
  CHECK(CauseOf(attempt + End("caller-left", 1)) == RequestEndCause::CallerLeft);
  CHECK(CauseOf(attempt) == RequestEndCause::NoEndLogged);
}

TEST_CASE("the explanation of a crashing content contains earlier crashes at other entries") {
  const std::string crash =
    R"({"at":1,"node":"b","event":"server-crashed","backend":"i-9","content":"f00d"})"
    "\n";
  const std::string other =
    R"({"at":2,"node":"b","event":"server-crashed","backend":"i-8","content":"beef"})"
    "\n";
  const std::string notRun =
    R"({"at":9000,"node":"a","event":"content-not-run","id":"r1","content":"f00d"})"
    "\n";
  const RequestExplanation explanation = ExplanationOf(crash + other + notRun + End("refused", 0));
  REQUIRE(explanation.m_lines.size() == 3);
  CHECK(explanation.m_lines.front().m_text.find("i-9") != std::string::npos);
}

TEST_CASE(
  "the explanation of a crashing prompt part contains the crashes of other contents with it") {
  const std::string suspect =
    R"({"at":1,"node":"b","event":"crash-suspect","id":"r8","backend":"i-9","content":"beef","parts":"part-a1,part-b2"})"
    "\n";
  const std::string other =
    R"({"at":2,"node":"b","event":"crash-suspect","id":"r9","backend":"i-8","content":"cafe","parts":"part-a1"})"
    "\n";
  const std::string notRun =
    R"({"at":9000,"node":"a","event":"content-not-run","id":"r1","content":"part-b2@0a96"})"
    "\n";
  const RequestExplanation explanation =
    ExplanationOf(suspect + other + notRun + End("refused", 0));
  REQUIRE(explanation.m_lines.size() == 3);
  CHECK(explanation.m_lines.front().m_text.find("i-9") != std::string::npos);
}

TEST_CASE("an explanation contains related entry and server events in chronological order") {
  const std::string logs =
    std::string("text that is no log line\n") + End("answered", 0) + kAttempt +
    R"({"at":900,"node":"a","event":"backend","backend":"i-1","state":"ready"})"
    "\n"
    R"({"at":900,"node":"a","event":"backend","backend":"i-2","state":"gone"})"
    "\n"
    R"({"at":900,"node":"b","event":"dependency-lost","dependency":"store"})"
    "\n"
    R"(  12.3 a {"at":950,"node":"a","event":"configuration","version":7})"
    "\n"
    R"({"at":980,"node":"a","event":"attempt","id":"r2","backend":"i-1"})"
    "\n";
  const RequestExplanation explanation = ExplanationOf(logs);
  REQUIRE(explanation.m_lines.size() == 4);
  CHECK(!explanation.m_lines[0].m_isOwn);
  CHECK(explanation.m_lines[0].m_text.find("i-1") != std::string::npos);
  CHECK(explanation.m_lines[1].m_text.find("configuration") != std::string::npos);
  CHECK(explanation.m_lines[2].m_isOwn);
  CHECK(explanation.m_lines[3].m_at == 1500);
  CHECK(RenderExplanation(explanation).find("answered") == 0);
}

TEST_CASE("an unknown request id is an error that contains the id") {
  std::istringstream logs(kAttempt);
  const Result<RequestExplanation> explanation = ExplainRequest(logs, "r9");
  REQUIRE(explanation.IsError());
  CHECK(explanation.GetError().m_detail.find("r9") != std::string::npos);
}
