#include "Services/Edge/StoreReply.h"

#include "platform/StoreCodec.h"

namespace fennelline {

PlatformReply ReadStoreReply(EdgeContext& aContext, const PlatformRequest& aRequest,
                             const CallResponse& aResponse) {
  PlatformReply reply = platform::DecodeStoreReply(aRequest, aResponse.m_status, aResponse.m_body);
  aContext.m_metrics.OnStoreCall(reply.m_status == PlatformStatus::Ok);
  const Result<std::optional<StoreEra>> era = platform::DecodeStoreEra(aResponse.m_headers);
  if (!era.IsError()) {
    reply.m_era = era.Get();
  } else if (aContext.m_unreadableEra != era.GetError().m_detail) {
    // The response is used as that of a store without eras.
    aContext.m_unreadableEra = era.GetError().m_detail;
    LogLine line("store-era-unreadable");
    line.Text("reason", era.GetError().m_detail);
    aContext.Log(LogPriority::Notable, line);
  }
  return reply;
}

} // namespace fennelline
