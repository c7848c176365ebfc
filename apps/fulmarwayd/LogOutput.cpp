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
  // flush_() cannot write more than PIPE_BUF bytes without blocking. A longer line loses the rest,
  // including its line feed.
  lines_.emplace_back(line.data(), std::min<std::size_t>(line.size(), PIPE_BUF));
}

void
LogOutput::flush_()
{
  std::size_t next = 0;
  while (next < lines_.size()) {
    // The event loop flushes, so a write must not wait for the reader. A pipe that polls as
    // writable accepts PIPE_BUF bytes at once. A regular file always polls as writable.
    std::string block;
    std::size_t end = next;
    while (end < lines_.size() && block.size() + lines_[end].size() <= PIPE_BUF) {
      block += lines_[end++];
    }
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    const bool isReady = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    if (!isReady || write(STDOUT_FILENO, block.data(), block.size()) < 0) {
      droppedLines_ += lines_.size() - next;
      break;
    }
    next = end;
  }
  lines_.clear();
}

} // namespace fulmarway
