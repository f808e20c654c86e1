#pragma once

#include "LibBase/Error.h"
#include "LibPlatform/BackendCall.h"
#include "LibPlatform/HttpTransport.h"

#include <concepts>

namespace fennelline {

/// Changes of an engine's prefix cache. They arrive with a delay, and some may be missing.
struct EngineCacheEvents {
  /// Pass this as aAfter to the next call.
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

/// An HTTP client for model engines. Calls block and may be made from several threads.
class EngineClient {
public:
  EngineClient(HttpTransport& aTransport, Duration aTimeout);

  /// Runs or resumes a chat request and reports its response to the observer.
  void Chat(const BackendRequest& aRequest, const BackendObserver& aObserver, HttpCancel& aCancel);
  /// Tells the engine that the result of an attempt is no longer needed.
  void CancelStream(const std::string& aAddress, const std::string& aAttempt);

  Result<BackendLoad> Load(const std::string& aAddress);
  Result<EngineCacheEvents> CacheEvents(const std::string& aAddress, std::uint64_t aAfter,
                                        Duration aWait);
  /// Orders the engine to load or unload a version and returns the versions it has afterwards.
  /// Fails with Conflict if the engine checks fences and has seen a higher one.
  Result<std::vector<std::string>> Order(const std::string& aAddress, EngineOrder aOrder,
                                         const std::string& aVersion, std::uint64_t aFence);

private:
  HttpTransport& m_transport;
  Duration m_timeout;
};

static_assert(IsEngineClient<EngineClient>);

} // namespace fennelline
