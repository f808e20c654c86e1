#pragma once

#include "LibPlatform/EngineClient.h"
#include "LibPlatform/ServiceClient.h"
#include "Services/Entry/EntryEffect.h"
#include "Services/Entry/Shell/BlockingCalls.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace fennelline {

/// Makes calls to backend servers and converts their results to events.
class BackendCaller {
public:
  using Post = std::function<void(Event)>;

  BackendCaller(HttpTransport& aTransport, BlockingCalls& aCalls, Post aPost);

  void Start(CallBackend aEffect);
  void Cancel(const CancelBackend& aEffect);

private:
  BackendObserver ObserverOf(BackendCallId aCall, const BackendServerId& aBackendServer);
  void Forget(BackendCallId aCall);

  BlockingCalls& m_calls;
  Post m_post;
  EngineClient m_engines;
  ServiceClient m_services;
  std::mutex m_mutex;
  std::unordered_map<BackendCallId, std::shared_ptr<HttpCancel>> m_open;
};

} // namespace fennelline
