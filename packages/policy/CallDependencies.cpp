#include "policy/CallDependencies.h"

namespace fulmarway {

namespace {

/** Decay of earlier outcomes at each new one; about the last ten count. */
constexpr double kOutcomeDecay = 0.9;
/** Decayed number of outcomes below which a call is not considered required. */
constexpr double kMinOutcomes = 2.5;
constexpr double kRequiredFailureShare = 0.8;

} // namespace

CallDependencies
RecordRefusedCall(CallDependencies aState,
                  std::uint64_t aKindKey,
                  const DownstreamCall& aCall,
                  bool aHasFailed)
{
  if (!aState.byKind_.contains(aKindKey) && aState.byKind_.size() >= kMaxDependentKinds) {
    return aState;
  }
  auto& calls = aState.byKind_[aKindKey];
  if (!calls.contains(aCall) && calls.size() >= kMaxDownstreamCalls) {
    return aState;
  }
  DependencyOutcomes& outcomes = calls[aCall];
  outcomes.ended_ = outcomes.ended_ * kOutcomeDecay + 1;
  outcomes.failed_ = outcomes.failed_ * kOutcomeDecay + (aHasFailed ? 1 : 0);
  return aState;
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
