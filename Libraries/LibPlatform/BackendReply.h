#pragma once

#include "LibBase/Error.h"
#include "LibPlatform/BackendCall.h"
#include "LibPlatform/HttpTransport.h"

namespace fennelline {

/// Calls a backend server and buffers the complete response.
HttpReply CallBuffered(HttpTransport& aTransport, const BackendRequest& aRequest,
                       const HttpRequest& aHttpRequest, HttpCancel& aCancel);

/// Whether a complete reply with status 200 was received.
bool IsSuccess(const HttpReply& aReply);

/// Reports an unsuccessful call to the observer. aIsResume: the call tried to resume a stream.
void ReportFailure(const HttpReply& aReply, bool aIsResume, const BackendObserver& aObserver);

/// Requests the load report (GET /load) of an engine or a plain service.
Result<BackendLoad> ReadLoad(HttpTransport& aTransport, const std::string& aAddress,
                             Duration aTimeout);

} // namespace fennelline
