#include "Utilities/Ctl/FleetCommands.h"
#include "Utilities/Ctl/FleetStatus.h"
#include "Utilities/Ctl/WorkingCopy.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <limits>

using namespace fennelline;

namespace {

std::string StatusText(const std::string& aEntry, int aRevision) {
  return R"({"entry": ")" + aEntry + R"(", "data_centre": "north", "revision": )" +
         std::to_string(aRevision) + R"(, "standing": "current", "stopping": false,
    "isolated": false, "requests": {"open": 3, "late": 1},
    "members": [{"state": "alive", "admin_address": "127.0.0.1:7"},
                {"state": "dead", "admin_address": "127.0.0.1:8"}],
    "backend_servers": [{"name": "engine-1", "role": "model", "data_centre": "north",
      "leaving": false, "reachable": true, "running": 2, "queued": 0, "slots": 8,
      "versions": ["tagger@1"]}],
    "spend": {"mopane": {"available_micros": 40}}})";
}

FleetStatus SampleFleet() {
  FleetStatus fleet;
  fleet.m_entries = {ParseEntryStatus(StatusText("e1#1", 7)).Take(),
                     ParseEntryStatus(StatusText("e2#1", 6)).Take()};
  return fleet;
}

} // namespace

TEST_CASE("parsing an entry status omits the addresses of dead members") {
  const EntryStatus status = ParseEntryStatus(StatusText("e1#1", 7)).Take();
  CHECK(status.m_revision == 7);
  CHECK(status.m_peerAdminAddresses == std::vector<std::string>{"127.0.0.1:7"});
  CHECK(status.m_backends.at(0).m_slots == 8);
  CHECK(ParseEntryStatus("{}").IsError());
  CHECK(ParseEntryStatus("nothing").IsError());
}

TEST_CASE("the fleet status is rendered as tables and JSON with spend summed over entries") {
  const std::string text = RenderFleet(SampleFleet());
  CHECK(text.starts_with("ENTRY  DATA CENTRE"));
  CHECK(text.find("engine-1") != std::string::npos);
  CHECK(text.find("mopane    80") != std::string::npos);
  CHECK(WriteFleet(SampleFleet()).find("\"available_micros\":{\"mopane\":80}") !=
        std::string::npos);
}

TEST_CASE("a customer without a spend limit in one entry has none in the sum") {
  FleetStatus fleet = SampleFleet();
  fleet.m_entries[0].m_availableMicros["mopane"] = std::numeric_limits<std::int64_t>::max();
  CHECK(RenderFleet(fleet).find("mopane    no limit known yet") != std::string::npos);
}

TEST_CASE("entries with an older revision are reported as behind") {
  CHECK(EntriesBehind(SampleFleet(), 6).empty());
  CHECK(EntriesBehind(SampleFleet(), 7) == std::vector<std::string>{"e2#1"});
}

TEST_CASE("a wait duration needs a number and a unit") {
  CHECK(ParseWait("3s").Get() == Seconds(3));
  CHECK(ParseWait("250ms").Get() == Milliseconds(250));
  for (const char* text : {"", "3", "s", "-1s", "3m", "3 s", "90000s"}) {
    CHECK(ParseWait(text).IsError());
  }
}

TEST_CASE("a working copy stores its base revision and text") {
  char path[] = "/tmp/fennelline-ctl-XXXXXX";
  const int descriptor = mkstemp(path);
  REQUIRE(descriptor >= 0);
  const std::string file = path;
  CHECK_FALSE(ReadBase(file).Get());
  REQUIRE(WriteWorkingCopy(file, {12, "{}\n"}));
  CHECK(ReadInput(file).Get() == "{}\n");
  CHECK(ReadBase(file).Get()->m_revision == 12);
  CHECK(ReadBase(file).Get()->m_text == "{}\n");
  std::remove((file + ".base").c_str());
  std::remove(file.c_str());
}

TEST_CASE("errors map to exit codes") {
  CHECK(ExitCodeOf(MakeError(ErrorCode::Conflict, "")) == ExitCode::Conflict);
  CHECK(ExitCodeOf(MakeError(ErrorCode::Unavailable, "")) == ExitCode::Unavailable);
  CHECK(ExitCodeOf(MakeError(ErrorCode::UnknownField, "")) == ExitCode::BadInput);
  CHECK(ExitCodeOf(MakeError(ErrorCode::Io, "")) == ExitCode::Failed);
  CHECK(static_cast<int>(ExitCode::Unresolved) == 5);
}
