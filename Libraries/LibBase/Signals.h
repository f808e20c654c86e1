#pragma once

namespace fennelline {

/// Blocks SIGTERM and SIGINT in this thread and those it starts later. Call first in main().
void BlockStopSignals();

/// Waits until SIGTERM or SIGINT arrives.
void WaitForStopSignal();

} // namespace fennelline
