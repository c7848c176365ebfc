#include "policy/Admission.h"

#include "model/Error.h"

#include <algorithm>
#include <utility>

namespace fulmarway {

namespace {

std::uint32_t
ShareOf(std::uint32_t aWhole, std::uint32_t aPercent)
{
  return std::max<std::uint32_t>(aWhole * std::min<std::uint32_t>(aPercent, 100) / 100, 1);
}

QueueBounds
BoundsOf(const AdmissionSettings& aSettings)
{
  const std::uint32_t slots = std::max<std::uint32_t>(aSettings.slots_, 1);
  return { slots, ShareOf(slots, aSettings.longSharePercent_) };
}

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

void
Start(AdmissionState& aState, AdmissionDecision& aDecision, const Arrival& aArrival, Instant aNow)
{
  aState.running_.emplace(aArrival.id_,
                          RunningRequest{ aArrival.kindKey_, aNow, aArrival.longRunning_ });
  aState.longRunning_ += aArrival.longRunning_ ? 1 : 0;
  aDecision.start_.push_back(aArrival.id_);
}

void
ShedLate(AdmissionState& aState, AdmissionDecision& aDecision, Instant aNow)
{
  std::erase_if(aState.queue_.requests_, [&](const auto& aEntry) {
    const bool late = aEntry.second.arrival_.deadline_ <= aNow;
    if (late) {
      aDecision.shed_.push_back({ aEntry.second.arrival_.id_, Reason::kDeadline });
    }
    return late;
  });
}

/** Starts queued requests while slots are free. Afterwards a free slot means that only long
 * requests above their share are queued. */
void
FillSlots(AdmissionState& aState, AdmissionDecision& aDecision, Instant aNow)
{
  while (HasFreeSlot(aState)) {
    const auto next = TakeFirst(aState.queue_, MayStartLong(aState));
    if (!next) {
      return;
    }
    if (next->arrival_.deadline_ <= aNow) {
      aDecision.shed_.push_back({ next->arrival_.id_, Reason::kDeadline });
    } else {
      Start(aState, aDecision, next->arrival_, aNow);
    }
  }
}

} // namespace

AdmissionState
MakeAdmission(const AdmissionSettings& aSettings, Instant)
{
  AdmissionState state;
  state.settings_ = aSettings;
  return state;
}

Step<AdmissionState, AdmissionDecision>
Configure(AdmissionState aState, const AdmissionSettings& aSettings, Instant aNow)
{
  aState.settings_ = aSettings;
  AdmissionDecision decision;
  FillSlots(aState, decision, aNow);
  for (const RequestId id : Trim(aState.queue_, BoundsOf(aState.settings_))) {
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
  AdmissionDecision decision;
  if (aArrival.deadline_ <= aNow) {
    decision.shed_.push_back({ aArrival.id_, Reason::kDeadline });
  } else if (HasFreeSlot(aState) && (!aArrival.longRunning_ || MayStartLong(aState))) {
    Start(aState, decision, aArrival, aNow);
  } else if (const auto displaced =
               Enqueue(aState.queue_, aArrival, BoundsOf(aState.settings_), aNow)) {
    decision.shed_.push_back({ *displaced, Reason::kShedByQueue });
  }
  return { std::move(aState), std::move(decision) };
}

Step<AdmissionState, AdmissionDecision>
Finish(AdmissionState aState, RequestId aId, CompletionKind, Instant aNow)
{
  AdmissionDecision decision;
  const auto found = aState.running_.find(aId);
  if (found != aState.running_.end()) {
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
  ShedLate(aState, decision, aNow);
  FillSlots(aState, decision, aNow);
  return { std::move(aState), std::move(decision) };
}

AdmissionLevel
LevelOf(const AdmissionState&)
{
  return kHighestAdmissionLevel;
}

std::uint32_t
LimitOf(const AdmissionState& aState)
{
  const std::uint32_t slots = std::max<std::uint32_t>(aState.settings_.slots_, 1);
  return aState.settings_.operatorLimit_ == 0 ? slots
                                              : std::min(slots, aState.settings_.operatorLimit_);
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
  // 100 ms at the highest level up to 1 s when only class critical is admitted.
  const int closed = kHighestAdmissionLevel.admitBelow_ - LevelOf(aState).admitBelow_;
  const int range = kHighestAdmissionLevel.admitBelow_ - kLowestAdmissionLevel.admitBelow_;
  return kAdmissionWindow + kAdmissionWindow * 9 * closed / range;
}

} // namespace fulmarway
