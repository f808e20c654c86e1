#pragma once

#include "LibCoordination/Observation/CrashHistory.h"
#include "LibCoordination/Observation/CrashSuspects.h"
#include "LibCoordination/Observation/SuspectedCrashes.h"
#include "LibRouting/ServerLiveness.h"
#include "Services/Edge/EdgeContext.h"
#include "Services/Edge/Members.h"
#include "Services/Edge/StoreClient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// Finds out which requests crash backend servers, together with the other entries, so that they
/// are no longer sent. CrashHistory decides; this class checks whether servers have crashed and
/// exchanges what is known with the other entries and the store.
class CrashWatch {
public:
  using SendToPeer = std::function<void(const std::string& aAddress, const std::string& aMessage)>;

  /// aSend: sends an encoded message to a peer's datagram address.
  CrashWatch(EdgeContext& aContext, Members& aMembers, StoreClient& aStore, SendToPeer aSend);
  void Start();

  /// Whether the request may be sent to a server now, see CrashHistory::MayRun().
  bool MayRun(const CrashCauses& aCauses, CrashTrial& aTrial);
  void OnTrialSent(const CrashTrial& aTrial);
  /// The cause for which the request is refused.
  std::string RefusedCause(const CrashCauses& aCauses) const;
  /// How long requests with this cause are still refused.
  Duration RefusedFor(const std::string& aFingerprint) const;
  /// Whether requests with this content ran beside crashes.
  bool IsSuspect(const std::string& aContent) const;
  std::size_t CountRefused() const { return m_history.CountRefused(); }
  /// Whether nothing is known to have run beside a crash.
  bool IsEmpty() const { return m_history.RequestCount() == 0; }

  /// The connection broke while the server had the request. Calls aOnChecked once it is known
  /// whether the server has crashed, or cannot be found out in time.
  void OnBroken(const std::shared_ptr<BackendLink>& aBackend, ServerRun aRun,
                std::function<void()> aOnChecked);
  /// The server had the request and stayed silent.
  void OnSilent(const BackendLink& aBackend, ServerRun aRun);
  /// The request was taken back from the server, which may have begun it all the same.
  void OnCancelled(const BackendLink& aBackend, ServerRun aRun);
  /// Nothing listens at the server's address, as far as this entry's connections show. Calls
  /// aOnDecided once it is known whether it has crashed.
  void OnRefused(const std::shared_ptr<BackendLink>& aBackend, std::function<void()> aOnDecided);
  /// The server has crashed: nothing listens at its address, or it was started again.
  void OnCrashed(BackendLink& aBackend);
  /// A server has answered the request, or has been answering it for kProvenRunTime.
  void OnFinished(const CrashCauses& aCauses);
  void OnBegun(const CrashCauses& aCauses);

  void OnMembersChanged();
  void OnPeerMessage(const std::string& aBytes);
  /// The store holds a record of a cause of crashes.
  void OnRecord(const std::string& aFingerprint, std::size_t aRefusals);
  /// The store has lost the record of a cause by coming back from a copy.
  void OnRecordLost(const std::string& aFingerprint, std::size_t aRefusals);

private:
  struct Suspicion {
    std::string m_fingerprint;
    BackendServerId m_server;
    ServerRun m_run;
    /// When its connection broke, or it was given up.
    Time m_at{};
  };
  struct Refusal {
    std::shared_ptr<BackendLink> m_backend;
    std::function<void()> m_onDecided;
  };

  static BackendServerId IdOf(const BackendLink& aBackend);
  void AddSuspect(SuspectedCrashes<Suspicion>& aSuspects, const BackendLink& aBackend,
                  ServerRun aRun);
  void OnCheckResult(const std::shared_ptr<BackendLink>& aBackend, ServerLiveness aResult);
  void EndCheck(std::uint64_t aIdentity);
  /// Tells crashes from a lost path to all servers by whether other servers accept connections.
  void CheckOwnPath();
  void DecideRefusals(bool aHasPath);
  void ReleaseWaiting(std::uint64_t aIdentity);
  void LogSuspect(const BackendLink& aBackend, const Suspicion& aSuspicion) const;
  void Apply(const Step<VerdictChanged>& aStep);
  /// Also keeps in the store what this entry found out.
  void ApplyOwn(const Step<VerdictChanged>& aStep);
  void Keep(const std::string& aFingerprint, std::size_t aRefusals);
  void RemoveRecord(const std::string& aFingerprint);
  void LogUnkept(const std::string& aFingerprint, std::string_view aReason) const;

  EdgeContext& m_context;
  Members& m_members;
  StoreClient& m_store;
  SendToPeer m_send;
  CrashHistory m_history;
  SuspectedCrashes<Suspicion> m_suspects;
  /// Requests that were taken back.
  SuspectedCrashes<Suspicion> m_cancelled;
  /// Those that wait for a check in progress, by the server's identity.
  std::map<std::uint64_t, std::vector<std::function<void()>>> m_checks;
  /// Servers that refused a connection shortly after another one, not yet decided.
  std::vector<Refusal> m_refusals;
  /// The server with suspects that last refused a connection.
  std::uint64_t m_lastRefusing = 0;
  Time m_lastRefusal{};
  Time m_recordSecond{};
  int m_recordsInSecond = 0;
};

} // namespace fennelline
