#include "policy/FastServiceTimes.h"

#include <algorithm>

namespace fulmarway {

namespace {

/** Number of samples from which the estimate is used; it starts at the fastest of them. */
constexpr std::uint32_t kMinSamples = 8;
/** Relative steps of the percentile estimate; their ratio makes one completion in ten faster than
 * the estimate. The downward step is the larger one, because an estimate that is too high refuses
 * requests that could finish. */
constexpr double kStepUp = 0.01;
constexpr double kStepDown = 0.09;
constexpr double kMinMeanGain = 0.02;
constexpr Duration kDecayDelay = std::chrono::seconds(1);
constexpr double kDecayPerWindow = 0.8;

FastServiceTime&
FindOrInsert(FastServiceTimes& aTimes, std::uint64_t aKindKey)
{
  if (!aTimes.contains(aKindKey) && aTimes.size() >= kMaxFastServiceTimes) {
    aTimes.erase(
      std::min_element(aTimes.begin(), aTimes.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.lastSeen_ < aRight.second.lastSeen_;
      }));
  }
  return aTimes[aKindKey];
}

/** Weight of the next sample; during the first ones, all have an equal weight. */
double
MeanGain(const FastServiceTime& aTime)
{
  return aTime.sampleCount_ < kMinSamples ? 1.0 / (aTime.sampleCount_ + 1) : kMinMeanGain;
}

} // namespace

void
RecordServiceTime(FastServiceTimes& aTimes,
                  std::uint64_t aKindKey,
                  Duration aServiceTime,
                  Instant aNow)
{
  FastServiceTime& time = FindOrInsert(aTimes, aKindKey);
  const auto us = static_cast<double>(aServiceTime.count());
  time.meanUs_ += MeanGain(time) * (us - time.meanUs_);
  if (time.sampleCount_ < kMinSamples) {
    time.fastUs_ = time.sampleCount_ == 0 ? us : std::min(time.fastUs_, us);
    time.sampleCount_ += 1;
  } else {
    time.fastUs_ *= us < time.fastUs_ ? 1 - kStepDown : 1 + kStepUp;
  }
  time.lastSeen_ = aNow;
}

void
RecordCensoredServiceTime(FastServiceTimes& aTimes, std::uint64_t aKindKey, Duration aElapsed)
{
  const auto found = aTimes.find(aKindKey);
  const auto us = static_cast<double>(aElapsed.count());
  if (found != aTimes.end() && us > found->second.meanUs_) {
    found->second.meanUs_ += MeanGain(found->second) * (us - found->second.meanUs_);
  }
}

void
DecayServiceTimes(FastServiceTimes& aTimes, Instant aNow)
{
  for (auto& [kind, time] : aTimes) {
    if (aNow - time.lastSeen_ > kDecayDelay) {
      time.fastUs_ *= kDecayPerWindow;
    }
  }
}

Duration
FastServiceTimeOf(const FastServiceTimes& aTimes, std::uint64_t aKindKey)
{
  const auto found = aTimes.find(aKindKey);
  if (found == aTimes.end() || found->second.sampleCount_ < kMinSamples) {
    return Duration{ 0 };
  }
  return Duration(static_cast<Duration::rep>(found->second.fastUs_));
}

Duration
MeanServiceTimeOf(const FastServiceTimes& aTimes, std::uint64_t aKindKey)
{
  const auto found = aTimes.find(aKindKey);
  if (found == aTimes.end() || found->second.sampleCount_ < kMinSamples) {
    return Duration{ 0 };
  }
  return Duration(static_cast<Duration::rep>(found->second.meanUs_));
}

} // namespace fulmarway
