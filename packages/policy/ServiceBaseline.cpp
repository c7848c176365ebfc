#include "policy/ServiceBaseline.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fulmarway {

namespace {

constexpr std::size_t kInitialSamples = 32;
/** Number of samples from which a baseline moves by kSettledStep. */
constexpr std::uint32_t kSettledSamples = 256;
/** Relative steps per window; 2% a second once settled. A faster baseline would follow a slowdown
 * before the slowdown is detected. */
constexpr double kSettledStep = 0.002;
constexpr double kLearningStep = 0.05;
/** A kind whose median is below this share of its baseline had its baseline taken on a slow backend
 * server. The baseline then falls by half within a second, but not at once, because a small block
 * may be fast by chance. */
constexpr double kTooHighBaselineRatio = 0.5;
constexpr double kCorrectionStep = 0.1;

using TimesByKind = std::map<std::uint64_t, std::vector<double>>;

/** Service times in microseconds; those of requests that are running or were abandoned count as
 * infinite. */
TimesByKind
CollectTimes(const StartBlock& aBlock)
{
  TimesByKind times;
  for (const BlockEntry& entry : aBlock.entries_) {
    if (entry.outcome_ == ServiceOutcome::kCompleted) {
      const Duration::rep us = (entry.endedAt_ - entry.startedAt_).count();
      times[entry.kindKey_].push_back(static_cast<double>(std::max<Duration::rep>(us, 1)));
    } else if (entry.outcome_ != ServiceOutcome::kExcluded) {
      times[entry.kindKey_].push_back(std::numeric_limits<double>::infinity());
    }
  }
  return times;
}

KindBaseline&
FindOrInsertBaseline(ServiceBaselines& aBaselines, std::uint64_t aKindKey, Instant aNow)
{
  if (!aBaselines.contains(aKindKey) && aBaselines.size() >= kMaxBaselines) {
    aBaselines.erase(std::min_element(
      aBaselines.begin(), aBaselines.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.lastSeen_ < aRight.second.lastSeen_;
      }));
  }
  KindBaseline& baseline = aBaselines[aKindKey];
  baseline.lastSeen_ = aNow;
  return baseline;
}

void
LearnInitialBaseline(KindBaseline& aBaseline, const std::vector<double>& aTimes)
{
  aBaseline.initialSamplesUs_.insert(
    aBaseline.initialSamplesUs_.end(), aTimes.begin(), aTimes.end());
  if (aBaseline.initialSamplesUs_.size() < kInitialSamples) {
    return;
  }
  const double median = Median(aBaseline.initialSamplesUs_);
  aBaseline.initialSamplesUs_.clear();
  aBaseline.typicalUs_ = std::isinf(median) ? 0 : median;
}

void
MoveBaseline(KindBaseline& aBaseline, std::vector<double>& aTimes, const BaselineUpdate& aUpdate)
{
  const double relative = Median(aTimes) / (aBaseline.typicalUs_ * aUpdate.slowdown_);
  if (relative < kTooHighBaselineRatio && aUpdate.slowdown_ <= 1) {
    aBaseline.typicalUs_ *= 1 - kCorrectionStep;
  } else if (aUpdate.mayDrift_) {
    const double step = aBaseline.sampleCount_ < kSettledSamples ? kLearningStep : kSettledStep;
    aBaseline.typicalUs_ *= relative > 1 ? 1 + step : 1 - step;
  }
}

} // namespace

double
TypicalUs(const ServiceBaselines& aBaselines, std::uint64_t aKindKey)
{
  const auto found = aBaselines.find(aKindKey);
  return found == aBaselines.end() ? 0 : found->second.typicalUs_;
}

double
TypicalUs(const ServiceBaselines& aBaselines, const StartBlock& aBlock)
{
  std::vector<double> typical;
  for (const BlockEntry& entry : aBlock.entries_) {
    if (const double value = TypicalUs(aBaselines, entry.kindKey_); value > 0) {
      typical.push_back(value);
    }
  }
  return typical.empty() ? 0 : Median(typical);
}

void
LearnBaselines(ServiceBaselines& aBaselines,
               const StartBlock& aBlock,
               const BaselineUpdate& aUpdate,
               Instant aNow)
{
  for (auto& [kind, times] : CollectTimes(aBlock)) {
    KindBaseline& baseline = FindOrInsertBaseline(aBaselines, kind, aNow);
    baseline.sampleCount_ += static_cast<std::uint32_t>(times.size());
    if (baseline.typicalUs_ <= 0) {
      LearnInitialBaseline(baseline, times);
    } else {
      MoveBaseline(baseline, times, aUpdate);
    }
  }
}

double
Median(std::vector<double>& aValues)
{
  const auto middle = aValues.begin() + static_cast<std::ptrdiff_t>((aValues.size() - 1) / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace fulmarway
