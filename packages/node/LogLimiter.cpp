#include "node/LogLimiter.h"

#include <utility>

namespace fulmarway {

void
LogLimiter::AdvanceWindow(Instant aNow)
{
  if (aNow < windowEndsAt_) {
    return;
  }
  for (const auto& [event, count] : lineCounts_) {
    if (count > kMaxLinesPerEventPerSecond) {
      omittedLines_.push_back({ event, count - kMaxLinesPerEventPerSecond });
    }
  }
  lineCounts_.clear();
  windowEndsAt_ = aNow + std::chrono::seconds(1);
}

bool
LogLimiter::Admit(const std::string& aEvent, Instant aNow)
{
  AdvanceWindow(aNow);
  return ++lineCounts_[aEvent] <= kMaxLinesPerEventPerSecond;
}

std::vector<OmittedLines>
LogLimiter::ExtractOmittedLines(Instant aNow)
{
  AdvanceWindow(aNow);
  return std::exchange(omittedLines_, {});
}

} // namespace fulmarway
