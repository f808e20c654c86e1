#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibCoordination/Step.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

struct CrashHistorySettings {
  /// A request that was running when this many different backend servers crashed is refused.
  std::size_t m_crashesToRefuse = 2;
  /// How long a crash is remembered: at least as long as a caller may retry a request.
  Duration m_retention = Seconds(600);
  /// Maximum number of remembered requests; the oldest are dropped first.
  std::size_t m_maxRequests = 2000;
  /// A new report is sent to this many random members in each of m_rounds rounds.
  std::size_t m_fanOut = 8;
  std::size_t m_rounds = 3;
  Duration m_roundInterval = Milliseconds(200);
  /// Interval at which everything remembered is sent to one random member, to reach those that
  /// missed the gossip.
  Duration m_antiEntropyInterval = Seconds(5);
  std::size_t m_maxReportsPerMessage = 200;
};

/// A request has crashed enough backend servers to be refused from now on.
struct PoisonFound {
  std::string m_fingerprint;
};

/// Records, across all entries, which requests were running when backend servers crashed. Requests
/// are identified by a fingerprint of their content, so a new key or another entry makes no
/// difference.
///
/// Reports are gossiped: each member passes on what is new to it. A request that runs to completion
/// is cleared at the entry that saw it, because it was only running alongside the one that crashed
/// the server.
class CrashHistory {
public:
  CrashHistory(CrashHistorySettings aSettings, std::uint64_t aSeed)
    : m_settings(aSettings)
    , m_random(aSeed) {}

  /// The request was running on the backend server when that crashed.
  Step<PoisonFound> OnCrash(const std::string& aFingerprint, const BackendServerId& aServer,
                            Time aNow);
  /// The request ran to completion on some backend server.
  void OnFinished(const std::string& aFingerprint, Time aNow);
  Step<PoisonFound> OnMessage(const EntryId& aFrom, const Message& aMessage, Time aNow);
  /// Sets the live members other than this one.
  Step<PoisonFound> OnMembers(const std::vector<EntryId>& aMembers, Time aNow);
  /// To be called at least every 100 ms.
  Step<PoisonFound> Tick(Time aNow);

  /// Whether the request is to be refused as not run.
  bool IsPoison(const std::string& aFingerprint, Time aNow) const;
  /// Whether the request was running during some crashes, but too few to refuse it. Two suspects on
  /// one server should be avoided: if it crashes, the innocent one would look guilty too.
  bool IsSuspect(const std::string& aFingerprint, Time aNow) const;
  /// Whether the request was running when this server crashed.
  bool HasCrashed(const std::string& aFingerprint, const BackendServerId& aServer, Time aNow) const;
  std::size_t RequestCount() const { return m_requests.size(); }

private:
  struct Crash {
    BackendServerId m_server;
    Time m_at{};
  };
  struct Request {
    std::vector<Crash> m_crashes;
    /// Crashes up to this time no longer count.
    Time m_clearedAt = Time::min();
    Time m_firstSeen{};
  };
  struct PendingReport {
    CrashReport m_report;
    Time m_at{};
    std::size_t m_roundsLeft = 0;
  };

  /// Returns true if the crash was not known yet.
  bool Record(const std::string& aFingerprint, const BackendServerId& aServer, Time aAt, Time aNow);
  std::size_t CountCrashes(const std::string& aFingerprint, Time aNow) const;
  void AddPendingReport(const std::string& aFingerprint, const BackendServerId& aServer, Time aAt);
  void ForgetOldest();
  void Expire(Time aNow);
  Step<PoisonFound> SendPendingReports(Time aNow);
  Step<PoisonFound> SendAntiEntropy(Time aNow);

  CrashHistorySettings m_settings;
  Random m_random;
  std::vector<EntryId> m_members;
  std::unordered_map<std::string, Request> m_requests;
  /// Fingerprints, oldest first.
  std::deque<std::string> m_order;
  std::vector<PendingReport> m_pendingReports;
  Time m_nextRound{};
  Time m_nextAntiEntropy{};
};

} // namespace fennelline
