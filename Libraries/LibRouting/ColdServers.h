#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace fennelline {

/// The highest rate of permits for a server, and the most that may be left unused at a time.
struct PermitTerms {
  double m_perSecond = 0.0;
  double m_mostUnused = 0.0;
};

/// The bound for the cold servers of a service: in no second does one get more requests than
/// m_perSecond x m_overage + m_slack, from all entries together.
struct ColdRules {
  /// For how long a server is cold after a start.
  Duration m_coldTime{0};
  /// Requests per second that a cold server can handle; zero if the servers are never cold.
  double m_perSecond = 0.0;
  /// Zero if the deployment does not bound what cold servers get.
  double m_overage = 0.0;
  double m_slack = 0.0;

  bool IsOn() const { return m_perSecond > 0.0 && m_overage > 0.0; }
  /// Permits such that the requests that arrive within a second keep to the bound, although each
  /// may be held up on its way.
  PermitTerms Terms() const;
  /// As many requests within a second, from all entries or from a single one, mean that permits
  /// have to be asked for, although the server is not known to be cold: it may be, and the next
  /// requests may follow before all entries know.
  std::size_t CrowdedFrom() const;
  std::size_t CrowdedFromOne() const;
};

/// Returns the terms that keep to both; none if neither is given.
std::optional<PermitTerms> Stricter(std::optional<PermitTerms> aOne,
                                    std::optional<PermitTerms> aOther);

/// What a server's state as cold or warm is known from.
enum class ColdCause : std::uint8_t { Start, Return, Record, Answer, Notice };

constexpr NameTable<ColdCause, 5> kColdCauseNames = {{
  {ColdCause::Start, "start"},
  {ColdCause::Return, "return"},
  {ColdCause::Record, "record"},
  {ColdCause::Answer, "answer"},
  {ColdCause::Notice, "notice"},
}};

/// What an entry knows of until when one start of a backend server is cold. The newest knowledge
/// wins.
class ColdState {
public:
  /// The server started at this time, or was taken back from an evacuation: it is cold for the
  /// service's cold time, unless newer knowledge says otherwise.
  void OnStarted(Time aNow) { Begin(aNow, ColdCause::Start); }
  void OnReturned(Time aNow) { Begin(aNow, ColdCause::Return); }
  /// Its record says for how long it stays cold; zero says nothing if no record of it did before.
  void OnRecord(Duration aLeft, Time aNow);
  /// An answer to a request that was sent at aSentAt says for how long it stays cold.
  void OnAnswer(Duration aLeft, Time aSentAt, Time aNow);
  /// Another entry knows, as of a time, until when it is cold. Returns whether that is news.
  bool OnNotice(Time aUntil, Time aAsOf);

  /// Until when it counts as cold; in the past if it does not.
  Time Until(const ColdRules& aRules) const;
  bool IsCold(const ColdRules& aRules, Time aNow) const {
    return aRules.IsOn() && aNow < Until(aRules);
  }
  Time AsOf() const { return std::max(m_begunAt, m_saidAt); }
  ColdCause Cause() const { return m_saidAt > m_begunAt ? m_saidBy : m_begunBy; }

private:
  void Begin(Time aNow, ColdCause aCause);
  void Say(Time aUntil, Time aAsOf, ColdCause aCause);

  /// When it started or returned last, as far as seen.
  Time m_begunAt{};
  ColdCause m_begunBy = ColdCause::Start;
  /// What a record, an answer or another entry has said last.
  Time m_saidUntil{};
  Time m_saidAt{};
  ColdCause m_saidBy = ColdCause::Record;
  bool m_hasColdRecord = false;
};

} // namespace fennelline
