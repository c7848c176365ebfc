#include "node/LogLimiter.h"

#include <utility>

namespace fulmarway {

void
LogLimiter::BeginSecond(Instant aNow)
{
  if (aNow < secondEndsAt_) {
    return;
  }
  for (const auto& [event, count] : lines_) {
    if (count > kMaxLinesPerEvent) {
      omitted_.push_back({ event, count - kMaxLinesPerEvent });
    }
  }
  lines_.clear();
  secondEndsAt_ = aNow + std::chrono::seconds(1);
}

bool
LogLimiter::Admit(const std::string& aEvent, Instant aNow)
{
  BeginSecond(aNow);
  return ++lines_[aEvent] <= kMaxLinesPerEvent;
}

std::vector<OmittedLines>
LogLimiter::TakeOmitted(Instant aNow)
{
  BeginSecond(aNow);
  return std::exchange(omitted_, {});
}

} // namespace fulmarway
