#include "LogStore.h"

#include <algorithm>
#include <utility>

namespace fulmarway {

LogStore::LogStore(const LogStoreSettings& aSettings)
  : settings_(aSettings)
{
}

void
LogStore::Expire(Clock::time_point aNow)
{
  while (!entries_.empty() && entries_.front().appendedAt_ + settings_.retention_ <= aNow) {
    entries_.pop_front();
    ++earliest_;
  }
}

std::optional<std::uint64_t>
LogStore::Append(std::string aBytes, Clock::time_point aNow)
{
  Expire(aNow);
  while (!recentAppends_.empty() && recentAppends_.front() + std::chrono::seconds(1) <= aNow) {
    recentAppends_.pop_front();
  }
  if (recentAppends_.size() >= settings_.appendsPerSecond_) {
    return std::nullopt;
  }
  recentAppends_.push_back(aNow);
  entries_.push_back({ aNow, std::move(aBytes) });
  return earliest_ + entries_.size() - 1;
}

LogPage
LogStore::Read(std::uint64_t aFrom, std::size_t aLimit, Clock::time_point aNow)
{
  LogPage page{ Offsets(aNow), {} };
  std::size_t bytes = 0;
  for (std::uint64_t offset = std::max(aFrom, earliest_);
       offset < page.offsets_.latest_ && page.records_.size() < aLimit && bytes < kMaxPageBytes;
       ++offset) {
    const std::string& record = entries_[offset - earliest_].bytes_;
    bytes += record.size();
    page.records_.push_back({ offset, record });
  }
  return page;
}

LogOffsets
LogStore::Offsets(Clock::time_point aNow)
{
  Expire(aNow);
  return { earliest_, earliest_ + entries_.size() };
}

} // namespace fulmarway
