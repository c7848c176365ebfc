/** \file
 * The concurrency limit, learned from the service times of the own backend server.
 *
 * A block of starts is judged by the median of its service times, each relative to what is typical
 * for its kind; the median is not moved by a few stragglers. Slow blocks start a trial: the limit
 * is halved, by one for every second request that ends, so that requests of the highest class still
 * start meanwhile. If the requests started under the lower limit are faster, concurrency was the
 * cause and the limit is halved again until they are healthy. If they are not, a lower limit only
 * loses throughput: the limit is restored, and the slowdown is accepted as a property of the
 * backend server until it passes.
 */
#pragma once

#include "model/Time.h"
#include "policy/ServiceBaseline.h"
#include "policy/StartBlocks.h"

#include <cstdint>
#include <optional>

namespace fulmarway {

/** A lower limit that has not been judged yet. */
struct LimitTrial
{
  /** Restored when the trial shows no improvement. */
  std::uint32_t limitBefore_ = 1;
  /** Mean over the blocks that were started before the goal was reached. */
  double slowdownBefore_ = 1;
  std::uint32_t blocksBefore_ = 0;
  /** The limit glides down to this. */
  std::uint32_t goal_ = 1;
  /** Requests that ended since the limit last went down. */
  std::uint32_t ended_ = 0;
  std::uint32_t windows_ = 0;
  /** First block that was started under the goal; nullopt before it is reached. */
  std::optional<std::uint64_t> firstBlock_;

  auto operator<=>(const LimitTrial&) const = default;
};

struct ConcurrencyLimit
{
  /** In [1, cap_]. */
  std::uint32_t limit_ = 1;
  /** min(slots, operator limit), at least 1. */
  std::uint32_t cap_ = 1;
  StartBlocks blocks_;
  ServiceBaselines baselines_;
  /** Slowdown that a lower limit did not improve; 1 when healthy. */
  double acceptedSlowdown_ = 1;
  /** Median slowdown of the latest judged block, relative to the accepted one. */
  double lastSlowdown_ = 1;
  /** TypicalUs() of the latest judged block. */
  double typicalUs_ = 0;
  std::optional<LimitTrial> trial_;
  /** A block that was slow, but not enough for a trial without a second one. */
  std::optional<std::uint64_t> suspectBlock_;
  /** Most requests that ran at once since the last update. */
  std::uint32_t peakRunning_ = 0;
  /** The newest block with an exact judgement. Older ones say nothing about the present. */
  std::uint64_t newestFinal_ = 0;

  bool operator==(const ConcurrencyLimit&) const = default;
};

ConcurrencyLimit
MakeConcurrencyLimit(std::uint32_t aCap);

/** Changes the upper bound. A limit that was at the old bound moves to the new one. */
void
SetCap(ConcurrencyLimit& aLimit, std::uint32_t aCap);

/** A request was started; aRunning counts it. nullopt when it is not sampled. */
std::optional<BlockPlace>
NoteServiceStart(ConcurrencyLimit& aLimit,
                 std::uint64_t aKindKey,
                 std::uint32_t aRunning,
                 Instant aNow);

/** A request that was noted at its start has ended. */
void
NoteServiceEnd(ConcurrencyLimit& aLimit,
               const std::optional<BlockPlace>& aPlace,
               ServiceOutcome aOutcome,
               Instant aNow);

/** Judges the blocks and moves the limit; call it every window. aSaturated tells whether every
 * slot under the limit is taken. */
void
UpdateLimit(ConcurrencyLimit& aLimit, bool aSaturated, Instant aNow);

/** Typical service time on a healthy backend server; zero while unknown. */
Duration
TypicalServiceTime(const ConcurrencyLimit& aLimit);

} // namespace fulmarway
