#include "Utilities/MeasureSpread/EntryGroup.h"

#include <algorithm>
#include <cstdint>
#include <gflags/gflags.h>
#include <iostream>
#include <string>
#include <vector>

DEFINE_uint64(members, 9, "entries in the group");
DEFINE_uint64(data_centres, 3, "data centres they stand in");
DEFINE_uint64(seconds, 60, "seconds of simulated time to measure, after the start");
DEFINE_uint64(seed, 1, "seed of the network and of every entry");
DEFINE_uint64(document_bytes, 100000, "size of the configuration");
DEFINE_uint64(changes, 10, "changes of configuration during the measurement");
DEFINE_double(loss, 0.01, "share of datagrams and messages that are lost");
DEFINE_uint64(delay_ms, 5, "longest one-way delay between entries");

namespace fennelline {
namespace {

constexpr std::size_t kPaddingBytes = 200;

/// A configuration of about the wished size with one line that differs from change to change.
std::string MakeDocument(std::uint64_t aBytes, std::uint64_t aChange) {
  Configuration configuration;
  configuration.m_currency = "ZAR";
  const std::uint64_t versions = std::max<std::uint64_t>(1, aBytes / kPaddingBytes);
  for (std::uint64_t i = 0; i < versions; ++i) {
    ModelVersion version;
    version.m_model = "model" + std::to_string(i);
    version.m_name = version.m_model + "@1";
    version.m_inputMicrosPer1000Tokens = i == versions / 2 ? static_cast<std::int64_t>(aChange) : 1;
    version.m_outputMicrosPer1000Tokens = 1;
    configuration.m_versions.push_back(version);
  }
  return WriteConfiguration(configuration);
}

struct Totals {
  std::int64_t m_datagramsSent = 0;
  std::int64_t m_datagramBytesSent = 0;
  std::int64_t m_datagramBytesReceived = 0;
  std::int64_t m_messageBytesSent = 0;
  std::int64_t m_messageBytesReceived = 0;
  std::int64_t m_platformCalls = 0;
  std::int64_t m_mostMessageBytesSent = 0;
};

Totals Sum(const EntryGroup& aGroup) {
  Totals totals;
  for (std::size_t i = 0; i < aGroup.Count(); ++i) {
    const EntryJournal& journal = aGroup.JournalOf(static_cast<int>(i));
    totals.m_datagramsSent += journal.m_datagramsSent;
    totals.m_datagramBytesSent += journal.m_datagramBytesSent;
    totals.m_datagramBytesReceived += journal.m_datagramBytesReceived;
    totals.m_messageBytesSent += journal.m_messageBytesSent;
    totals.m_messageBytesReceived += journal.m_messageBytesReceived;
    totals.m_platformCalls += journal.m_platformCalls;
    totals.m_mostMessageBytesSent =
      std::max(totals.m_mostMessageBytesSent, journal.m_messageBytesSent);
  }
  return totals;
}

/// Writes changes evenly over the time; returns the milliseconds until each was in force at each
/// entry, sorted.
std::vector<std::int64_t> RunChanges(EntryGroup& aGroup, std::uint64_t aSeconds,
                                     std::uint64_t aChanges) {
  std::vector<std::int64_t> milliseconds;
  const Duration apart =
    Milliseconds(static_cast<std::int64_t>(aSeconds * 1000 / std::max<std::uint64_t>(aChanges, 1)));
  for (std::uint64_t change = 0; change < aChanges; ++change) {
    const Time written = aGroup.Now();
    const Revision revision =
      aGroup.Platform().Write(kConfigurationKey, MakeDocument(FLAGS_document_bytes, change + 1));
    aGroup.RunFor(apart);
    for (std::size_t i = 0; i < aGroup.Count(); ++i) {
      for (const EntryJournal::InForce& inForce : aGroup.JournalOf(static_cast<int>(i)).m_inForce) {
        if (inForce.m_revision == revision) {
          milliseconds.push_back(InMilliseconds(inForce.m_at - written));
        }
      }
    }
  }
  std::sort(milliseconds.begin(), milliseconds.end());
  return milliseconds;
}

void PrintPerSecond(const std::string& aName, std::int64_t aTotal) {
  const double entrySeconds =
    static_cast<double>(FLAGS_members) * static_cast<double>(FLAGS_seconds);
  std::cout << aName << ": " << static_cast<double>(aTotal) / entrySeconds << "\n";
}

void PrintTimes(const std::vector<std::int64_t>& aMilliseconds) {
  if (aMilliseconds.empty()) {
    return;
  }
  const std::size_t expected = FLAGS_members * FLAGS_changes;
  std::cout << "changes in force: " << aMilliseconds.size() << " of " << expected << "\n"
            << "ms to in force, median: " << aMilliseconds[aMilliseconds.size() / 2]
            << ", 99th percentile: " << aMilliseconds[aMilliseconds.size() * 99 / 100]
            << ", last: " << aMilliseconds.back() << "\n";
}

void PrintProcessorShare(const std::string& aName, std::chrono::nanoseconds aTime) {
  const double entrySeconds =
    static_cast<double>(FLAGS_members) * static_cast<double>(FLAGS_seconds);
  constexpr double kPercent = 100.0;
  std::cout << aName << ", % of a core per entry: "
            << kPercent * std::chrono::duration<double>(aTime).count() / entrySeconds << "\n";
}

/// The time until a leaving backend server is known at each entry.
void PrintLeavingTime(EntryGroup& aGroup) {
  const Time marked = aGroup.Now();
  const std::int64_t bytesBefore = Sum(aGroup).m_datagramBytesSent;
  aGroup.MarkLeaving(0, "engine-1");
  aGroup.RunFor(Seconds(5));
  Duration last{0};
  std::size_t told = 0;
  for (std::size_t i = 0; i < aGroup.Count(); ++i) {
    for (const EntryJournal::Leaving& leaving : aGroup.JournalOf(static_cast<int>(i)).m_leaving) {
      last = std::max(last, Duration(leaving.m_at - marked));
      ++told;
    }
  }
  std::cout << "leaving known at " << told << " of " << aGroup.Count() << " entries, last after "
            << InMilliseconds(last) << " ms; datagram bytes an entry sent in these 5 s: "
            << (Sum(aGroup).m_datagramBytesSent - bytesBefore) /
                 static_cast<std::int64_t>(aGroup.Count())
            << "\n";
}

void Measure() {
  GroupSettings settings;
  settings.m_dataCentres = FLAGS_data_centres;
  settings.m_datagramLoss = FLAGS_loss;
  settings.m_messageLoss = FLAGS_loss;
  settings.m_mostDelay = Milliseconds(static_cast<std::int64_t>(FLAGS_delay_ms));
  EntryGroup group(settings, FLAGS_seed);
  group.Platform().Write(kConfigurationKey, MakeDocument(FLAGS_document_bytes, 0));
  group.StartMany(FLAGS_members);
  constexpr std::int64_t kSettleSeconds = 90;
  group.RunFor(Seconds(kSettleSeconds));
  std::size_t known = 0;
  for (std::size_t i = 0; i < group.Count(); ++i) {
    known += group.MembershipOf(static_cast<int>(i)).Members().size();
  }
  std::cout << "members: " << FLAGS_members << ", known on average: "
            << static_cast<double>(known) / static_cast<double>(group.Count()) << "\n";
  const Totals before = Sum(group);
  const std::chrono::nanoseconds membershipBefore = group.MembershipTime();
  const std::chrono::nanoseconds spreadBefore = group.SpreadTime();
  const std::vector<std::int64_t> times = RunChanges(group, FLAGS_seconds, FLAGS_changes);
  if (FLAGS_changes == 0) {
    group.RunFor(Seconds(static_cast<std::int64_t>(FLAGS_seconds)));
  }
  const Totals after = Sum(group);
  PrintPerSecond("membership, datagrams sent a second per entry",
                 after.m_datagramsSent - before.m_datagramsSent);
  PrintPerSecond("membership, bytes sent a second per entry",
                 after.m_datagramBytesSent - before.m_datagramBytesSent);
  PrintPerSecond("membership, bytes received a second per entry",
                 after.m_datagramBytesReceived - before.m_datagramBytesReceived);
  PrintPerSecond("spread, bytes sent a second per entry",
                 after.m_messageBytesSent - before.m_messageBytesSent);
  PrintPerSecond("spread, bytes received a second per entry",
                 after.m_messageBytesReceived - before.m_messageBytesReceived);
  const std::int64_t calls = after.m_platformCalls - before.m_platformCalls;
  std::cout << "platform calls a second, all entries: "
            << static_cast<double>(calls) / static_cast<double>(FLAGS_seconds) << "\n";
  PrintProcessorShare("membership", group.MembershipTime() - membershipBefore);
  PrintProcessorShare("spread", group.SpreadTime() - spreadBefore);
  PrintTimes(times);
  PrintLeavingTime(group);
}

} // namespace
} // namespace fennelline

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Measures what membership and configuration spread cost, in memory: "
                          "bytes, processor time, platform calls and time to in force.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  fennelline::Measure();
  return 0;
}
