#include "LibPlatform/ServiceClient.h"

#include "LibPlatform/BackendReply.h"

namespace fennelline {

ServiceClient::ServiceClient(HttpTransport& aTransport, Duration aTimeout)
  : m_transport(aTransport)
  , m_timeout(aTimeout) {}

void ServiceClient::Call(const BackendRequest& aRequest, const BackendObserver& aObserver,
                         HttpCancel& aCancel) {
  const HttpRequest request{.m_method = "POST",
                            .m_target = aRequest.m_path,
                            .m_headers = {{"Fennelline-Attempt", aRequest.m_attempt}},
                            .m_body = aRequest.m_body.empty() ? "{}" : aRequest.m_body};
  const HttpReply reply = CallBuffered(m_transport, aRequest, request, aCancel);
  if (!IsSuccess(reply)) {
    ReportFailure(reply, false, aObserver);
    return;
  }
  aObserver.m_head(reply.m_status, reply.m_contentType);
  aObserver.m_chunk(reply.m_body, 0, 0);
  aObserver.m_finished(BackendUsage{});
}

Result<BackendLoad> ServiceClient::Load(const std::string& aAddress) {
  return ReadLoad(m_transport, aAddress, m_timeout);
}

} // namespace fennelline
