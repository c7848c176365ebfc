#include "policy/Admission.h"

#include "model/Error.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fulmarway {

namespace {

/** The queue counts as under pressure once a quarter of its bound is filled. */
constexpr std::uint32_t kPressureDivisor = 4;

std::uint32_t
ShareOf(std::uint32_t aWhole, std::uint32_t aPercent)
{
  return std::max<std::uint32_t>(aWhole * std::min<std::uint32_t>(aPercent, 100) / 100, 1);
}

/** Under a limit on requests per second, longer queues would only use up the deadlines. */
constexpr double kMaxQueueSecondsAtLimit = 0.5;

QueueBounds
BoundsOf(const AdmissionState& aState)
{
  const std::uint32_t slots = std::max<std::uint32_t>(aState.settings_.slots_, 1);
  const std::uint32_t wanted =
    aState.startRate_.perSecond_
      ? static_cast<std::uint32_t>(std::min<double>(
          slots, std::ceil(*aState.startRate_.perSecond_ * kMaxQueueSecondsAtLimit)))
      : slots;
  return { std::max(wanted, kMinQueueLength), ShareOf(slots, aState.settings_.longSharePercent_) };
}

std::uint32_t
CapOf(const AdmissionSettings& aSettings)
{
  return aSettings.operatorLimit_ == 0 ? aSettings.slots_
                                       : std::min(aSettings.slots_, aSettings.operatorLimit_);
}

/** Whether another long-running request may start. Their share is taken of the limit in effect and
 * not of the slots, so that they cannot occupy all of a lowered limit. */
bool
MayStartLong(const AdmissionState& aState)
{
  return aState.longRunning_ < ShareOf(LimitOf(aState), aState.settings_.longSharePercent_);
}

bool
HasFreeSlot(const AdmissionState& aState)
{
  return aState.running_.size() < LimitOf(aState);
}

/** Whether the request would miss its deadline even with a fast service time. */
bool
IsTooLate(const AdmissionState& aState, const Arrival& aArrival, Instant aNow)
{
  const Duration needed =
    std::max(FastServiceTimeOf(aState.fastTimes_, aArrival.kindKey_), Duration{ 1 });
  return aNow + needed > aArrival.deadline_;
}

/** The local admission level is enforced only under pressure: while requests can start or the queue
 * is short, refusing requests would reduce throughput. */
bool
IsUnderPressure(const AdmissionState& aState, Instant aNow)
{
  return !MayStart(aState, aNow) &&
         QueuedCount(aState) >=
           std::max<std::uint32_t>(
             static_cast<std::uint32_t>(BoundsOf(aState).total_) / kPressureDivisor, 1);
}

void
Start(AdmissionState& aState, AdmissionDecision& aDecision, const Arrival& aArrival, Instant aNow)
{
  TakeStart(aState.startRate_, aNow);
  RunningRequest& running = aState.running_[aArrival.id_];
  running = { aArrival.kindKey_, aNow, aArrival.longRunning_, std::nullopt };
  if (aArrival.longRunning_) {
    // Long-running requests queue for their share of the slots, and their service times vary too
    // much to measure the health of the backend server. Neither the limit nor the level uses them.
    aState.longRunning_ += 1;
  } else {
    running.sampleIndex_ =
      RecordServiceStart(aState.limit_, aArrival.kindKey_, RunningCount(aState), aNow);
    RecordStart(aState.level_);
  }
  aDecision.start_.push_back(aArrival.id_);
}

/** Queues an arrival. While the queue is under pressure, a request above the admission level or of
 * another failure domain is queued only if it displaces a request of a higher rank. */
void
EnqueueArrival(AdmissionState& aState,
               AdmissionDecision& aDecision,
               const Arrival& aArrival,
               Instant aNow)
{
  const bool refuse =
    IsUnderPressure(aState, aNow) &&
    (aArrival.fromOtherDomain_ ||
     !IsAdmitted(LevelOf(aState), aArrival.importance_, aArrival.rootRequestBucket_));
  QueueBounds bounds = BoundsOf(aState);
  const bool full = QueuedCount(aState) >= bounds.total_;
  if (refuse) {
    bounds.total_ = std::min<std::size_t>(bounds.total_, QueuedCount(aState));
  }
  if (const auto displaced = Enqueue(aState.queue_, aArrival, bounds, aNow)) {
    aDecision.shed_.push_back({ *displaced, refuse ? Reason::kShedByLevel : Reason::kShedByQueue });
    if (full && !aArrival.fromOtherDomain_) {
      RecordOverflow(aState.level_);
    }
  }
}

void
ShedLate(AdmissionState& aState, AdmissionDecision& aDecision, Instant aNow)
{
  std::erase_if(aState.queue_.requests_, [&](const auto& aEntry) {
    const bool late = IsTooLate(aState, aEntry.second.arrival_, aNow);
    if (late) {
      aDecision.shed_.push_back({ aEntry.second.arrival_.id_, Reason::kDeadline });
    }
    return late;
  });
}

/** Starts queued requests while they may start. If one still may start afterwards, only
 * long-running requests beyond their share are queued. */
void
FillSlots(AdmissionState& aState, AdmissionDecision& aDecision, Instant aNow)
{
  while (MayStart(aState, aNow)) {
    const auto next = PopFirst(aState.queue_, MayStartLong(aState));
    if (!next) {
      return;
    }
    if (IsTooLate(aState, next->arrival_, aNow)) {
      aDecision.shed_.push_back({ next->arrival_.id_, Reason::kDeadline });
    } else {
      Start(aState, aDecision, next->arrival_, aNow);
    }
  }
}

/** Number of slots that the start rate can keep busy (Little's law), if that is fewer than the
 * concurrency limit allows. */
std::uint32_t
UsableSlots(const AdmissionState& aState)
{
  const std::uint32_t limit = LimitOf(aState);
  if (!aState.startRate_.perSecond_) {
    return limit;
  }
  const double busy = *aState.startRate_.perSecond_ *
                      std::chrono::duration<double>(TypicalServiceTime(aState.limit_)).count();
  return std::clamp(
    static_cast<std::uint32_t>(std::min<double>(std::ceil(busy), limit)), 1U, limit);
}

/** Number of queued requests without the long-running ones, which wait for their share and not for
 * a free slot. */
std::size_t
WaitingForSlot(const AdmissionState& aState)
{
  const auto& requests = aState.queue_.requests_;
  return static_cast<std::size_t>(
    std::count_if(requests.begin(), requests.end(), [](const auto& aEntry) {
      return !aEntry.second.arrival_.longRunning_;
    }));
}

void
RecordCompletion(AdmissionState& aState,
                 const RunningRequest& aRequest,
                 CompletionKind aKind,
                 Instant aNow)
{
  const Duration elapsed = aNow - aRequest.startedAt_;
  if (aKind == CompletionKind::kSucceeded) {
    RecordServiceTime(aState.fastTimes_, aRequest.kindKey_, elapsed, aNow);
  } else {
    RecordCensoredServiceTime(aState.fastTimes_, aRequest.kindKey_, elapsed);
  }
  if (!aRequest.longRunning_) {
    const ServiceOutcome outcome = aKind == CompletionKind::kSucceeded ? ServiceOutcome::kCompleted
                                   : aKind == CompletionKind::kFailed  ? ServiceOutcome::kExcluded
                                                                       : ServiceOutcome::kCensored;
    RecordServiceEnd(aState.limit_, aRequest.sampleIndex_, outcome, aNow);
  }
}

} // namespace

