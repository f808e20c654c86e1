#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibContract/Configuration.h"
#include "LibCoordination/Configuration/ConfigurationHistory.h"
#include "LibCoordination/ConfigurationMessages.h"
#include "LibCoordination/MembershipMessages.h"
#include "LibCoordination/Message.h"
#include "LibCoordination/Step.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace fennelline {

/// How an entry keeps its configuration up to date.
struct ConfigurationSettings {
  std::string m_key = kConfigurationKey;
  /// Entries of each data centre that watch the platform. The others learn of changes from peers.
  std::size_t m_watchersPerDataCentre = 1;
  /// Minimum number of watchers in total, for deployments with few data centres.
  std::size_t m_minWatchers = 3;
  /// How long the platform holds one watch open.
  Duration m_watchWait = Milliseconds(500);
  /// A call without a reply for this long counts as lost.
  Duration m_callTimeout = Seconds(3);
  /// Delay after a failed call.
  Duration m_retryWait = Milliseconds(300);
  /// While the platform does not answer, all entries together make about one call per this
  /// interval.
  Duration m_fleetCallSpacing = Milliseconds(10);
  /// Interval between queries to peers once the last confirmation is older than m_queryAfter.
  Duration m_queryInterval = Milliseconds(250);
  Duration m_queryAfter = Milliseconds(600);
  /// A peer that has not reached the platform for this long counts as unable to reach it.
  Duration m_unreachableAfter = Milliseconds(1500);
  /// Interval at which every data centre is queried while the platform is unreachable.
  Duration m_queryAllInterval = Seconds(1);
  /// Without a confirmation for this long, new work is refused as not run.
  Duration m_stalenessLimit = Seconds(3);
  /// A starting entry that hears from no peer relies on the platform alone after this time.
  Duration m_startWait = Seconds(1);
  /// Data centres that count among "all" from the start, before any of their members is known.
  /// Without this list, a new VM in an isolated data centre could take its own for the only one.
  std::vector<DataCentre> m_dataCentres;
  /// A data centre without a live member still counts among "all" for this long.
  Duration m_dataCentreRetention = Seconds(600);
  /// Number of peers in the same data centre, and elsewhere, to which a new revision is offered.
  std::size_t m_localFanOut = 6;
  std::size_t m_remoteFanOut = 2;
  /// Number of past documents kept as bases for deltas.
  std::size_t m_pastDocuments = 4;
};

/// A configuration came into force. Its m_revision grows from one to the next.
struct ConfigurationInForce {
  std::shared_ptr<const Configuration> m_configuration;
};

/// This program cannot parse a newer document. The last valid one stays in force.
struct ConfigurationUnreadable {
  Revision m_revision = 0;
  std::string m_reason;
};

using ConfigurationOutcome = std::variant<ConfigurationInForce, ConfigurationUnreadable>;

enum class ConfigurationStatus : std::uint8_t {
  /// Nothing is in force yet: refuse new work as not run.
  Starting,
  /// At some time in the last m_stalenessLimit, the configuration in force was known to be the
  /// platform's newest.
  Current,
  /// Every data centre confirms that it cannot reach the platform either: continue serving.
  PlatformDownForAll,
  /// It is unknown which configuration is in force: refuse new work as not run.
  CutOff,
};

constexpr NameTable<ConfigurationStatus, 4> kConfigurationStatusNames = {{
  {ConfigurationStatus::Starting, "starting"},
  {ConfigurationStatus::Current, "current"},
  {ConfigurationStatus::PlatformDownForAll, "platform-down-for-all"},
  {ConfigurationStatus::CutOff, "cut-off"},
}};

/// Keeps the configuration of one entry up to date: a few watchers read the platform and peers pass
/// new revisions on. A revision lower than a known one is never applied.
///
/// The caller
///  - calls Tick() at least every 100 ms (cheap when nothing is due);
///  - passes in platform replies with Component::Configuration, the messages ConfigurationOffer,
///    ConfigurationRequest, ConfigurationDocument and ConfigurationDelta, the members whenever they
///    change, and the revision carried by each membership datagram;
///  - checks Status() before it accepts new work, and reads the configuration from Current().
///
/// A confirmation is a response to a query of this entry and is dated back to when the query was
/// sent, so a process that resumes from a pause does not take queued old messages for current ones.
class ConfigurationSync {
public:
  ConfigurationSync(ConfigurationSettings aSettings, EntryId aSelf, DataCentre aDataCentre,
                    std::uint64_t aSeed);

