#pragma once

#include "LibBase/Error.h"
#include "LibPlatform/BackendCall.h"
#include "LibPlatform/HttpTransport.h"

namespace fennelline {

/// Calls a backend server and collects the whole answer.
HttpReply CallWhole(HttpTransport& aTransport, const BackendRequest& aRequest,
                    const HttpRequest& aHttpRequest, HttpCancel& aCancel);

/// Whether a whole reply with status 200 came.
bool IsGood(const HttpReply& aReply);

/// Tells the observer why a call has no good answer. aIsResume: a stream was to be resumed.
void ReportFailure(const HttpReply& aReply, bool aIsResume, const BackendObserver& aObserver);

/// Reads GET /load of an engine or a plain service.
Result<BackendLoad> ReadLoad(HttpTransport& aTransport, const std::string& aAddress,
                             Duration aTimeout);

} // namespace fennelline
