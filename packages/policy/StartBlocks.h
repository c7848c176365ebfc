/** \file
 * Sampled requests, grouped into blocks in the order of their start.
 *
 * Statistics are taken over blocks of starts and not over completions: after a change, the first
 * requests to complete are the short ones and would bias every statistic towards low values.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace fulmarway {

/** Identifies a sampled request by its block and its index in the block. */
struct SampleIndex
{
  std::uint64_t block_ = 0;
  std::uint32_t index_ = 0;

  auto operator<=>(const SampleIndex&) const = default;
};

enum class ServiceOutcome : std::uint8_t
{
  kRunning,
  kCompleted,
  /** Abandoned while running; the elapsed time is a lower bound of its service time. */
  kCensored,
  /** Failed; its service time is not used. */
  kExcluded,
};

struct BlockEntry
{
  std::uint64_t kindKey_ = 0;
  Instant startedAt_;
  Instant endedAt_;
  ServiceOutcome outcome_ = ServiceOutcome::kRunning;

  auto operator<=>(const BlockEntry&) const = default;
};

struct StartBlock
{
  std::uint64_t number_ = 0;
  /** Whether the block accepts no more starts. */
  bool closed_ = false;
  std::vector<BlockEntry> entries_;

  auto operator<=>(const StartBlock&) const = default;
};

struct StartBlocks
{
  /** At most kMaxBlocks, oldest first; only the last one may be open. */
  std::deque<StartBlock> blocks_;
  std::uint64_t nextNumber_ = 0;
  /** Earliest start time of the next block; requests started after a full block and before this
   * time are not sampled. */
  Instant nextOpenAt_;

  bool operator==(const StartBlocks&) const = default;
};

/** Maximum starts per block; of more starts in a window, only the first ones are sampled. */
inline constexpr std::size_t kBlockSize = 64;
/** Minimum starts per judged block; a smaller block would look slow by chance. */
inline constexpr std::size_t kMinBlockSize = 12;
inline constexpr std::size_t kMaxBlocks = 16;

/** Adds a start to the open block, or to a new one; returns nullopt when the request is not
 * sampled. */
std::optional<SampleIndex>
AddStart(StartBlocks& aBlocks, std::uint64_t aKindKey, Instant aNow);

/** Records the end of a request. Requests of removed blocks are ignored. */
void
MarkEnd(StartBlocks& aBlocks, SampleIndex aSampleIndex, ServiceOutcome aOutcome, Instant aNow);

/** Closes the open block when it has at least aMinimum starts. */
void
CloseOpenBlock(StartBlocks& aBlocks, std::size_t aMinimum);

/** Closes the open block, so that the next start opens a new one, and removes the oldest blocks to
 * make room. */
void
BeginNewSeries(StartBlocks& aBlocks);

/** Whether enough requests of the block have ended for its median to be final; the rest are
 * stragglers. */
bool
HasMostlyEnded(const StartBlock& aBlock);

} // namespace fulmarway
