#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace fennelline {

/// Number of entries that remember a session. One that has just restarted or cannot be reached does
/// not matter then.
constexpr std::size_t kSessionWitnesses = 3;

/// Returns the positions of the entries that remember a session, by rendezvous hashing over the
/// hashes of the live entries. All entries with the same members choose the same ones, so the
/// number of messages for a session does not grow with the fleet.
std::vector<std::size_t> ChooseSessionWitnesses(std::uint64_t aSession,
                                                std::span<const std::uint64_t> aLiveEntries);

/// Collects what the witnesses of one session answer.
class SessionInquiry {
public:
  explicit SessionInquiry(std::size_t aAsked)
    : m_unanswered(aAsked) {}

  /// aIsRunning: whether the witness knows that the session runs on the version being replaced.
  void OnAnswer(bool aIsRunning);
  /// Whether no further answer can change the result.
  bool IsDecided() const { return m_isRunning || m_unanswered == 0; }
  /// Whether the session stays on the version being replaced. It does if no witness answered: a
  /// version on trial can do without it, but a session must not change its version.
  bool StaysOnOldVersion() const { return m_isRunning || m_answers == 0; }

private:
  std::size_t m_unanswered;
  std::size_t m_answers = 0;
  bool m_isRunning = false;
};

/// Asks a witness of a session whether it runs on the version being replaced.
struct SessionQuestion {
  std::uint64_t m_number = 0;
  std::uint64_t m_session = 0;
  /// Datagram address of the asking entry.
  std::string m_replyTo;
};

struct SessionAnswer {
  std::uint64_t m_number = 0;
  bool m_isRunning = false;
};

std::string EncodeSessionQuestion(const SessionQuestion& aQuestion);
Result<SessionQuestion> DecodeSessionQuestion(const std::string& aBytes);
std::string EncodeSessionAnswer(const SessionAnswer& aAnswer);
Result<SessionAnswer> DecodeSessionAnswer(const std::string& aBytes);

} // namespace fennelline