  Step<ConfigurationOutcome> OnMessage(const EntryId& aFrom, const Message& aMessage, Time aNow);
  Step<ConfigurationOutcome> OnPlatformReply(const PlatformReply& aReply, Time aNow);
  /// The members as Membership::Members() returns them, with or without this entry.
  Step<ConfigurationOutcome> OnMembers(std::span<const MemberDigest> aMembers, Time aNow);
  /// A peer reported its revision in another message, such as a membership datagram.
  Step<ConfigurationOutcome> OnPeerRevision(const EntryId& aFrom, Revision aRevision, Time aNow);
  Step<ConfigurationOutcome> Tick(Time aNow);

  ConfigurationStatus Status(Time aNow) const;
  /// The configuration in force; null while there is none.
  std::shared_ptr<const Configuration> Current() const { return m_current; }
  /// The newest revision held here, parseable or not. Zero while there is none.
  Revision NewestRevision() const { return m_history.Newest().m_revision; }
  /// Time since the held revision was last known to be the platform's newest.
  Duration Age(Time aNow) const;
  bool IsWatcher() const { return m_isWatcher; }

private:
  using Outcomes = Step<ConfigurationOutcome>;

  struct Peer {
    EntryId m_entry;
    DataCentre m_dataCentre;
    bool m_leaving = false;
  };
  struct Query {
    EntryId m_peer;
    Time m_sentAt;
  };
  struct DataCentreState {
    /// When a member was last known to be alive there.
    Time m_aliveAt;
    /// When the query was sent whose response reported that the platform is unreachable there.
    std::optional<Time> m_confirmedDownAt;
    /// The number of data centres known to the responding entry.
    std::uint32_t m_knownDataCentres = 0;
  };
  struct Call {
    std::uint64_t m_number = 0;
    Time m_sentAt;
  };

  // ConfigurationSync.cpp
  void EnsureStarted(Time aNow);
  Outcomes Adopt(ConfigurationText aDocument, Time aNow);
  void Confirm(Time aAsOf);
  void CallPlatformIfDue(Outcomes& aStep, Time aNow);
  bool IsCallWanted(Time aNow) const;
  void ExpireCall(Time aNow);
  PlatformRequest MakeRequest() const;
  Duration WaitBetweenCalls();
  bool IsUpToDate(const PlatformReply& aReply) const;
  Outcomes OnKeys(const PlatformReply& aReply, Time aSent, Time aNow);
  bool IsDownForAll(Time aNow) const;
  bool IsRemembered(const DataCentre& aName, const DataCentreState& aSeen, Time aNow) const;
  std::uint32_t CountDataCentres(Time aNow) const;

  // ConfigurationPeers.cpp
  Outcomes OnOffer(const EntryId& aFrom, const ConfigurationOffer& aOffer, Time aNow);
  Outcomes OnRequest(const EntryId& aFrom, const ConfigurationRequest& aRequest);
  Outcomes OnDocument(const ConfigurationDocument& aDocument, Time aNow);
  Outcomes OnDelta(const EntryId& aFrom, const ConfigurationDelta& aDelta, Time aNow);
  void OnAnswer(const EntryId& aFrom, const ConfigurationOffer& aOffer, Time aNow);
  void RecordPeerRevision(const EntryId& aFrom, Revision aRevision);
  void FetchIfDue(Outcomes& aStep, Time aNow);
  void QueryPeersIfDue(Outcomes& aStep, Time aNow);
  void QueryEachDataCentre(Outcomes& aStep, Time aNow);
  void SendQuery(Outcomes& aStep, const EntryId& aPeer, Time aNow);
  void Announce(Outcomes& aStep, Time aNow);
  ConfigurationOffer MakeOffer(Time aNow) const;
  void ChooseWatchers();
  std::vector<EntryId> RandomPeers(bool aLocal, std::size_t aCount);
  const Peer* FindPeer(const EntryId& aEntry) const;

  ConfigurationSettings m_settings;
  EntryId m_self;
  DataCentre m_dataCentre;
  Random m_random;

  std::shared_ptr<const Configuration> m_current;
  ConfigurationHistory m_history;
  /// The highest revision reported by anyone: platform replies below it are not trusted.
  Revision m_highestSeen = 0;
  /// The peer that last reported a revision newer than the one held.
  EntryId m_newerPeer;
  /// The held revision was the platform's newest at this time.
  std::optional<Time> m_confirmedAt;
  std::optional<Time> m_startedAt;
  bool m_peerAnswered = false;

  std::vector<Peer> m_peers;
  std::vector<EntryId> m_localWatchers;
  std::map<DataCentre, DataCentreState> m_dataCentres;
  bool m_isWatcher = true;
  bool m_selfLeaving = false;

  std::uint64_t m_lastNumber = 0;
  std::optional<Call> m_call;
  /// Changes up to this revision have been processed.
  Revision m_watchAfter = 0;
  Time m_nextCall{};
  Time m_nextQuery{};
  Time m_nextQueryAll{};
  Time m_nextFetch{};
  bool m_queryWatcher = true;
  std::map<std::uint64_t, Query> m_queries;
};

} // namespace fennelline