AdmissionState
MakeAdmission(const AdmissionSettings& aSettings, Instant)
{
  AdmissionState state;
  state.settings_ = aSettings;
  state.limit_ = MakeConcurrencyLimit(CapOf(aSettings));
  return state;
}

Step<AdmissionState, AdmissionDecision>
Configure(AdmissionState aState, const AdmissionSettings& aSettings, Instant aNow)
{
  aState.settings_ = aSettings;
  SetCap(aState.limit_, CapOf(aSettings));
  AdmissionDecision decision;
  FillSlots(aState, decision, aNow);
  for (const RequestId id : TrimToBound(aState.queue_, BoundsOf(aState))) {
    decision.shed_.push_back({ id, Reason::kShedByQueue });
  }
  return { std::move(aState), std::move(decision) };
}

Step<AdmissionState, AdmissionDecision>
Offer(AdmissionState aState, const Arrival& aArrival, Instant aNow)
{
  if (aState.running_.contains(aArrival.id_) || IsQueued(aState.queue_, aArrival.id_)) {
    throw InternalError("request is already queued or running");
  }
  // Requests of other failure domains do not count as load, since they must not lower the level for
  // the own ones.
  if (!aArrival.longRunning_ && !aArrival.offeredBefore_ && !aArrival.fromOtherDomain_) {
    RecordArrival(aState.level_,
                  AdmissionRank(aArrival.importance_, aArrival.rootRequestBucket_),
                  WaitingForSlot(aState));
  }
  AdmissionDecision decision;
  // The limit on requests per second may allow starts again since the last event.
  FillSlots(aState, decision, aNow);
  if (IsTooLate(aState, aArrival, aNow)) {
    decision.shed_.push_back({ aArrival.id_, Reason::kDeadline });
  } else if (MayStart(aState, aNow) && (!aArrival.longRunning_ || MayStartLong(aState))) {
    Start(aState, decision, aArrival, aNow);
  } else {
    EnqueueArrival(aState, decision, aArrival, aNow);
  }
  return { std::move(aState), std::move(decision) };
}

