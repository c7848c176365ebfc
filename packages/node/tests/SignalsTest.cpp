/** \file
 * Guards against signals that end a process with requests in progress.
 */
#include "node/Signals.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace fulmarway;

namespace {

ReceivedSignals gReceived;

} // namespace

/** A repeated SIGTERM must not shorten the stop that the first one began (LOST). */
Test(signals, repeated_sigterm_ends_no_requests)
{
  InstallSignalHandlers(gReceived);
  std::raise(SIGINT);
  for (int i = 0; i < 3; ++i) {
    std::raise(SIGTERM);
  }
  std::raise(SIGHUP);
  cr_expect_eq(gReceived.stops_.load(), 4);
  cr_expect_eq(gReceived.reloads_.load(), 1);
}

/** Guards against a process that an operator can't interrupt at a terminal. */
Test(signals, second_sigint_ends_the_process, .exit_code = 1)
{
  InstallSignalHandlers(gReceived);
  std::raise(SIGTERM);
  std::raise(SIGINT);
}
