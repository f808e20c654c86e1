#pragma once

#include "LibBase/Error.h"
#include "LibHttp/HeaderList.h"

#include <cstdint>

namespace fennelline {

/// What an entry without a path to the backend servers tells another entry about a request that it
/// passes on. The other one treats the request as a caller's in all else: it checks the key itself.
struct PassedOnRequest {
  /// Backend servers that may still run it.
  int m_runsLeft = 1;
  /// The configuration that the request is allowed by. An entry with an older one does not take it.
  std::int64_t m_configuration = 0;
};

void AddPassedOn(HeaderList& aHeaders, const PassedOnRequest& aRequest);
/// Takes it out of the headers.
Result<PassedOnRequest> TakePassedOn(HeaderList& aHeaders);

/// Marks an answer by which an entry does not take a request that another one may take. It has not
/// run.
void AddNotTaken(HeaderList& aHeaders);
bool IsNotTaken(const HeaderList& aHeaders);

} // namespace fennelline
