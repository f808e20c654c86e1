#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibContract/Configuration.h"
#include "LibCoordination/Configuration/ApplyOperation.h"
#include "LibCoordination/PlatformCall.h"
#include "LibPlatform/KeyValueClient.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace fennelline {

/// The configuration document stored in the platform, with its revision.
struct StoredConfiguration {
  Revision m_revision = 0;
  std::string m_text;
};

/// Reads the system clock and sleeps in the calling thread.
struct BlockingClock {
  SystemClock m_clock;
  Time Now() const { return m_clock.Now(); }
  void Wait(Duration aDuration) const { std::this_thread::sleep_for(aDuration); }
};

/// The time source and sleep function that ConfigurationStore needs.
template<typename Clock>
concept IsStoreClock = requires(Clock aClock, Duration aDuration) {
  { aClock.Now() } -> std::same_as<Time>;
  aClock.Wait(aDuration);
};

/// Reads and writes the configuration in the platform's key-value service, with blocking calls.
template<IsKeyValueClient Client, IsStoreClock Clock>
class ConfigurationStore {
public:
  ConfigurationStore(Client& aClient, Clock& aClock)
    : m_client(aClient)
    , m_clock(aClock) {}

  Result<StoredConfiguration> Read() {
    const PlatformReply reply = Call(GetKey{kConfigurationKey});
    if (reply.m_status == PlatformStatus::NotFound) {
      return MakeError(ErrorCode::NotFound,
                       "the platform has no configuration yet; write the first one with "
                       "\"apply FILE --at 0\"");
    }
    if (reply.m_status != PlatformStatus::Ok || reply.m_keys.empty()) {
      return Unavailable();
    }
    return StoredConfiguration{reply.m_keys.front().m_revision, reply.m_keys.front().m_value};
  }

  /// Returns all keys with a prefix.
  Result<std::vector<KeyValue>> List(const std::string& aPrefix) {
    PlatformReply reply = Call(ListKeys{aPrefix});
    if (reply.m_status != PlatformStatus::Ok) {
      return Unavailable();
    }
    return std::move(reply.m_keys);
  }

  /// Writes the document if the stored one is still at revision aReadAt.
  ApplyOutcome Apply(const std::string& aText, Revision aReadAt) {
    ApplyOperation operation(
      ApplyInput{.m_text = aText, .m_baseRevision = aReadAt, .m_lastCallNumber = m_number});
    Step<ApplyOutcome> step = operation.Start(m_clock.Now());
    while (step.m_outcomes.empty()) {
      step = Advance(operation, step);
    }
    m_number = operation.LastCallNumber();
    return step.m_outcomes.front();
  }

private:
  /// Makes the platform call that the step asks for, or waits for one tick if there is none.
  Step<ApplyOutcome> Advance(ApplyOperation& aOperation, const Step<ApplyOutcome>& aStep) {
    for (const Effect& effect : aStep.m_effects) {
      if (const CallPlatform* call = std::get_if<CallPlatform>(&effect)) {
        const PlatformReply reply = m_client.Call(call->m_call, call->m_request);
        return aOperation.OnPlatformReply(reply, m_clock.Now());
      }
    }
    m_clock.Wait(kTick);
    return aOperation.Tick(m_clock.Now());
  }

  PlatformReply Call(const PlatformRequest& aRequest) {
    return m_client.Call(CallId{Component::Configuration, ++m_number}, aRequest);
  }

  static Error Unavailable() {
    return MakeError(ErrorCode::Unavailable,
                     "--platform: the key-value service is not available; check the address, or "
                     "wait until its outage ends");
  }

  static constexpr Duration kTick = Milliseconds(50);

  Client& m_client;
  Clock& m_clock;
  std::uint64_t m_number = 0;
};

} // namespace fennelline
