#include "LibWire/PeerTransport.h"

#include "Tests/LibWire/Collector.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <iostream>

// Measures the transport between two entries on loopback: the latency of a request and its reply,
// the bytes on the wire for each, and the CPU time. Usage: fennelline-measure-transport [PAIRS]

using namespace fennelline;
using namespace fennelline::test;

namespace {

constexpr std::size_t kDefaultPairs = 20'000;
constexpr std::chrono::milliseconds kLimit{60'000};

std::string IdentityText(std::uint64_t aNumber) {
  return "order-2026-11-23-" + std::to_string(100'000 + aNumber);
}

ClaimRequest MakeRequest(std::uint64_t aNumber) {
  return {.m_shard = 17,
          .m_view = 123'456,
          .m_identity = {"mopane-north", IdentityText(aNumber)},
          .m_bodyHash = std::string(64, 'a'),
          .m_attempt = {"entry-1#77fc26427190df88", aNumber}};
}

ClaimReply MakeReply(const ClaimRequest& aRequest) {
  return {.m_shard = aRequest.m_shard,
          .m_view = aRequest.m_view,
          .m_identity = aRequest.m_identity,
          .m_attempt = aRequest.m_attempt,
          .m_vote = VoteResult::Granted,
          .m_slot = {}};
}

PeerTransportSettings SettingsOf(const EntryId& aSelf) {
  PeerTransportSettings settings;
  settings.m_self = aSelf;
  settings.m_sharedSecrets = {"a-secret-for-measuring"};
  settings.m_readClock = [] { return 7'357'777'969'056'825'345ULL; };
  return settings;
}

double CpuMicroseconds() {
  constexpr double kMicro = 1e6;
  return static_cast<double>(std::clock()) * kMicro / CLOCKS_PER_SEC;
}

/// One transport sends requests, the other replies to each.
struct Pair {
  Collector<Envelope> m_replies;
  PeerTransport m_requester{SettingsOf("entry-1#77fc26427190df88"),
                            [this](Envelope aEnvelope) { m_replies.Add(std::move(aEnvelope)); }};
  std::string m_requesterAddress = "127.0.0.1:" + std::to_string(m_requester.Start().Take());
  PeerTransport m_replier{
    SettingsOf("entry-2#5a42ba6a3a49b78c"), [this](const Envelope& aEnvelope) {
      const ClaimRequest& request = std::get<ClaimRequest>(aEnvelope.m_message);
      m_replier.Send(aEnvelope.m_from, m_requesterAddress, MakeReply(request));
    }};
  std::string m_replierAddress = "127.0.0.1:" + std::to_string(m_replier.Start().Take());

  void Ask(std::uint64_t aNumber) {
    m_requester.Send("entry-2#5a42ba6a3a49b78c", m_replierAddress, MakeRequest(aNumber));
  }
};

void MeasureOneByOne(std::size_t aPairs) {
  Pair pair;
  std::vector<double> microseconds;
  const double cpuBefore = CpuMicroseconds();
  for (std::size_t number = 1; number <= aPairs; ++number) {
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    pair.Ask(number);
    if (!pair.m_replies.WaitForCount(number, kLimit)) {
      std::cerr << "no reply within the time limit\n";
      std::exit(1);
    }
    const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - start;
    microseconds.push_back(taken.count());
  }
  const double cpu = CpuMicroseconds() - cpuBefore;
  std::sort(microseconds.begin(), microseconds.end());
  const double count = static_cast<double>(aPairs);
  constexpr double kTail = 0.99;
  std::cout << "one at a time: median " << microseconds[aPairs / 2] << " us, p99 "
            << microseconds[static_cast<std::size_t>(count * kTail)] << " us, CPU " << cpu / count
            << " us per pair (both ends)\n"
            << "bytes per pair including HTTP/2 headers and acknowledgements: from the requester "
            << static_cast<double>(pair.m_requester.Counts().m_bytesSent) / count
            << ", from the replier "
            << static_cast<double>(pair.m_replier.Counts().m_bytesSent) / count << "\n";
}

void MeasureAtOnce(std::size_t aPairs) {
  Pair pair;
  constexpr std::size_t kBatch = 1'000;
  const double cpuBefore = CpuMicroseconds();
  const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
  for (std::size_t number = 1; number <= aPairs; ++number) {
    pair.Ask(number);
    const bool batchFull = number % kBatch == 0 || number == aPairs;
    if (batchFull && !pair.m_replies.WaitForCount(number, kLimit)) {
      std::cerr << "no reply within the time limit\n";
      std::exit(1);
    }
  }
  const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
  const double cpu = CpuMicroseconds() - cpuBefore;
  const double count = static_cast<double>(aPairs);
  std::cout << kBatch << " at once: " << count / taken.count() << " pairs/s, CPU " << cpu / count
            << " us per pair (both ends)\n";
}

} // namespace

int main(int aCount, char** aArguments) {
  const std::size_t pairs = aCount > 1 ? std::strtoul(aArguments[1], nullptr, 10) : kDefaultPairs;
  std::cout
    << "encoded: claim request "
    << EncodeMessage({"entry-1#77fc26427190df88", 1ULL << 62U, MakeRequest(1)}).size()
    << " bytes, claim reply "
    << EncodeMessage({"entry-2#5a42ba6a3a49b78c", 1ULL << 62U, MakeReply(MakeRequest(1))}).size()
    << " bytes\n";
  MeasureOneByOne(pairs);
  MeasureAtOnce(pairs);
  return 0;
}
