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

/// How an entry keeps up with the configuration.
struct ConfigurationSettings {
  std::string m_key = kConfigurationKey;
  /// Entries of each data centre that watch the platform. The rest hear from peers.
  std::size_t m_watchersPerDataCentre = 1;
  /// The least number of watchers, where there are few data centres.
  std::size_t m_leastWatchers = 3;
  /// How long one watch waits at the platform.
  Duration m_watchWait = Milliseconds(500);
  /// A call without a reply for this long counts as lost.
  Duration m_callTimeout = Seconds(3);
  /// The wait after a call that failed.
  Duration m_retryWait = Milliseconds(300);
  /// All entries together make about one call in this time when the platform is silent.
  Duration m_fleetCallSpacing = Milliseconds(10);
  /// The wait between questions to peers while the knowledge is older than m_askAfter.
  Duration m_askInterval = Milliseconds(250);
  Duration m_askAfter = Milliseconds(600);
  /// A peer that has not reached the platform for this long counts as out of its reach.
  Duration m_outOfReachAfter = Milliseconds(1500);
  /// Every data centre is asked this often while the platform is out of reach.
  Duration m_askAllInterval = Seconds(1);
  /// Without a confirmation for this long, new work is refused as not run.
  Duration m_cutOffLimit = Seconds(3);
  /// A starting entry that hears from no peer goes on by the platform alone after this time.
  Duration m_startWait = Seconds(1);
  /// The data centres that count among "all" from the start, before a member of theirs is known.
  /// Without them a new VM whose data centre is cut off could take it for the whole.
  std::vector<DataCentre> m_dataCentres;
  /// A data centre without a live member counts among "all" for this long.
  Duration m_dataCentreMemory = Seconds(600);
  /// Peers in the own data centre, and elsewhere, that a new revision is offered to.
  std::size_t m_nearFanOut = 6;
  std::size_t m_farFanOut = 2;
  /// Past documents kept to send differences against.
  std::size_t m_pastDocuments = 4;
};

/// A configuration came into force. Its m_revision grows from one to the next.
struct ConfigurationInForce {
  std::shared_ptr<const Configuration> m_configuration;
};

/// A newer document cannot be read by this program. The last good one stays in force.
struct ConfigurationUnreadable {
  Revision m_revision = 0;
  std::string m_reason;
};

using ConfigurationOutcome = std::variant<ConfigurationInForce, ConfigurationUnreadable>;

enum class ConfigurationStatus : std::uint8_t {
  /// Nothing is in force yet: refuse new work as not run.
  Starting,
  /// What is in force was the platform's newest within m_cutOffLimit.
  Current,
  /// Every data centre confirms that it cannot reach the platform either: serve on.
  PlatformDownForAll,
  /// Nobody can tell what is in force: refuse new work as not run.
  CutOff,
};

constexpr NameTable<ConfigurationStatus, 4> kConfigurationStatusNames = {{
  {ConfigurationStatus::Starting, "starting"},
  {ConfigurationStatus::Current, "current"},
  {ConfigurationStatus::PlatformDownForAll, "platform-down-for-all"},
  {ConfigurationStatus::CutOff, "cut-off"},
}};

/// Brings the operators' configuration into force on one entry, through few watchers and from peer
/// to peer. A revision that is lower than one known is never applied.
///
/// The caller
///  - calls Tick() at least each 100 ms (cheap when nothing is due);
///  - gives it the platform's replies with Component::Configuration, the messages
///  ConfigurationOffer,
///    ConfigurationRequest, ConfigurationDocument and ConfigurationDelta, the members whenever they
///    change, and the revision that each membership datagram carries;
///  - asks Status() before it takes new work, and Current() for the configuration.
///
/// A confirmation is an answer to a question of this entry, dated back to when the question was
/// sent. So a paused entry that wakes among old messages does not take them for news.
class ConfigurationSync {
public:
  ConfigurationSync(ConfigurationSettings aSettings, EntryId aSelf, DataCentre aDataCentre,
                    std::uint64_t aSeed);

  Step<ConfigurationOutcome> OnMessage(const EntryId& aFrom, const Message& aMessage, Time aNow);
  Step<ConfigurationOutcome> OnPlatformReply(const PlatformReply& aReply, Time aNow);
  /// The members as Membership::Members() tells them, this entry included or not.
  Step<ConfigurationOutcome> OnMembers(std::span<const MemberDigest> aMembers, Time aNow);
  /// A peer has told its revision in passing.
  Step<ConfigurationOutcome> OnPeerRevision(const EntryId& aFrom, Revision aRevision, Time aNow);
  Step<ConfigurationOutcome> Tick(Time aNow);

