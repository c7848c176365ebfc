/** \file
 * The log on standard output. A reader that does not keep up loses lines; the node never waits.
 */
#pragma once

#include <atomic>
#include <mutex>
#include <spdlog/sinks/base_sink.h>

namespace fulmarway {

class LogOutput : public spdlog::sinks::base_sink<std::mutex>
{
public:
  /** Lines that were dropped because the output was full. */
  std::uint64_t Dropped() const { return dropped_; }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override;
  void flush_() override {}

private:
  std::atomic<std::uint64_t> dropped_{ 0 };
};

} // namespace fulmarway
