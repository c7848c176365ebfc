/** \file
 * Adaptive concurrency limit, derived from the service times of the local backend server.
 *
 * Started requests are grouped into blocks. The slowdown of a block is the median of its service
 * times, each relative to the typical service time of its kind; a few stragglers do not move the
 * median. Slow blocks start a trial: the limit is halved, by one for every second request that
 * ends, so that requests of the highest class can still start in the meantime. If the requests
 * started under the lower limit are faster, concurrency is the cause and the limit is halved again
 * until they are healthy. Otherwise a lower limit only reduces throughput: the limit is restored,
 * and the slowdown is accepted as a property of the backend server until it ends.
 */
#pragma once

#include "model/Time.h"
#include "policy/ServiceBaseline.h"
#include "policy/StartBlocks.h"

#include <cstdint>
#include <optional>

namespace fulmarway {

/** A lowered limit whose effect has not been determined yet. */
struct LimitTrial
{
  /** Limit before the trial; restored when the trial shows no improvement. */
  std::uint32_t limitBefore_ = 1;
  /** Mean slowdown of the blocks that were started before the goal was reached. */
  double slowdownBefore_ = 1;
  std::uint32_t blocksBefore_ = 0;
  /** Limit to reach; the limit is lowered towards it step by step. */
  std::uint32_t goal_ = 1;
  /** Requests that have ended since the limit was last lowered. */
  std::uint32_t ended_ = 0;
  std::uint32_t windows_ = 0;
  /** First block that was started after the goal was reached; nullopt before that. */
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
  /** Slowdown that a lower limit did not reduce; 1 when healthy. */
  double acceptedSlowdown_ = 1;
  /** Highest slowdown that the backend server recently reported for its machine, and when. */
  double reportedSlowdown_ = 1;
  Instant reportedAt_;
  /** Median slowdown of the most recently judged block, relative to the accepted slowdown. */
  double lastSlowdown_ = 1;
  /** TypicalUs() of the most recently judged block. */
  double typicalUs_ = 0;
  std::optional<LimitTrial> trial_;
  /** Latest slow block whose slowdown starts a trial only if a second block confirms it. */
  std::optional<std::uint64_t> suspectBlock_;
  /** Maximum number of concurrently running requests since the last update. */
  std::uint32_t peakRunning_ = 0;
  /** Number of the newest block with an exact median; older blocks no longer show the current
   * state. */
  std::uint64_t newestFinalBlock_ = 0;

  bool operator==(const ConcurrencyLimit&) const = default;
};

ConcurrencyLimit
MakeConcurrencyLimit(std::uint32_t aCap);

/** Changes the upper bound. A limit that was equal to the old bound is set to the new one. */
void
SetCap(ConcurrencyLimit& aLimit, std::uint32_t aCap);

/** Records the start of a request; aRunning includes it. Returns nullopt when the request is not
 * sampled. */
std::optional<SampleIndex>
RecordServiceStart(ConcurrencyLimit& aLimit,
                   std::uint64_t aKindKey,
                   std::uint32_t aRunning,
                   Instant aNow);

/** Records the end of a request whose start was recorded by RecordServiceStart(). */
void
RecordServiceEnd(ConcurrencyLimit& aLimit,
                 const std::optional<SampleIndex>& aSampleIndex,
                 ServiceOutcome aOutcome,
                 Instant aNow);

/** Records that the backend server reports its machine to be slower by this factor because of other
 * users, see IsSlowedByNeighbours(). A slowdown up to this factor is not judged as slow for half a
 * second, in which the requests that it affected end. */
void
RecordReportedSlowdown(ConcurrencyLimit& aLimit, double aSlowdown, Instant aNow);

/** Judges the blocks and adjusts the limit; call it once per window. aSaturated is true when all
 * slots under the limit are taken. */
void
UpdateLimit(ConcurrencyLimit& aLimit, bool aSaturated, Instant aNow);

/** Typical service time of the current mix of kinds on a healthy backend server; zero while
 * unknown. */
Duration
TypicalServiceTime(const ConcurrencyLimit& aLimit);

} // namespace fulmarway
