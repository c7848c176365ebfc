/** \file
 * A log sink that writes to standard output without blocking. Lines are dropped when the reader
 * does not keep up.
 */
#pragma once

#include <atomic>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <string>
#include <vector>

namespace fulmarway {

class LogOutput : public spdlog::sinks::base_sink<std::mutex>
{
public:
  /** Number of lines dropped because the output was full. */
  std::uint64_t DroppedLines() const { return droppedLines_; }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override;
  /** Writes lines while the output accepts them without blocking, and drops the rest. */
  void flush_() override;

private:
  /** Formatted lines that wait for the next flush. */
  std::vector<std::string> lines_;
  std::atomic<std::uint64_t> droppedLines_{ 0 };
};

} // namespace fulmarway