  ConfigurationStatus Status(Time aNow) const;
  /// The configuration in force; null while there is none.
  std::shared_ptr<const Configuration> Current() const { return m_current; }
  /// The newest revision held here, readable or not. Zero while there is none.
  Revision NewestRevision() const { return m_history.Newest().m_revision; }
  /// Time since what is held was last known to be the platform's newest.
  Duration Age(Time aNow) const;
  bool IsWatcher() const { return m_watcher; }

private:
  using Outcomes = Step<ConfigurationOutcome>;

  struct Peer {
    EntryId m_entry;
    DataCentre m_dataCentre;
    bool m_leaving = false;
  };
  struct Question {
    EntryId m_peer;
    Time m_asked;
  };
  struct DataCentreSeen {
    /// When a member was last known to be there.
    Time m_alive;
    /// When the question was sent whose answer said that the platform is out of reach there.
    std::optional<Time> m_confirmedDown;
    /// How many data centres the one that answered knows.
    std::uint32_t m_knownThere = 0;
  };
  struct Call {
    std::uint64_t m_number = 0;
    Time m_sent;
  };

  // ConfigurationSync.cpp
  void Begin(Time aNow);
  Outcomes Take(ConfigurationText aDocument, Time aNow);
  void Confirm(Time aAsOf);
  void CallPlatformIfDue(Outcomes& aStep, Time aNow);
  bool IsCallWanted(Time aNow) const;
  void ExpireCall(Time aNow);
  PlatformRequest MakeRequest() const;
  Duration WaitBetweenCalls();
  bool IsBelievable(const PlatformReply& aReply) const;
  Outcomes OnKeys(const PlatformReply& aReply, Time aSent, Time aNow);
  bool IsDownForAll(Time aNow) const;
  bool IsRemembered(const DataCentre& aName, const DataCentreSeen& aSeen, Time aNow) const;
  std::uint32_t CountDataCentres(Time aNow) const;

  // ConfigurationPeers.cpp
  Outcomes OnOffer(const EntryId& aFrom, const ConfigurationOffer& aOffer, Time aNow);
  Outcomes OnRequest(const EntryId& aFrom, const ConfigurationRequest& aRequest);
  Outcomes OnDocument(const ConfigurationDocument& aDocument, Time aNow);
  Outcomes OnDelta(const EntryId& aFrom, const ConfigurationDelta& aDelta, Time aNow);
  void OnAnswer(const EntryId& aFrom, const ConfigurationOffer& aOffer, Time aNow);
  void HearOf(const EntryId& aFrom, Revision aRevision);
  void FetchIfDue(Outcomes& aStep, Time aNow);
  void AskPeersIfDue(Outcomes& aStep, Time aNow);
  void AskEachDataCentre(Outcomes& aStep, Time aNow);
  void Ask(Outcomes& aStep, const EntryId& aPeer, Time aNow);
  void Announce(Outcomes& aStep, Time aNow);
  ConfigurationOffer MakeOffer(Time aNow) const;
  void ChooseWatchers();
  std::vector<EntryId> RandomPeers(bool aNear, std::size_t aCount);
  const Peer* FindPeer(const EntryId& aEntry) const;

  ConfigurationSettings m_settings;
  EntryId m_self;
  DataCentre m_dataCentre;
  Random m_random;

  std::shared_ptr<const Configuration> m_current;
  ConfigurationHistory m_history;
  /// The highest revision that anyone spoke of: platform replies below it are not believed.
  Revision m_highestHeard = 0;
  /// The peer that last spoke of a revision newer than what is held.
  EntryId m_newerAt;
  /// What is held was the platform's newest at this instant.
  std::optional<Time> m_confirmed;
  std::optional<Time> m_started;
  bool m_heardPeer = false;

  std::vector<Peer> m_peers;
  std::vector<EntryId> m_watchersHere;
  std::map<DataCentre, DataCentreSeen> m_dataCentres;
  bool m_watcher = true;
  bool m_selfLeaving = false;

  std::uint64_t m_lastNumber = 0;
  std::optional<Call> m_call;
  /// Changes up to here were looked at.
  Revision m_watchAfter = 0;
  Time m_nextCall{};
  Time m_nextAsk{};
  Time m_nextAskAll{};
  Time m_nextFetch{};
  bool m_askWatcher = true;
  std::map<std::uint64_t, Question> m_questions;
};

} // namespace fennelline