Step<AdmissionState, AdmissionDecision>
Finish(AdmissionState aState, RequestId aId, CompletionKind aKind, Instant aNow)
{
  AdmissionDecision decision;
  const auto found = aState.running_.find(aId);
  if (found != aState.running_.end()) {
    RecordCompletion(aState, found->second, aKind, aNow);
    aState.longRunning_ -= found->second.longRunning_ ? 1 : 0;
    aState.running_.erase(found);
    FillSlots(aState, decision, aNow);
  }
  return { std::move(aState), std::move(decision) };
}

Step<AdmissionState, AdmissionDecision>
Withdraw(AdmissionState aState, RequestId aId, Instant)
{
  Remove(aState.queue_, aId);
  return { std::move(aState), {} };
}

Step<AdmissionState, AdmissionDecision>
Advance(AdmissionState aState, Instant aNow)
{
  AdmissionDecision decision;
  DecayServiceTimes(aState.fastTimes_, aNow);
  ShedLate(aState, decision, aNow);
  UpdateLimit(aState.limit_, !HasFreeSlot(aState), aNow);
  UpdateLevel(
    aState.level_, WaitingForSlot(aState), TypicalServiceTime(aState.limit_), UsableSlots(aState));
  FillSlots(aState, decision, aNow);
  return { std::move(aState), std::move(decision) };
}

Step<AdmissionState, bool>
SetNamedLimit(AdmissionState aState, std::optional<double> aPerSecond, Instant aNow)
{
  const bool hasChanged = RecordNamedLimit(aState.startRate_, aPerSecond, aNow);
  return { std::move(aState), hasChanged };
}

bool
MayStart(const AdmissionState& aState, Instant aNow)
{
  return HasFreeSlot(aState) && MayStartNow(aState.startRate_, aNow);
}

AdmissionLevel
LevelOf(const AdmissionState& aState)
{
  return aState.level_.level_;
}

std::uint32_t
LimitOf(const AdmissionState& aState)
{
  return aState.limit_.limit_;
}

std::uint32_t
RunningCount(const AdmissionState& aState)
{
  return static_cast<std::uint32_t>(aState.running_.size());
}

std::uint32_t
QueuedCount(const AdmissionState& aState)
{
  return static_cast<std::uint32_t>(aState.queue_.requests_.size());
}

Duration
RetryAfterHint(const AdmissionState& aState)
{
  // 100 ms at the highest level, rising linearly to 1 s when only class critical is admitted.
  const int closed = kHighestAdmissionLevel.admitBelow_ - LevelOf(aState).admitBelow_;
  const int range = kHighestAdmissionLevel.admitBelow_ - kLowestAdmissionLevel.admitBelow_;
  return kAdmissionWindow + kAdmissionWindow * 9 * closed / range;
}

} // namespace fulmarway
