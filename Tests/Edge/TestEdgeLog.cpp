#include "Services/Edge/EdgeLog.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <string>
#include <unistd.h>
#include <vector>

using namespace fennelline;
using nlohmann::json;

namespace {

/// A pipe that is read only by Lines(), so that a slow reader can be simulated.
struct Pipe {
  Pipe() {
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    m_read = ends[0];
    m_write = ends[1];
    fcntl(m_read, F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    ::close(m_read);
    ::close(m_write);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  std::vector<json> Lines() {
    std::string text;
    std::string part(64UL * 1024, '\0');
    for (ssize_t count = ::read(m_read, part.data(), part.size()); count > 0;
         count = ::read(m_read, part.data(), part.size())) {
      text.append(part, 0, static_cast<std::size_t>(count));
    }
    std::vector<json> lines;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n')) {
      lines.push_back(json::parse(text.substr(0, end)));
      text.erase(0, end + 1);
    }
    return lines;
  }

  int m_read = -1;
  int m_write = -1;
};

const Time kNow{Seconds(1000)};

} // namespace

TEST_CASE("a line is one valid JSON object, whatever bytes its fields contain") {
  Pipe pipe;
  EdgeLog log(pipe.m_write, "edge-1");
  LogLine line("request");
  line.Text("id", "a\"b\\c\n\xff").Count("status", 503).Flag("ready", false).Ms("took", Seconds(1));
  log.Write(LogPriority::Notable, line, kNow);
  log.Flush();
  const std::vector<json> lines = pipe.Lines();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["event"] == "request");
  CHECK(lines[0]["node"] == "edge-1");
  CHECK(lines[0]["status"] == 503);
  CHECK(lines[0]["took"] == 1000.0);
  CHECK(lines[0]["at"] == 1'000'000);
}

TEST_CASE("routine lines over budget are dropped and counted, notable lines are still written") {
  Pipe pipe;
  EdgeLog log(pipe.m_write, "edge-1");
  std::vector<json> lines;
  for (int request = 0; request < 20'000; ++request) {
    LogLine line("attempt");
    line.Text("id", "0123456789abcdef").Count("number", request);
    log.Write(LogPriority::Routine, line, kNow);
    if (request % 100 == 0) {
      log.Flush();
      for (json& read : pipe.Lines()) {
        lines.push_back(std::move(read));
      }
    }
  }
  log.Write(LogPriority::Notable, LogLine("refused"), kNow);
  log.Write(LogPriority::Notable, LogLine("later"), kNow + Seconds(1));
  log.Flush();
  for (json& read : pipe.Lines()) {
    lines.push_back(std::move(read));
  }
  std::size_t bytes = 0;
  bool hasRefused = false;
  bool hasDropped = false;
  for (const json& line : lines) {
    bytes += line.dump().size();
    hasRefused = hasRefused || line["event"] == "refused";
    hasDropped = hasDropped || (line["event"] == "log-dropped" && line["routine"] > 0);
  }
  CHECK(bytes < 400'000);
  CHECK(hasRefused);
  CHECK(hasDropped);
}

TEST_CASE("a reader that stops reading does not block the writer") {
  Pipe pipe;
  EdgeLog log(pipe.m_write, "edge-1");
  const SystemClock clock;
  const Time started = clock.Now();
  for (int second = 0; second < 30; ++second) {
    for (int request = 0; request < 1000; ++request) {
      LogLine line("refused");
      line.Text("id", std::string(100, 'x'));
      log.Write(LogPriority::Notable, line, kNow + Seconds(second));
    }
    log.Flush();
  }
  CHECK(clock.Now() - started < Seconds(5));
  CHECK(log.CountDropped() > 0);
}
