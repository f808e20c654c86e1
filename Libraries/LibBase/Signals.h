#pragma once

namespace fennelline {

/// Blocks SIGTERM and SIGINT in the calling thread and the threads it starts later, and ignores
/// SIGPIPE. Call this first in main().
void BlockStopSignals();

/// Waits until SIGTERM or SIGINT arrives.
void WaitForStopSignal();

} // namespace fennelline
