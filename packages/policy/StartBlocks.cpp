#include "policy/StartBlocks.h"

#include <algorithm>

namespace fulmarway {

namespace {

constexpr Duration kBlockInterval = std::chrono::milliseconds(100);
constexpr double kMinEndedShare = 0.75;
/** Number of blocks retained at the start of a new series; they still measure the state before it.
 */
constexpr std::size_t kRetainedBlocks = 4;

} // namespace

std::optional<SampleIndex>
AddStart(StartBlocks& aBlocks, std::uint64_t aKindKey, Instant aNow)
{
  std::deque<StartBlock>& blocks = aBlocks.blocks_;
  if (blocks.empty() || blocks.back().closed_) {
    if (blocks.size() >= kMaxBlocks || aNow < aBlocks.nextOpenAt_) {
      return std::nullopt;
    }
    blocks.push_back({ aBlocks.nextNumber_++, false, {} });
    aBlocks.nextOpenAt_ = aNow + kBlockInterval;
  }
  StartBlock& block = blocks.back();
  block.entries_.push_back({ aKindKey, aNow, aNow, ServiceOutcome::kRunning });
  block.closed_ = block.entries_.size() >= kBlockSize;
  return SampleIndex{ block.number_, static_cast<std::uint32_t>(block.entries_.size() - 1) };
}

void
MarkEnd(StartBlocks& aBlocks, SampleIndex aSampleIndex, ServiceOutcome aOutcome, Instant aNow)
{
  for (StartBlock& block : aBlocks.blocks_) {
    if (block.number_ == aSampleIndex.block_) {
      BlockEntry& entry = block.entries_.at(aSampleIndex.index_);
      entry.outcome_ = aOutcome;
      entry.endedAt_ = aNow;
    }
  }
}

void
CloseOpenBlock(StartBlocks& aBlocks, std::size_t aMinimum)
{
  if (!aBlocks.blocks_.empty() && aBlocks.blocks_.back().entries_.size() >= aMinimum) {
    aBlocks.blocks_.back().closed_ = true;
    aBlocks.nextOpenAt_ = Instant{};
  }
}

void
BeginNewSeries(StartBlocks& aBlocks)
{
  CloseOpenBlock(aBlocks, 0);
  aBlocks.nextOpenAt_ = Instant{};
  while (aBlocks.blocks_.size() > kRetainedBlocks) {
    aBlocks.blocks_.pop_front();
  }
}

bool
HasMostlyEnded(const StartBlock& aBlock)
{
  const auto ended =
    std::count_if(aBlock.entries_.begin(), aBlock.entries_.end(), [](const BlockEntry& aEntry) {
      return aEntry.outcome_ != ServiceOutcome::kRunning;
    });
  return static_cast<double>(ended) >= kMinEndedShare * static_cast<double>(aBlock.entries_.size());
}

} // namespace fulmarway
