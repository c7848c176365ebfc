/** \file
 * Signals that an operator or the platform sends to the process.
 */
#pragma once

#include <atomic>

namespace fulmarway {

struct ReceivedSignals
{
  /** Number of SIGTERM and SIGINT signals. */
  std::atomic<int> stops_{ 0 };
  /** Number of SIGHUP signals. */
  std::atomic<int> reloads_{ 0 };
};

/** Counts signals in aSignals, which must outlive the process. A SIGINT after another stop signal
 * ends the process at once; a SIGTERM never does, since supervisors and scripts may repeat it while
 * requests are in progress. */
void
InstallSignalHandlers(ReceivedSignals& aSignals);

} // namespace fulmarway
