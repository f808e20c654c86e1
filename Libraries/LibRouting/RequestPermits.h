#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibRouting/ColdServers.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace fennelline {

/// How urgent a request is for a server that limits requests, from 0 for the most urgent.
constexpr int kUrgencyLevels = 3;

/// Least rate of permits, so that a server that takes no requests is asked whether it still says
/// so.
constexpr double kMinPermitsPerSecond = 0.25;
/// Longest wait for a permit that is announced.
constexpr Duration kMaxPermitWait = Seconds(30);
/// Maximum number of unused permits. The platform allows five requests in four seconds beyond what
/// the rate of a limit that a server names does.
constexpr double kMaxPermits = 3.0;

/// The answer to an entry that wants to send a request to a server that limits requests.
struct PermitDecision {
  bool m_isGranted = false;
  /// If it is not granted: when the next permit for a request as urgent as this may be granted.
  Duration m_nextPermit{0};
  /// If it is not granted: when a permit is likely, with those that were refused before it.
  Duration m_likelyWait{0};
  /// The issuer did not answer in time. Not part of its message.
  bool m_isUnanswered = false;
};

/// Issues the permits for requests to one server, such that all entries together keep to its limit.
/// The most urgent requests may use the last permit; the others leave some for them.
class PermitBucket {
public:
  /// aPerSecond: the server's limit. aShare: part of it that this entry may issue. aUrgency: from 0
  /// to kUrgencyLevels - 1.
  PermitDecision Take(double aPerSecond, double aShare, int aUrgency, Time aNow) {
    return Take({.m_perSecond = aPerSecond, .m_mostUnused = kMaxPermits}, aShare, aUrgency, aNow);
  }
  /// For a server that is cold, fewer permits may be left unused. Then the urgency does not matter:
  /// other servers take what it does not get.
  PermitDecision Take(const PermitTerms& aTerms, double aShare, int aUrgency, Time aNow);
  /// A request was sent without a permit: it uses up one, or one to come.
  void Count(const PermitTerms& aTerms, double aShare, Time aNow);

private:
  void Refill(double aRate, double aMostUnused, Time aNow);

  double m_permits = 1.0;
  /// Refused requests that probably come back.
  double m_refused = 0.0;
  std::optional<Time> m_refilledAt;
};

/// Permit buckets of the servers whose permits this entry issues.
class PermitIssuer {
public:
  PermitDecision Take(std::uint64_t aServer, double aPerSecond, double aShare, int aUrgency,
                      Time aNow);
  /// For a server that is cold, or may be so without anybody knowing. An entry that issues its
  /// permits only since a change of members leaves it alone until the others know of the change.
  PermitDecision Take(std::uint64_t aServer, const PermitTerms& aTerms, double aShare, int aUrgency,
                      Time aNow);
  /// A request was sent without a permit, to a server that is not known to be cold. Returns how
  /// many were sent to it within the last second, with and without permits of this issuer.
  std::size_t Count(std::uint64_t aServer, const PermitTerms& aTerms, double aShare, Time aNow);
  void OnMembersChanged(Time aNow) { m_membersChangedAt = aNow; }
  /// Drops the buckets that were not used lately.
  void Expire(Time aNow);

private:
  struct UsedBucket {
    PermitBucket m_bucket;
    Time m_usedAt{};
    /// When requests were sent within the last second, if the server may be cold.
    std::deque<Time> m_sent;
    /// Another entry may still issue the permits of this server before.
    Time m_issuesFrom{};
  };
  UsedBucket& Use(std::uint64_t aServer, Time aNow);

  Time m_membersChangedAt{};
  std::map<std::uint64_t, UsedBucket> m_buckets;
};

/// Returns the position of the entry that issues the permits for a server, by rendezvous hashing
/// over the hashes of the live entries: each server has one issuer, and few servers change theirs
/// with the membership. There must be an entry.
std::size_t ChoosePermitIssuer(std::uint64_t aServer, std::span<const std::uint64_t> aLiveEntries);

/// The part of each limit that the issuers of this entry's side of the fleet may issue. Entries
/// that were lost lately may be cut off rather than dead and issue permits too.
class IssuableShare {
public:
  /// Sets the live entries, including this one, by their names without the start number.
  void OnMembers(std::set<std::string> aLiveNodes, Time aNow);
  double At(Time aNow) const;

private:
  std::set<std::string> m_live;
  std::map<std::string, Time> m_lost;
};

/// Asks the issuer for a permit.
struct PermitQuestion {
  std::uint64_t m_number = 0;
  std::uint64_t m_server = 0;
  int m_urgency = 0;
  /// The limit as the asking entry knows it, and how old that knowledge is; none if the server
  /// names none.
  std::optional<double> m_perSecond;
  Duration m_limitAge{0};
  /// Datagram address for the answer.
  std::string m_replyTo;
  /// The terms for a cold server; none if it is not cold as far as the asking entry knows. The
  /// issuer may not know the server yet.
  std::optional<PermitTerms> m_coldTerms;
};

struct PermitAnswer {
  std::uint64_t m_number = 0;
  PermitDecision m_decision;
};

/// Tells other entries which limit a server names, or that it names none.
struct LimitNotice {
  std::uint64_t m_server = 0;
  std::optional<double> m_perSecond;
  Duration m_age{0};
};

/// Tells the issuer that a request was sent without a permit, to a server that is not known to be
/// cold but may be.
struct SendReport {
  std::uint64_t m_server = 0;
  PermitTerms m_terms;
  /// See ColdRules::CrowdedFrom(). The issuer may not know the server yet.
  std::size_t m_crowdedFrom = 0;
  /// Datagram address of the entry that sent it.
  std::string m_replyTo;
};

/// Tells other entries that a permit is needed for requests to a server.
struct ColdNotice {
  std::uint64_t m_server = 0;
  /// Whether it is known to be cold. Otherwise it gets so many requests that it would suffer if it
  /// were.
  bool m_isCold = false;
  Duration m_left{0};
  /// How old the knowledge is.
  Duration m_age{0};
};

std::string EncodeSendReport(const SendReport& aReport);
Result<SendReport> DecodeSendReport(const std::string& aBytes);
std::string EncodeColdNotices(const std::vector<ColdNotice>& aNotices);
Result<std::vector<ColdNotice>> DecodeColdNotices(const std::string& aBytes);
std::string EncodePermitQuestion(const PermitQuestion& aQuestion);
Result<PermitQuestion> DecodePermitQuestion(const std::string& aBytes);
std::string EncodePermitAnswer(const PermitAnswer& aAnswer);
Result<PermitAnswer> DecodePermitAnswer(const std::string& aBytes);
std::string EncodeLimitNotices(const std::vector<LimitNotice>& aNotices);
Result<std::vector<LimitNotice>> DecodeLimitNotices(const std::string& aBytes);

} // namespace fennelline
