/** \file
 * The log on standard output. A reader that does not keep up loses lines; the node never waits.
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
  /** Lines that were dropped because the output was full. */
  std::uint64_t Dropped() const { return dropped_; }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override;
  /** Writes what the output takes and drops the rest. */
  void flush_() override;

private:
  /** Whole lines that wait for a flush. */
  std::vector<std::string> lines_;
  std::atomic<std::uint64_t> dropped_{ 0 };
};

} // namespace fulmarway
