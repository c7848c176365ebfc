/** \file
 * Bounds how often requests arrive at the local backend server again: by a share of the requests
 * that arrived for the first time in a sliding window, with a reserve for the requests that gain
 * most from it.
 *
 * Load pattern: a backend server refuses a large share of its requests although it has free slots.
 * A retry by the entry node costs a round trip and is bounded by that node's few successes. The
 * node beside the backend server sees all requests for it, so it can spend the whole allowance, in
 * order of importance, and offers a refused request again at once.
 */
#pragma once

#include "model/Importance.h"
#include "model/Time.h"

#include <array>
#include <cstdint>
#include <limits>

namespace fulmarway {

struct BackendRetrySettings
{
  /** Repeated arrivals as a share of the first ones in a window, in thousandths; 0 turns off the
   * offers of this node, so that only entry nodes retry. */
  std::uint32_t sharePerMille_ = 0;
  Duration window_ = std::chrono::seconds(10);

  auto operator<=>(const BackendRetrySettings&) const = default;
};

/** The window slides in steps of this part of its length. */
inline constexpr std::size_t kRetryWindowSteps = 20;

struct ArrivalCounts
{
  std::uint64_t first_ = 0;
  /** Retries and hedges of other nodes, calls of a repeated request, and offers of this node. */
  std::uint64_t repeated_ = 0;

  auto operator<=>(const ArrivalCounts&) const = default;
};

struct RetryWindowStep
{
  /** Number of the step since the clock's epoch, negative before it; the counts of an older one
   * have expired. */
  std::int64_t number_ = std::numeric_limits<std::int64_t>::min();
  ArrivalCounts counts_;

  auto operator<=>(const RetryWindowStep&) const = default;
};

struct BackendRetryBudget
{
  BackendRetrySettings settings_;
  std::array<RetryWindowStep, kRetryWindowSteps> steps_{};

  bool operator==(const BackendRetryBudget&) const = default;
};

/** Records that a request was passed to the backend server. */
void
RecordBackendArrival(BackendRetryBudget& aState, bool aIsRepeat, Instant aNow);

/** Whether a refused request may be offered again. aDepth is that of Request::depth_: one answer
 * completes a root request, while a call at a greater depth needs its siblings to succeed too. As
 * the allowance is used up, fewer buckets of root requests get retries. All nodes choose the same
 * ones, so that some root requests get every retry that they need instead of all getting a few. */
bool
AllowsBackendRetry(const BackendRetryBudget& aState,
                   Importance aImportance,
                   std::uint8_t aRootRequestBucket,
                   std::uint8_t aDepth,
                   Instant aNow);

/** Arrivals in the window that ends now. */
ArrivalCounts
CountArrivals(const BackendRetryBudget& aState, Instant aNow);

} // namespace fulmarway
