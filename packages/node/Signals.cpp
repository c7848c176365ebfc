#include "node/Signals.h"

#include <csignal>
#include <cstdlib>
#include <unistd.h>

namespace fulmarway {

namespace {

// Handlers have no parameter for it.
ReceivedSignals* gSignals = nullptr;

void
HandleTerminate(int)
{
  gSignals->stops_.fetch_add(1);
}

void
HandleInterrupt(int)
{
  if (gSignals->stops_.fetch_add(1) > 0) {
    _exit(EXIT_FAILURE);
  }
}

void
HandleReload(int)
{
  gSignals->reloads_.fetch_add(1);
}

} // namespace

void
InstallSignalHandlers(ReceivedSignals& aSignals)
{
  gSignals = &aSignals;
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, HandleTerminate);
  std::signal(SIGINT, HandleInterrupt);
  std::signal(SIGHUP, HandleReload);
}

} // namespace fulmarway
