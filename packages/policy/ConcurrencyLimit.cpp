#include "policy/ConcurrencyLimit.h"

#include <algorithm>
#include <vector>

namespace fulmarway {

namespace {

// The slowdown of a request is its service time divided by the typical one of its kind and by the
// accepted slowdown. The accepted slowdown is the factor by which the backend server is judged to
// be slow for a reason other than concurrency; 1 when healthy. UpdateLimit() is called once per
// window, see kAdmissionWindow (100 ms).

constexpr std::size_t kLargeBlockSize = 24;
/** Slowdowns above which a block counts as slow. With exponential service times, the median of a
 * healthy block of 24 exceeds twice, and of 12 three times, the typical value about once in 1,000
 * blocks; two such blocks are required. */
constexpr double kSlowRatioLargeBlock = 2;
constexpr double kSlowRatioSmallBlock = 3;
/** A single block with a higher slowdown starts a trial, so that a tenfold slowdown is detected at
 * once. */
constexpr double kSlowRatioSingleBlock = 4;
/** Slowdown up to which the limit is raised. */
constexpr double kMaxHealthySlowdown = 2;
/** Slowdown below which the accepted slowdown is reduced. */
constexpr double kRecoveredSlowdown = 0.5;
/** A trial that leaves more than this share of the slowdown is ended without success. When
 * concurrency is the cause, half the concurrency halves the service time. */
constexpr double kMaxRemainingShare = 0.75;
constexpr std::uint32_t kCutDivisor = 2;
/** Requests that have to end before a trial lowers the limit by one towards its goal. */
constexpr std::uint32_t kEndsPerStepDown = 2;
/** The limit is raised by half: from a tenth of the slots it recovers within 6 windows. */
constexpr std::uint32_t kRaiseDivisor = 2;
/** Windows after which a trial with too few requests for a judgement ends. A slowdown caused by a
 * noisy neighbour lasts about a second; a longer trial would measure the time after it. */
constexpr std::uint32_t kMaxTrialWindows = 20;
/** Decay of the accepted slowdown per window; it halves in 5 s, so that a wrong judgement is
 * reconsidered. */
constexpr double kAcceptedSlowdownDecay = 0.986;

constexpr Duration kReportedSlowdownLifetime = std::chrono::milliseconds(500);

struct BlockJudgement
{
  std::uint64_t number_ = 0;
  /** Median slowdown; a lower bound while requests are still running, exact when final_. */
  double slowdown_ = 1;
  std::size_t count_ = 0;
  bool final_ = false;
};

double
ReportedSlowdown(const ConcurrencyLimit& aLimit, Instant aNow)
{
  return aNow - aLimit.reportedAt_ <= kReportedSlowdownLifetime ? aLimit.reportedSlowdown_ : 1;
}

BlockJudgement
JudgeBlock(const ConcurrencyLimit& aLimit, const StartBlock& aBlock, Instant aNow)
{
  const double expected = std::max(aLimit.acceptedSlowdown_, ReportedSlowdown(aLimit, aNow));
  std::vector<double> slowdowns;
  for (const BlockEntry& entry : aBlock.entries_) {
    const double typical = TypicalUs(aLimit.baselines_, entry.kindKey_);
    if (typical > 0 && entry.outcome_ != ServiceOutcome::kExcluded) {
      const Instant end = entry.outcome_ == ServiceOutcome::kRunning ? aNow : entry.endedAt_;
      slowdowns.push_back(static_cast<double>((end - entry.startedAt_).count()) /
                          (typical * expected));
    }
  }
  BlockJudgement judgement{
    aBlock.number_, 1, slowdowns.size(), aBlock.closed_ && HasMostlyEnded(aBlock)
  };
  if (!slowdowns.empty()) {
    judgement.slowdown_ = Median(slowdowns);
  }
  return judgement;
}

bool
IsSlow(const BlockJudgement& aJudgement)
{
  return aJudgement.slowdown_ >
         (aJudgement.count_ >= kLargeBlockSize ? kSlowRatioLargeBlock : kSlowRatioSmallBlock);
}

void
SetLimit(ConcurrencyLimit& aLimit, std::uint32_t aValue)
{
  aLimit.limit_ = std::clamp<std::uint32_t>(aValue, 1, aLimit.cap_);
}

/** Accepts a slowdown that is not caused by concurrency. */
void
AcceptSlowdown(ConcurrencyLimit& aLimit, double aSlowdown)
{
  aLimit.acceptedSlowdown_ = std::max(1.0, aLimit.acceptedSlowdown_ * aSlowdown);
  aLimit.lastSlowdown_ = 1;
}

/** Ends a trial without improvement: accepts the slowdown and restores the limit. */
void
EndTrial(ConcurrencyLimit& aLimit, double aSlowdown)
{
  AcceptSlowdown(aLimit, aSlowdown);
  SetLimit(aLimit, aLimit.trial_->limitBefore_);
  aLimit.trial_.reset();
}

void
BeginTrial(ConcurrencyLimit& aLimit, double aSlowdown)
{
  const std::uint32_t used = std::min(aLimit.limit_, aLimit.peakRunning_);
  aLimit.suspectBlock_.reset();
  if (used <= 1) {
    aLimit.trial_.reset();
    AcceptSlowdown(aLimit, aSlowdown);
    return;
  }
  aLimit.trial_ = LimitTrial{ .limitBefore_ = aLimit.limit_,
                              .slowdownBefore_ = aSlowdown,
                              .goal_ = used / kCutDivisor };
  SetLimit(aLimit, used);
}

/** Starts the measurement once the goal of the trial is reached: requests started from now on show
 * its effect. */
void
BeginMeasurement(ConcurrencyLimit& aLimit)
{
  BeginNewSeries(aLimit.blocks_);
  aLimit.trial_->firstBlock_ = aLimit.blocks_.nextNumber_;
}

/** Updates the slowdown before the trial with a block that was started before the goal was reached.
 */
void
UpdateSlowdownBefore(LimitTrial& aTrial, const BlockJudgement& aJudgement)
{
  if (aJudgement.final_) {
    aTrial.blocksBefore_ += 1;
    const double change = aJudgement.slowdown_ - aTrial.slowdownBefore_;
    aTrial.slowdownBefore_ += change / aTrial.blocksBefore_;
  } else if (aTrial.blocksBefore_ == 0) {
    aTrial.slowdownBefore_ = std::max(aTrial.slowdownBefore_, aJudgement.slowdown_);
  }
}

void
JudgeTrial(ConcurrencyLimit& aLimit, const BlockJudgement& aJudgement)
{
  LimitTrial& trial = *aLimit.trial_;
  if (!trial.firstBlock_ || aJudgement.number_ < *trial.firstBlock_) {
    UpdateSlowdownBefore(trial, aJudgement);
  } else if (aJudgement.slowdown_ > kMaxRemainingShare * trial.slowdownBefore_) {
    EndTrial(aLimit, aJudgement.slowdown_);
  } else if (aJudgement.final_ && IsSlow(aJudgement)) {
    BeginTrial(aLimit, aJudgement.slowdown_);
  } else if (aJudgement.final_) {
    aLimit.trial_.reset();
  }
}

/** Applies the judgement of a block while there is no trial. */
void
JudgeOutsideTrial(ConcurrencyLimit& aLimit, const BlockJudgement& aJudgement)
{
  if (IsSlow(aJudgement)) {
    const bool confirmed = aLimit.suspectBlock_ && *aLimit.suspectBlock_ != aJudgement.number_;
    aLimit.suspectBlock_ = aJudgement.number_;
    if (confirmed || aJudgement.slowdown_ > kSlowRatioSingleBlock) {
      BeginTrial(aLimit, aJudgement.slowdown_);
    }
    return;
  }
  aLimit.suspectBlock_.reset();
  if (aJudgement.slowdown_ < kRecoveredSlowdown) {
    aLimit.acceptedSlowdown_ = std::max(1.0, aLimit.acceptedSlowdown_ * aJudgement.slowdown_);
  }
}

void
ApplyJudgement(ConcurrencyLimit& aLimit, const BlockJudgement& aJudgement)
{
  aLimit.lastSlowdown_ = aJudgement.slowdown_;
  if (aLimit.trial_) {
    JudgeTrial(aLimit, aJudgement);
  } else {
    JudgeOutsideTrial(aLimit, aJudgement);
  }
}

/** Counts the windows of a trial and ends one that takes too long. Without a trial, raises the
 * limit if the last slowdown was healthy or the window had neither a judgement nor saturation. */
void
AdvanceTrialOrRaise(ConcurrencyLimit& aLimit, bool aJudgedOrSaturated)
{
  if (aLimit.trial_) {
    aLimit.trial_->windows_ += 1;
    if (aLimit.trial_->windows_ > kMaxTrialWindows) {
      EndTrial(aLimit, aLimit.trial_->slowdownBefore_);
    }
  } else if (!aJudgedOrSaturated || aLimit.lastSlowdown_ <= kMaxHealthySlowdown) {
    SetLimit(aLimit, aLimit.limit_ + aLimit.limit_ / kRaiseDivisor + 1);
  }
}

/** Judges all blocks, then adjusts the limit by the newest exact judgement and by those of later
 * blocks. Returns whether there was any judgement. */
bool
JudgeBlocks(ConcurrencyLimit& aLimit, Instant aNow)
{
  for (const StartBlock& block : aLimit.blocks_.blocks_) {
    const BlockJudgement judgement = JudgeBlock(aLimit, block, aNow);
    if (judgement.final_ && judgement.count_ >= kMinBlockSize) {
      aLimit.newestFinalBlock_ = std::max(aLimit.newestFinalBlock_, block.number_);
    }
  }
  bool judged = false;
  for (const StartBlock& block : aLimit.blocks_.blocks_) {
    const BlockJudgement judgement = JudgeBlock(aLimit, block, aNow);
    if (block.number_ >= aLimit.newestFinalBlock_ && judgement.count_ >= kMinBlockSize &&
        (judgement.final_ || IsSlow(judgement))) {
      judged = true;
      ApplyJudgement(aLimit, judgement);
    }
  }
  return judged;
}

/** Updates the baselines from the blocks that have mostly ended and removes these blocks. At most
 * one block per window may let the baselines drift, which fixes the rate of drift. */
void
LearnFromBlocks(ConcurrencyLimit& aLimit, Instant aNow)
{
  bool mayDrift = !aLimit.trial_ && aLimit.limit_ >= aLimit.cap_;
  std::erase_if(aLimit.blocks_.blocks_, [&](const StartBlock& aBlock) {
    if (!aBlock.closed_ || !HasMostlyEnded(aBlock)) {
      return false;
    }
    LearnBaselines(aLimit.baselines_, aBlock, { aLimit.acceptedSlowdown_, mayDrift }, aNow);
    mayDrift = false;
    aLimit.typicalUs_ = TypicalUs(aLimit.baselines_, aBlock);
    return true;
  });
}

} // namespace

ConcurrencyLimit
MakeConcurrencyLimit(std::uint32_t aCap)
{
  ConcurrencyLimit limit;
  limit.cap_ = std::max<std::uint32_t>(aCap, 1);
  limit.limit_ = limit.cap_;
  return limit;
}

void
SetCap(ConcurrencyLimit& aLimit, std::uint32_t aCap)
{
  const bool atCap = aLimit.limit_ >= aLimit.cap_;
  aLimit.cap_ = std::max<std::uint32_t>(aCap, 1);
  SetLimit(aLimit, atCap ? aLimit.cap_ : aLimit.limit_);
}

std::optional<SampleIndex>
RecordServiceStart(ConcurrencyLimit& aLimit,
                   std::uint64_t aKindKey,
                   std::uint32_t aRunning,
                   Instant aNow)
{
  aLimit.peakRunning_ = std::max(aLimit.peakRunning_, aRunning);
  return AddStart(aLimit.blocks_, aKindKey, aNow);
}

void
RecordServiceEnd(ConcurrencyLimit& aLimit,
                 const std::optional<SampleIndex>& aSampleIndex,
                 ServiceOutcome aOutcome,
                 Instant aNow)
{
  if (aSampleIndex) {
    MarkEnd(aLimit.blocks_, *aSampleIndex, aOutcome, aNow);
  }
  if (!aLimit.trial_ || aLimit.trial_->firstBlock_) {
    return;
  }
  aLimit.trial_->ended_ += 1;
  if (aLimit.limit_ > aLimit.trial_->goal_ && aLimit.trial_->ended_ >= kEndsPerStepDown) {
    aLimit.trial_->ended_ = 0;
    SetLimit(aLimit, aLimit.limit_ - 1);
  }
  if (aLimit.limit_ <= aLimit.trial_->goal_) {
    BeginMeasurement(aLimit);
  }
}

void
RecordReportedSlowdown(ConcurrencyLimit& aLimit, double aSlowdown, Instant aNow)
{
  if (aSlowdown >= ReportedSlowdown(aLimit, aNow)) {
    aLimit.reportedSlowdown_ = aSlowdown;
    aLimit.reportedAt_ = aNow;
  }
}

void
UpdateLimit(ConcurrencyLimit& aLimit, bool aSaturated, Instant aNow)
{
  // A trial compares two medians, so it requires a larger block.
  CloseOpenBlock(aLimit.blocks_, aLimit.trial_ ? kLargeBlockSize : kMinBlockSize);
  aLimit.acceptedSlowdown_ = std::max(1.0, aLimit.acceptedSlowdown_ * kAcceptedSlowdownDecay);
  const bool judged = JudgeBlocks(aLimit, aNow);
  LearnFromBlocks(aLimit, aNow);
  AdvanceTrialOrRaise(aLimit, judged || aSaturated);
  aLimit.peakRunning_ = 0;
}

Duration
TypicalServiceTime(const ConcurrencyLimit& aLimit)
{
  return Duration(static_cast<Duration::rep>(aLimit.typicalUs_));
}

} // namespace fulmarway
