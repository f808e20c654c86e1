#pragma once

#include "LibRouting/AnswerLength.h"
#include "LibRouting/ServerSpeed.h"
#include "Services/Edge/EdgeContext.h"
#include "Services/Edge/Members.h"

#include <string>

namespace fennelline {

/// What this entry knows of the servers' speed and of the length of answers, and the exchange of
/// speeds with other entries. Each entry tells only what it has seen by itself, so that nothing is
/// counted twice.
class ServerSpeeds {
public:
  ServerSpeeds(EdgeContext& aContext, Members& aMembers)
    : m_context(aContext)
    , m_members(aMembers) {}

  ServerSpeed& Speeds() { return m_speeds; }
  AnswerLength& Lengths() { return m_lengths; }
  /// Tells a few random entries, and forgets servers that are gone. Called once a second.
  void OnSecond();
  /// Returns whether the message is about the servers' speed.
  bool OnPeerMessage(const std::string& aMessage);
  std::size_t CountSlow() const { return m_speeds.CountSlow(m_context.m_loop.Now()); }

private:
  EdgeContext& m_context;
  Members& m_members;
  ServerSpeed m_speeds;
  AnswerLength m_lengths;
};

} // namespace fennelline
