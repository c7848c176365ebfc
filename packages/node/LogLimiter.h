/** \file
 * Bounds the volume of the log: at most so many lines of one event in a second.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarway {

/** Lines of one event in a second. At 20 events of 300 bytes this is 120 KB/s at the very most; an
 * overload brings three or four events. */
inline constexpr std::uint32_t kMaxLinesPerEvent = 20;

/** How many lines of an event were left out in the second before. */
struct OmittedLines
{
  std::string event_;
  std::uint64_t count_ = 0;

  bool operator==(const OmittedLines&) const = default;
};

class LogLimiter
{
public:
  /** Whether a line of the event may be written now. */
  bool Admit(const std::string& aEvent, Instant aNow);

  /** What was left out in the seconds that have ended; each is returned once. */
  std::vector<OmittedLines> TakeOmitted(Instant aNow);

private:
  void BeginSecond(Instant aNow);

  Instant secondEndsAt_;
  std::map<std::string, std::uint64_t> lines_;
  std::vector<OmittedLines> omitted_;
};

} // namespace fulmarway
