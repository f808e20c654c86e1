#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/PlatformCall.h"

#include <functional>
#include <map>
#include <string>

namespace fennelline::test {

/// An in-memory key-value service with fault injection.
class FakePlatform {
public:
  PlatformReply Call(const CallId& aCall, const PlatformRequest& aRequest) {
    ++m_calls;
    if (m_beforeCall) {
      m_beforeCall(aRequest);
    }
    PlatformReply reply;
    if (!m_down) {
      reply = std::visit([this](const auto& aItem) { return Answer(aItem); }, aRequest);
    }
    reply.m_call = aCall;
    const bool isWrite = std::holds_alternative<PutKey>(aRequest);
    if (isWrite && m_loseNextWriteReply) {
      m_loseNextWriteReply = false;
      reply = PlatformReply{.m_call = aCall, .m_status = PlatformStatus::Unknown};
    }
    return reply;
  }

  Revision Write(const std::string& aKey, const std::string& aValue) {
    m_keys[aKey] = {aKey, aValue, ++m_revision};
    return m_revision;
  }
  const std::string& Value(const std::string& aKey) { return m_keys[aKey].m_value; }

  bool m_down = false;
  bool m_loseNextWriteReply = false;
  std::function<void(const PlatformRequest&)> m_beforeCall;
  int m_calls = 0;

private:
  PlatformReply Answer(const GetKey& aGet) {
    const auto found = m_keys.find(aGet.m_key);
    PlatformReply reply{.m_status = PlatformStatus::NotFound, .m_revision = m_revision};
    if (found != m_keys.end()) {
      reply.m_status = PlatformStatus::Ok;
      reply.m_keys = {found->second};
    }
    return reply;
  }

  PlatformReply Answer(const ListKeys& aList) {
    PlatformReply reply{.m_status = PlatformStatus::Ok, .m_revision = m_revision};
    for (const auto& [key, value] : m_keys) {
      if (key.starts_with(aList.m_prefix)) {
        reply.m_keys.push_back(value);
      }
    }
    return reply;
  }

  PlatformReply Answer(const PutKey& aPut) {
    const auto found = m_keys.find(aPut.m_key);
    const Revision present = found == m_keys.end() ? kAbsent : found->second.m_revision;
    if (present != aPut.m_expected) {
      PlatformReply reply{.m_status = PlatformStatus::Conflict, .m_revision = m_revision};
      if (found != m_keys.end()) {
        reply.m_keys = {found->second};
      }
      return reply;
    }
    Write(aPut.m_key, aPut.m_value);
    return {.m_status = PlatformStatus::Ok, .m_revision = m_revision};
  }

  template<typename Other>
  PlatformReply Answer(const Other& /*aOther*/) {
    return {};
  }

  std::map<std::string, KeyValue> m_keys;
  Revision m_revision = 0;
};

/// A manual clock that advances by the duration of each wait, and by 1 ms at each read.
struct FakeClock {
  Time m_now{Seconds(1'800'000'000)};
  Time Now() { return m_now += Milliseconds(1); }
  void Wait(Duration aDuration) { m_now += aDuration; }
};

} // namespace fennelline::test
