#include "policy/TargetObservations.h"

#include <algorithm>
#include <cmath>

namespace fulmarway {

namespace {

/** Three slow samples in a row move the estimate two thirds of the way. */
constexpr double kRiseGain = 0.3;
/** Samples are capped at this multiple of the estimate. 2% of the requests may take 100 times
 * longer than the rest; a single one of them must not make a target look slow. */
constexpr double kMaxRise = 4;
constexpr double kMinFallGain = 0.1;
constexpr Duration kFallTimeConstant = std::chrono::seconds(1);
constexpr double kMinMeanGain = 0.01;
/** Time constant with which the estimate returns to the long-run mean without samples, so that the
 * target is tried again. */
constexpr Duration kReturnTimeConstant = std::chrono::seconds(2);
constexpr double kSuccessGain = 0.1;
constexpr double kMinSuccessShare = 0.05;
constexpr double kSlowStartFloor = 0.1;
/** Relative steps of the 95th percentile estimate: one step up for each sample above it balances 19
 * steps down. */
constexpr double kP95StepUp = 1.1;
const double kP95StepDown = std::pow(kP95StepUp, -1.0 / 19);
constexpr std::uint32_t kContradictionsToDistrust = 3;
constexpr Duration kDistrustTime = std::chrono::seconds(10);

double
Decay(Duration aElapsed, Duration aTimeConstant)
{
  return std::exp(-static_cast<double>(std::max(aElapsed, Duration{ 0 }).count()) /
                  static_cast<double>(aTimeConstant.count()));
}

void
AddSample(TargetObservations& aTarget, double aSample, double aTypicalLatency, Instant aNow)
{
  const double reference = aTarget.samples_ > 0 ? aTarget.latency_ : aTypicalLatency;
  const double sample =
    std::max(1.0, reference > 0 ? std::min(aSample, kMaxRise * reference) : aSample);
  if (aTarget.samples_ == 0) {
    aTarget.latency_ = sample;
    aTarget.meanLatency_ = sample;
    aTarget.latencyP95_ = 2 * sample;
  } else {
    const double fall =
      std::max(kMinFallGain, 1 - Decay(aNow - aTarget.lastSampleAt_, kFallTimeConstant));
    const double gain = sample > aTarget.latency_ ? kRiseGain : fall;
    aTarget.latency_ += gain * (sample - aTarget.latency_);
    const double meanGain = std::max(kMinMeanGain, 1.0 / static_cast<double>(aTarget.samples_ + 1));
    aTarget.meanLatency_ += meanGain * (sample - aTarget.meanLatency_);
    aTarget.latencyP95_ *= aSample > aTarget.latencyP95_ ? kP95StepUp : kP95StepDown;
  }
  ++aTarget.samples_;
  ++aTarget.samplesSinceReturn_;
  aTarget.lastSampleAt_ = aNow;
}

void
UpdateDistrust(KindLevel& aKind, const AttemptReport& aReport, Instant aNow)
{
  if (aReport.outcome_ == AttemptOutcome::kRefused) {
    aKind.contradictions_ = 0;
    aKind.distrustUntil_ = Instant{};
  }
  const bool contradicted = aReport.outcome_ == AttemptOutcome::kSucceeded && aReport.rank_ &&
                            *aReport.rank_ >= aKind.level_.admitBelow_ &&
                            *aReport.rank_ >= kLowestAdmissionLevel.admitBelow_ &&
                            aKind.at_ <= aNow - aReport.latency_;
  if (contradicted && ++aKind.contradictions_ >= kContradictionsToDistrust) {
    aKind.distrustUntil_ = aNow + kDistrustTime;
  }
}

/** The last level report for the kind; nullptr when there is none, or when it has expired or is
 * contradicted. */
const KindLevel*
FindTrusted(const TargetObservations& aTarget, std::uint64_t aKindKey, Instant aNow)
{
  const auto found = aTarget.levels_.find(aKindKey);
  const bool isTrusted = found != aTarget.levels_.end() &&
                         aNow - found->second.at_ <= kLevelReportLifetime &&
                         aNow >= found->second.distrustUntil_;
  return isTrusted ? &found->second : nullptr;
}

void
RecordLevelReport(TargetObservations& aTarget, const AttemptReport& aReport, Instant aNow)
{
  const auto known = aTarget.levels_.find(aReport.kindKey_);
  if (known != aTarget.levels_.end()) {
    UpdateDistrust(known->second, aReport, aNow);
  }
  if (!aReport.load_) {
    return;
  }
  aTarget.load_ = aReport.load_;
  aTarget.loadAt_ = aNow;
  KindLevel& kind = aTarget.levels_[aReport.kindKey_];
  // Keeps the time of an unchanged report. Every answer renews the report; if its time advanced as
  // well, no request would have started after it and no outcome could contradict it.
  if (kind.level_ != aReport.load_->level_ || aNow - kind.at_ > kLevelReportLifetime / 2) {
    kind.at_ = aNow;
  }
  kind.level_ = aReport.load_->level_;
  kind.downstreamLevel_ = aReport.load_->downstreamLevel_;
  kind.serviceTime_ = aReport.load_->serviceTime_;
  kind.completion_ = aReport.load_->completion_;
}

} // namespace

void
UpdateObservations(TargetObservations& aTarget,
                   const AttemptReport& aReport,
                   double aTypicalLatency,
                   Instant aNow)
{
  RecordLevelReport(aTarget, aReport, aNow);
  const bool duringEjection =
    aTarget.ejections_ > 0 && aNow - aReport.latency_ < aTarget.ejectedUntil_;
  const auto sample = static_cast<double>(aReport.latency_.count());
  // The latency of a failed or cancelled attempt is a lower bound.
  const bool isLowerBound =
    aReport.outcome_ == AttemptOutcome::kFailed || aReport.outcome_ == AttemptOutcome::kCancelled;
  const bool isSample = aReport.outcome_ == AttemptOutcome::kSucceeded ||
                        (isLowerBound && aTarget.samples_ > 0 && sample > aTarget.latency_);
  if (isSample && !duringEjection) {
    AddSample(aTarget, sample, aTypicalLatency, aNow);
  }
  if (aReport.outcome_ == AttemptOutcome::kCancelled) {
    return;
  }
  const double succeeded = aReport.outcome_ == AttemptOutcome::kSucceeded ? 1 : 0;
  aTarget.successShare_ += kSuccessGain * (succeeded - aTarget.successShare_);
  aTarget.lastOutcomeAt_ = aNow;
  if (aReport.outcome_ == AttemptOutcome::kFailed) {
    ++aTarget.consecutiveFailures_;
  } else if (aReport.outcome_ == AttemptOutcome::kSucceeded) {
    aTarget.consecutiveFailures_ = 0;
  }
}

double
LatencyNow(const TargetObservations& aTarget, Instant aNow)
{
  const double decay = Decay(aNow - aTarget.lastSampleAt_, kReturnTimeConstant);
  return aTarget.meanLatency_ + (aTarget.latency_ - aTarget.meanLatency_) * decay;
}

Duration
UnansweredFor(const TargetObservations& aTarget, Instant aNow)
{
  if (aTarget.outstanding_.empty()) {
    return Duration{ 0 };
  }
  // A long-running request among short ones that are answered does not count as silence of the
  // target.
  const Instant since = aTarget.samples_ > 0
                          ? std::max(aTarget.outstanding_.front(), aTarget.lastSampleAt_)
                          : aTarget.outstanding_.front();
  return std::max(aNow - since, Duration{ 0 });
}

double
ExpectedTime(const TargetObservations& aTarget, double aUnknownLatency, Instant aNow)
{
  const double latency = aTarget.samples_ > 0 ? LatencyNow(aTarget, aNow) : aUnknownLatency;
  const double unanswered = static_cast<double>(UnansweredFor(aTarget, aNow).count());
  const double failureShare =
    (1 - aTarget.successShare_) * Decay(aNow - aTarget.lastOutcomeAt_, kReturnTimeConstant);
  return std::max({ latency, unanswered, 1.0 }) / std::max(kMinSuccessShare, 1 - failureShare);
}

std::optional<AdmissionLevel>
TrustedLevel(const TargetObservations& aTarget, std::uint64_t aKindKey, Instant aNow)
{
  const KindLevel* kind = FindTrusted(aTarget, aKindKey, aNow);
  return kind == nullptr ? std::nullopt : std::optional(kind->level_);
}

std::optional<AdmissionLevel>
TrustedDownstreamLevel(const TargetObservations& aTarget, std::uint64_t aKindKey, Instant aNow)
{
  const KindLevel* kind = FindTrusted(aTarget, aKindKey, aNow);
  return kind == nullptr ? std::nullopt : std::optional(kind->downstreamLevel_);
}

const CompletionShares*
TrustedCompletion(const TargetObservations& aTarget, std::uint64_t aKindKey, Instant aNow)
{
  const KindLevel* kind = FindTrusted(aTarget, aKindKey, aNow);
  return kind == nullptr ? nullptr : &kind->completion_;
}

bool
RefusesByLevel(const TargetObservations& aTarget, const RouteQuery& aQuery, Instant aNow)
{
  const auto level = TrustedLevel(aTarget, aQuery.kindKey_, aNow);
  return level && !IsAdmitted(*level, aQuery.importance_, aQuery.rootRequestBucket_);
}

double
SlowStartShare(const TargetObservations& aTarget, Instant aNow)
{
  const double progress = static_cast<double>((aNow - aTarget.slowStartFrom_).count()) /
                          static_cast<double>(kSlowStartDuration.count());
  return std::clamp(progress, kSlowStartFloor, 1.0);
}

} // namespace fulmarway
