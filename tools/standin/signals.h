// Waiting for the signal that ends a stand-in.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_SIGNALS_H_
#define MARJORAMSLIP_TOOLS_STANDIN_SIGNALS_H_

namespace standin {

/// Blocks SIGTERM and SIGINT in this thread and those it starts, and ignores
/// SIGPIPE. Call before any thread starts.
void BlockEndSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForEndSignal();

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_SIGNALS_H_
