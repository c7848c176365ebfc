#include "policy/CallDependencies.h"

namespace fulmarway {

namespace {

/** Decay of earlier outcomes at each new one; about the last ten count. */
constexpr double kOutcomeDecay = 0.9;
/** Decayed number of outcomes below which a call is not considered required. */
constexpr double kMinOutcomes = 2.5;
constexpr double kRequiredFailureShare = 0.8;
/** Decay of earlier finished requests; about the last 50 count, so that the mean of a kind whose
 * requests differ is stable. */
constexpr double kFinishedDecay = 0.98;

/** The record of the call; nullptr when the table has no room for it. */
DependencyOutcomes*
FindOrAdd(CallDependencies& aState, std::uint64_t aKindKey, const DownstreamCall& aCall)
{
  if (!aState.byKind_.contains(aKindKey) && aState.byKind_.size() >= kMaxDependentKinds) {
    return nullptr;
  }
  auto& calls = aState.byKind_[aKindKey];
  return calls.contains(aCall) || calls.size() < kMaxDownstreamCalls ? &calls[aCall] : nullptr;
}

} // namespace

CallDependencies
RecordRefusedCall(CallDependencies aState,
                  std::uint64_t aKindKey,
                  const DownstreamCall& aCall,
                  bool aHasFailed)
{
  if (DependencyOutcomes* outcomes = FindOrAdd(aState, aKindKey, aCall)) {
    outcomes->ended_ = outcomes->ended_ * kOutcomeDecay + 1;
    outcomes->failed_ = outcomes->failed_ * kOutcomeDecay + (aHasFailed ? 1 : 0);
  }
  return aState;
}

CallDependencies
RecordFinishedRequest(CallDependencies aState,
                      std::uint64_t aKindKey,
                      const std::map<DownstreamCall, std::uint32_t>& aCalls)
{
  for (const auto& [call, times] : aCalls) {
    FindOrAdd(aState, aKindKey, call);
  }
  const auto kind = aState.byKind_.find(aKindKey);
  if (kind == aState.byKind_.end()) {
    return aState;
  }
  for (auto& [call, outcomes] : kind->second) {
    const auto made = aCalls.find(call);
    outcomes.finished_ = outcomes.finished_ * kFinishedDecay + 1;
    outcomes.calls_ =
      outcomes.calls_ * kFinishedDecay + (made == aCalls.end() ? 0.0 : made->second);
  }
  return aState;
}

double
MeanCalls(const CallDependencies& aState, std::uint64_t aKindKey, const DownstreamCall& aCall)
{
  const auto kind = aState.byKind_.find(aKindKey);
  if (kind == aState.byKind_.end()) {
    return 1;
  }
  const auto found = kind->second.find(aCall);
  return found == kind->second.end() || found->second.finished_ == 0
           ? 1
           : found->second.calls_ / found->second.finished_;
}

std::vector<DownstreamCall>
RequiredCalls(const CallDependencies& aState, std::uint64_t aKindKey)
{
  std::vector<DownstreamCall> required;
  const auto found = aState.byKind_.find(aKindKey);
  if (found == aState.byKind_.end()) {
    return required;
  }
  for (const auto& [call, outcomes] : found->second) {
    if (outcomes.ended_ >= kMinOutcomes &&
        outcomes.failed_ >= kRequiredFailureShare * outcomes.ended_) {
      required.push_back(call);
    }
  }
  return required;
}

} // namespace fulmarway
