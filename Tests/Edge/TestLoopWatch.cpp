#include "Services/Edge/LoopWatch.h"

#include <array>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace fennelline;

namespace {

/// A loop, watched with short limits, and the lines that were written about it.
struct WatchedLoop {
  WatchedLoop() {
    REQUIRE(!m_loop.Open().IsError());
    REQUIRE(::pipe2(m_ends.data(), O_NONBLOCK) == 0);
  }
  ~WatchedLoop() {
    ::close(m_ends[0]);
    ::close(m_ends[1]);
  }
  WatchedLoop(const WatchedLoop&) = delete;
  WatchedLoop& operator=(const WatchedLoop&) = delete;

  /// Runs a task that holds the loop up, and returns the lines.
  std::vector<nlohmann::json> RunTask(Duration aTime) {
    EdgeLog log(m_ends[1], "edge-1");
    LoopWatch watch(m_loop, log, m_metrics,
                    {.m_loggedTurn = Milliseconds(60),
                     .m_checkInterval = Milliseconds(20),
                     .m_stallTime = Milliseconds(150),
                     .m_descriptor = m_ends[1],
                     .m_node = "edge-1"});
    watch.Start();
    m_loop.Post([aTime] { std::this_thread::sleep_for(aTime); });
    m_loop.RunOnce(Milliseconds(1));
    m_loop.RunOnce(Milliseconds(1));
    log.Flush();
    std::string text(64UL * 1024, '\0');
    const ssize_t count = ::read(m_ends[0], text.data(), text.size());
    text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    std::vector<nlohmann::json> lines;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n')) {
      lines.push_back(nlohmann::json::parse(text.substr(0, end)));
      text.erase(0, end + 1);
    }
    return lines;
  }

  EventLoop m_loop;
  EdgeMetrics m_metrics;
  std::array<int, 2> m_ends{};
};

} // namespace

TEST_CASE("a long turn of the loop is logged with what it did, and a short one is not") {
  WatchedLoop loop;
  CHECK(loop.RunTask(Milliseconds(1)).empty());
  const std::vector<nlohmann::json> lines = loop.RunTask(Milliseconds(90));
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["event"] == "loop-turn");
  CHECK(lines[0]["took"] >= 80.0);
  CHECK(lines[0]["tasks"] == 1);
  CHECK(loop.m_metrics.Text().find("fennelline_loop_turn_seconds_count 4") != std::string::npos);
}

// Guards against an entry that does nothing any more and does not say so.
TEST_CASE("a turn that does not end is logged while it lasts, a bounded number of times") {
  WatchedLoop loop;
  const std::vector<nlohmann::json> lines = loop.RunTask(Milliseconds(1000));
  std::size_t stalls = 0;
  for (const nlohmann::json& line : lines) {
    if (line["event"] == "loop-stalled") {
      ++stalls;
      CHECK(line["node"] == "edge-1");
      CHECK(line["work"] == "task");
      CHECK(line["for"] >= 150.0);
    }
  }
  // After 150, 300 and 600 ms.
  CHECK(stalls >= 2);
  CHECK(stalls <= 3);
  CHECK(lines.back()["event"] == "loop-turn");
}

// Guards against a timer that keeps the loop from its descriptors.
TEST_CASE("a timer that sets itself again without a delay does not hold a turn up") {
  EventLoop loop;
  REQUIRE(!loop.Open().IsError());
  int runs = 0;
  std::function<void()> again = [&] {
    if (++runs < 1000) {
      loop.After(Duration(0), again);
    }
  };
  loop.After(Duration(0), again);
  for (int turn = 0; turn < 5; ++turn) {
    loop.RunOnce(Milliseconds(1));
  }
  CHECK(runs <= 5);
  CHECK(runs >= 4);
}
