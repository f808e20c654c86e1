#pragma once

#include "LibBase/Error.h"
#include "LibPlatform/BackendCall.h"
#include "LibPlatform/HttpTransport.h"

#include <concepts>

namespace fennelline {

/// What changed in an engine's prefix cache. Late, and with gaps.
struct EngineCacheEvents {
  /// Pass it as aAfter of the next call.
  std::uint64_t m_next = 0;
  bool m_gap = false;
  std::vector<std::uint64_t> m_added;
  std::vector<std::uint64_t> m_removed;
};

enum class EngineOrder : std::uint8_t { Load, Unload };

template<typename Client>
concept IsEngineClient = requires(Client aClient, const BackendRequest& aRequest,
                                  const BackendObserver& aObserver, HttpCancel& aCancel,
                                  const std::string& aText, EngineOrder aOrder) {
  aClient.Chat(aRequest, aObserver, aCancel);
  aClient.CancelStream(aText, aText);
  { aClient.Load(aText) } -> std::same_as<Result<BackendLoad>>;
  { aClient.CacheEvents(aText, 0, Duration{0}) } -> std::same_as<Result<EngineCacheEvents>>;
  { aClient.Order(aText, aOrder, aText, 0) } -> std::same_as<Result<std::vector<std::string>>>;
};

/// Model engines over HTTP. Calls block and may come from several threads.
class EngineClient {
public:
  EngineClient(HttpTransport& aTransport, Duration aTimeout);

  /// Runs or resumes a chat request and tells the observer what comes.
  void Chat(const BackendRequest& aRequest, const BackendObserver& aObserver, HttpCancel& aCancel);
  /// Tells the engine that an attempt's result is of no more use.
  void CancelStream(const std::string& aAddress, const std::string& aAttempt);

  Result<BackendLoad> Load(const std::string& aAddress);
  Result<EngineCacheEvents> CacheEvents(const std::string& aAddress, std::uint64_t aAfter,
                                        Duration aWait);
  /// The versions that the engine then has. Conflict when it checks fences and knows a higher one.
  Result<std::vector<std::string>> Order(const std::string& aAddress, EngineOrder aOrder,
                                         const std::string& aVersion, std::uint64_t aFence);

private:
  HttpTransport& m_transport;
  Duration m_timeout;
};

static_assert(IsEngineClient<EngineClient>);

} // namespace fennelline
