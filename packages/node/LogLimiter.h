/** \file
 * Rate limit of the log: a maximum number of lines per event name and second.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarway {

/** With 20 event names and 300 bytes a line, the log grows by at most 120 KB/s; an overload writes
 * three or four event names. */
inline constexpr std::uint32_t kMaxLinesPerEventPerSecond = 20;

/** Number of lines of an event that were omitted within one second. */
struct OmittedLines
{
  std::string event_;
  std::uint64_t count_ = 0;

  bool operator==(const OmittedLines&) const = default;
};

class LogLimiter
{
public:
  /** Counts a line of the event and returns whether it may be written. */
  bool Admit(const std::string& aEvent, Instant aNow);

  /** Returns the lines omitted in completed seconds, each once. */
  std::vector<OmittedLines> ExtractOmittedLines(Instant aNow);

private:
  void AdvanceWindow(Instant aNow);

  Instant windowEndsAt_;
  std::map<std::string, std::uint64_t> lineCounts_;
  std::vector<OmittedLines> omittedLines_;
};

} // namespace fulmarway
