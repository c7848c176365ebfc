#include "LogOutput.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace fulmarway {

void
LogOutput::sink_it_(const spdlog::details::log_msg& aMessage)
{
  spdlog::memory_buf_t line;
  formatter_->format(aMessage, line);
  // A pipe that is ready takes this much at once, so the write does not wait.
  const std::size_t size = std::min<std::size_t>(line.size(), PIPE_BUF);
  pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
  const bool isReady = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
  if (!isReady || write(STDOUT_FILENO, line.data(), size) < 0) {
    ++dropped_;
  }
}

} // namespace fulmarway
