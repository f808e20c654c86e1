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
  /// A request that was running at the crash of this many different backend servers is refused.
  std::size_t m_crashesToRefuse = 2;
  /// How long a crash is remembered. At least as long as a caller may send a request again.
  Duration m_memory = Seconds(600);
  /// Requests remembered at most; the oldest are forgotten first.
  std::size_t m_mostRequests = 2000;
  /// News goes to this many members at a time, as often as m_rounds says.
  std::size_t m_fanOut = 8;
  std::size_t m_rounds = 3;
  Duration m_roundInterval = Milliseconds(200);
  /// All that is remembered goes to one random member this often, for those that missed the news.
  Duration m_repairInterval = Seconds(5);
  std::size_t m_mostReportsPerMessage = 200;
};

/// A request has crashed enough backend servers to be refused from now on.
struct PoisonFound {
  std::string m_fingerprint;
};

/// Remembers, over all entries, which requests were running when backend servers crashed. Requests
/// are named by the fingerprint of their content, so a new key or another entry changes nothing.
///
/// News spreads by gossip: each member passes it on once it learns of it. A request that runs to
/// its end is cleared at the entry that saw it, for it was only running beside the one that
/// crashed the server.
class CrashHistory {
public:
  CrashHistory(CrashHistorySettings aSettings, std::uint64_t aSeed)
    : m_settings(aSettings)
    , m_random(aSeed) {}

  /// The request was running on the backend server when it crashed.
  Step<PoisonFound> OnCrash(const std::string& aFingerprint, const BackendServerId& aServer,
                            Time aNow);
  /// The request ran to its end on some backend server.
  void OnFinished(const std::string& aFingerprint, Time aNow);
  Step<PoisonFound> OnMessage(const EntryId& aFrom, const Message& aMessage, Time aNow);
  /// The live members other than this one.
  Step<PoisonFound> OnMembers(const std::vector<EntryId>& aMembers, Time aNow);
  /// Calls at least each 100 ms.
  Step<PoisonFound> Tick(Time aNow);

  /// Whether the request is to be refused as not run.
  bool IsPoison(const std::string& aFingerprint, Time aNow) const;
  /// Whether the request was running at one crash. Two of these on one server would make the
  /// innocent one look guilty, so they are better kept apart.
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
    /// Crashes up to here no longer count.
    Time m_clearedAt = Time::min();
    Time m_firstSeen{};
  };
  struct News {
    CrashReport m_report;
    Time m_at{};
    std::size_t m_roundsLeft = 0;
  };

  /// True where the crash was unknown.
  bool Remember(const std::string& aFingerprint, const BackendServerId& aServer, Time aAt,
                Time aNow);
  std::size_t CountCrashes(const std::string& aFingerprint, Time aNow) const;
  void AddNews(const std::string& aFingerprint, const BackendServerId& aServer, Time aAt);
  void ForgetOldest();
  void Expire(Time aNow);
  Step<PoisonFound> SendNews(Time aNow);
  Step<PoisonFound> SendRepair(Time aNow);

  CrashHistorySettings m_settings;
  Random m_random;
  std::vector<EntryId> m_members;
  std::unordered_map<std::string, Request> m_requests;
  /// Fingerprints, oldest first.
  std::deque<std::string> m_order;
  std::vector<News> m_news;
  Time m_nextRound{};
  Time m_nextRepair{};
};

} // namespace fennelline
