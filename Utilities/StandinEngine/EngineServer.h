#pragma once

#include "Utilities/StandinEngine/Engine.h"
#include "Utilities/StandinSupport/StandinServer.h"

namespace fennelline {

/// Routes of chat requests and their streams.
void AddChatRoutes(StandinServer& aServer, Engine& aEngine);
/// Routes of load reports, cache events, orders, the journal and the switches.
void AddEngineRoutes(StandinServer& aServer, Engine& aEngine);

} // namespace fennelline
