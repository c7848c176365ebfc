/** \file
 * Started requests, grouped into blocks in the order of their start.
 *
 * Statistics are taken over blocks rather than over completions: the first requests to complete
 * after a change are the short ones, and would make any figure too low.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace fulmarway {

/** Place of a started request in its block. */
struct BlockPlace
{
  std::uint64_t block_ = 0;
  std::uint32_t index_ = 0;

  auto operator<=>(const BlockPlace&) const = default;
};

enum class ServiceOutcome : std::uint8_t
{
  kRunning,
  kCompleted,
  /** Given up while running; its service time is at least what was seen. */
  kCensored,
  /** Failed; its service time says nothing. */
  kVoid,
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
  /** No more starts are added. */
  bool closed_ = false;
  std::vector<BlockEntry> entries_;

  auto operator<=>(const StartBlock&) const = default;
};

struct StartBlocks
{
  /** At most kMaxBlocks, oldest first; only the last one may be open. */
  std::deque<StartBlock> blocks_;
  std::uint64_t nextNumber_ = 0;
  /** A full block is followed by a new one from here on; starts before it are not sampled. */
  Instant nextOpenAt_;

  bool operator==(const StartBlocks&) const = default;
};

/** With more starts in a window, the first ones stand for all. */
inline constexpr std::size_t kBlockSize = 64;
/** With fewer starts, chance alone would make a block look slow. */
inline constexpr std::size_t kMinBlockSize = 12;
inline constexpr std::size_t kMaxBlocks = 16;

/** Adds a start to the open block; nullopt when it is not sampled. */
std::optional<BlockPlace>
AddStart(StartBlocks& aBlocks, std::uint64_t aKindKey, Instant aNow);

/** Sets the end of a request. Places of dropped blocks are ignored. */
void
MarkEnd(StartBlocks& aBlocks, BlockPlace aPlace, ServiceOutcome aOutcome, Instant aNow);

/** Closes the open block when it has at least aMinimum starts. */
void
CloseOpenBlock(StartBlocks& aBlocks, std::size_t aMinimum);

/** Closes the open block, so that the next start is in a new one, and drops all but the latest
 * blocks to make room. */
void
BeginNewSeries(StartBlocks& aBlocks);

/** Whether enough requests of the block have ended for a judgement; the rest are stragglers. */
bool
HasMostlyEnded(const StartBlock& aBlock);

} // namespace fulmarway
