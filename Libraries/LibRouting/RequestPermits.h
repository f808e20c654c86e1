#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
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

/// The answer to an entry that wants to send a request to a server that limits requests.
struct PermitDecision {
  bool m_isGranted = false;
  /// If it is not granted: when the next permit for a request as urgent as this may be granted.
  Duration m_nextPermit{0};
  /// If it is not granted: when a permit is likely, with those that were refused before it.
  Duration m_likelyWait{0};
};

/// Issues the permits for requests to one server, such that all entries together keep to its limit.
/// The most urgent requests may use the last permit; the others leave some for them.
class PermitBucket {
public:
  /// aPerSecond: the server's limit. aShare: part of it that this entry may issue. aUrgency: from 0
  /// to kUrgencyLevels - 1.
  PermitDecision Take(double aPerSecond, double aShare, int aUrgency, Time aNow);

private:
  void Refill(double aRate, Time aNow);

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
  /// Drops the buckets that were not used lately.
  void Expire(Time aNow);

private:
  struct UsedBucket {
    PermitBucket m_bucket;
    Time m_usedAt{};
  };
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
  /// The limit as the asking entry knows it, and how old that knowledge is.
  double m_perSecond = 0.0;
  Duration m_limitAge{0};
  /// Datagram address for the answer.
  std::string m_replyTo;
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

std::string EncodePermitQuestion(const PermitQuestion& aQuestion);
Result<PermitQuestion> DecodePermitQuestion(const std::string& aBytes);
std::string EncodePermitAnswer(const PermitAnswer& aAnswer);
Result<PermitAnswer> DecodePermitAnswer(const std::string& aBytes);
std::string EncodeLimitNotices(const std::vector<LimitNotice>& aNotices);
Result<std::vector<LimitNotice>> DecodeLimitNotices(const std::string& aBytes);

} // namespace fennelline
