#include "policy/BackendRetryBudget.h"

#include <algorithm>

namespace fulmarway {

namespace {

constexpr std::uint64_t kPerMille = 1000;

/** Parts of the allowance up to which the calls of a class get retries, in thousandths: for the
 * first and, exclusively, for the last bucket of root requests. */
struct ClassShare
{
  std::uint64_t first_;
  std::uint64_t last_;
};

/** By Importance. Root requests may use the whole allowance. */
constexpr std::array<ClassShare, kImportanceCount> kClassShares = {
  { { 900, 500 }, { 500, 300 }, { 300, 100 }, { 100, 0 } }
};

std::uint64_t
ShareOfCall(Importance aImportance, std::uint8_t aRootRequestBucket)
{
  const ClassShare& share = kClassShares.at(static_cast<std::size_t>(aImportance));
  return share.first_ - (share.first_ - share.last_) * aRootRequestBucket / kRootRequestBuckets;
}

std::int64_t
StepNumber(const BackendRetrySettings& aSettings, Instant aNow)
{
  const Duration step =
    std::max(aSettings.window_ / static_cast<Duration::rep>(kRetryWindowSteps), Duration{ 1 });
  return aNow.time_since_epoch() / step;
}

} // namespace

void
RecordBackendArrival(BackendRetryBudget& aState, bool aIsRepeat, Instant aNow)
{
  const std::int64_t number = StepNumber(aState.settings_, aNow);
  RetryWindowStep& step = aState.steps_.at(static_cast<std::uint64_t>(number) % kRetryWindowSteps);
  if (step.number_ != number) {
    step = { number, {} };
  }
  (aIsRepeat ? step.counts_.repeated_ : step.counts_.first_) += 1;
}

bool
AllowsBackendRetry(const BackendRetryBudget& aState,
                   Importance aImportance,
                   std::uint8_t aRootRequestBucket,
                   std::uint8_t aDepth,
                   Instant aNow)
{
  const ArrivalCounts counts = CountArrivals(aState, aNow);
  const std::uint64_t allowed = counts.first_ * aState.settings_.sharePerMille_;
  const std::uint64_t share =
    aDepth == 0 ? kPerMille : ShareOfCall(aImportance, aRootRequestBucket);
  return (counts.repeated_ + 1) * kPerMille <= allowed * share / kPerMille;
}

ArrivalCounts
CountArrivals(const BackendRetryBudget& aState, Instant aNow)
{
  constexpr auto kSteps = static_cast<std::int64_t>(kRetryWindowSteps);
  const std::int64_t current = StepNumber(aState.settings_, aNow);
  ArrivalCounts sum;
  for (const RetryWindowStep& step : aState.steps_) {
    if (step.number_ > current - kSteps) {
      sum.first_ += step.counts_.first_;
      sum.repeated_ += step.counts_.repeated_;
    }
  }
  return sum;
}

} // namespace fulmarway
