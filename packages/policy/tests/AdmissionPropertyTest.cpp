/** \file
 * Guards against class inversion, lost or duplicated requests and exceeded bounds, for any order of
 * events.
 */
#include "AdmissionFixture.h"
#include "model/Error.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace fulmarway;

namespace {

/** A value in [aFrom, aTo); drawn from the whole range whatever the size of the test case. */
template<typename T>
T
Pick(T aFrom, T aTo)
{
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(aFrom, aTo));
}

/** Reference model of the queued and running requests, built from the decisions alone. */
struct Model
{
  AdmissionState state_;
  std::map<RequestId, Arrival> queued_;
  std::map<RequestId, Arrival> running_;
  std::uint64_t nextId_ = 1;
  std::int64_t nowMs_ = 0;
};

std::size_t
CountLong(const std::map<RequestId, Arrival>& aRequests)
{
  return static_cast<std::size_t>(
    std::count_if(aRequests.begin(), aRequests.end(), [](const auto& aEntry) {
      return aEntry.second.longRunning_;
    }));
}

/** When a request is shed for capacity, no request of a lower class stays in the queue. A
 * long-running request below class critical competes only with other long-running ones. */
void
CheckShed(const Model& aModel, const Arrival& aShed, const AdmissionDecision& aDecision)
{
  for (const auto& [id, other] : aModel.queued_) {
    const bool competes =
      !aShed.longRunning_ || aShed.importance_ == Importance::kCritical || other.longRunning_;
    RC_ASSERT(!(competes && other.importance_ > aShed.importance_));
  }
  for (const RequestId id : aDecision.start_) {
    RC_ASSERT(aModel.running_.at(id).importance_ <= aShed.importance_);
  }
}

/** When a request is started, no short request of a higher class stays in the queue. */
void
CheckStart(const Model& aModel, const Arrival& aStarted)
{
  for (const auto& [id, other] : aModel.queued_) {
    RC_ASSERT(other.longRunning_ || other.importance_ >= aStarted.importance_);
  }
}

void
Apply(Model& aModel, Step<AdmissionState, AdmissionDecision> aStep)
{
  aModel.state_ = std::move(aStep.state_);
  for (const RequestId id : aStep.result_.start_) {
    RC_ASSERT(aModel.queued_.contains(id));
    aModel.running_.insert(aModel.queued_.extract(id));
  }
  std::vector<std::pair<Arrival, Reason>> shed;
  for (const ShedRequest& request : aStep.result_.shed_) {
    RC_ASSERT(aModel.queued_.contains(request.id_));
    shed.emplace_back(aModel.queued_.extract(request.id_).mapped(), request.reason_);
  }
  for (const auto& [arrival, reason] : shed) {
    RC_ASSERT(reason != Reason::kShedByLevel || arrival.importance_ != Importance::kCritical);
    if (reason != Reason::kDeadline) {
      CheckShed(aModel, arrival, aStep.result_);
    }
  }
  const AdmissionState& state = aModel.state_;
  const AdmissionSettings& settings = state.settings_;
  if (!aStep.result_.start_.empty()) {
    RC_ASSERT(aModel.running_.size() <= LimitOf(state));
    CheckStart(aModel, aModel.running_.at(aStep.result_.start_.back()));
  }
  const bool startedLong =
    std::any_of(aStep.result_.start_.begin(), aStep.result_.start_.end(), [&](RequestId aId) {
      return aModel.running_.at(aId).longRunning_;
    });
  RC_ASSERT(!startedLong ||
            CountLong(aModel.running_) <=
              std::max<std::size_t>(LimitOf(state) * settings.longSharePercent_ / 100, 1));
  RC_ASSERT(QueuedCount(state) == aModel.queued_.size());
  RC_ASSERT(RunningCount(state) == aModel.running_.size());
  RC_ASSERT(QueuedCount(state) <= std::max(settings.slots_, kMinQueueLength));
  RC_ASSERT(LimitOf(state) >= 1U);
  RC_ASSERT(LimitOf(state) <= settings.slots_);
  RC_ASSERT(settings.operatorLimit_ == 0 || LimitOf(state) <= settings.operatorLimit_);
  RC_ASSERT(LevelOf(state) >= kLowestAdmissionLevel);
}

AdmissionSettings
AnySettings()
{
  return { Pick<std::uint32_t>(1, 9), Pick<std::uint32_t>(0, 9), Pick<std::uint32_t>(0, 101) };
}

RequestId
AnyOf(const std::map<RequestId, Arrival>& aRequests)
{
  return std::next(aRequests.begin(), Pick<std::ptrdiff_t>(0, std::ssize(aRequests)))->first;
}

void
OfferAny(Model& aModel)
{
  const Arrival arrival{
    RequestId{ aModel.nextId_++ },       Pick<std::uint64_t>(1, 3),
    static_cast<Importance>(Pick(0, 4)), Pick<std::uint8_t>(0, kRootRequestBuckets),
    At(aModel.nowMs_ + Pick(0, 2000)),   Pick(0, 4) == 0,
  };
  aModel.queued_.emplace(arrival.id_, arrival);
  Apply(aModel, Offer(std::move(aModel.state_), arrival, At(aModel.nowMs_)));
}

void
FinishAny(Model& aModel)
{
  const RequestId id = AnyOf(aModel.running_);
  aModel.running_.erase(id);
  const auto kind =
    static_cast<CompletionKind>(*rc::gen::weightedElement<int>({ { 6, 0 }, { 1, 1 }, { 1, 2 } }));
  Apply(aModel, Finish(std::move(aModel.state_), id, kind, At(aModel.nowMs_)));
}

void
TakeStep(Model& aModel)
{
  const int action = Pick(0, 20);
  if (action < 10) {
    OfferAny(aModel);
  } else if (action < 16) {
    if (!aModel.running_.empty()) {
      FinishAny(aModel);
    }
  } else if (action == 16) {
    if (!aModel.queued_.empty()) {
      const RequestId id = AnyOf(aModel.queued_);
      aModel.queued_.erase(id);
      Apply(aModel, Withdraw(std::move(aModel.state_), id, At(aModel.nowMs_)));
    }
  } else if (action < 19) {
    aModel.nowMs_ += 100;
    Apply(aModel, Advance(std::move(aModel.state_), At(aModel.nowMs_)));
  } else {
    Apply(aModel, Configure(std::move(aModel.state_), AnySettings(), At(aModel.nowMs_)));
  }
  aModel.nowMs_ += Pick(0, 20);
}

} // namespace

Test(admission_property, classes_bounds_and_conservation_in_any_order_of_events)
{
  const auto outcome = rc::check("admission invariants", [] {
    Model model;
    model.state_ = MakeAdmission(AnySettings(), At(0));
    for (int left = Pick(10, 150); left > 0; --left) {
      TakeStep(model);
    }
  });
  cr_assert(outcome);
}

Test(admission_property, a_second_request_with_the_same_id_is_an_internal_error)
{
  AdmissionState state = FullState({ 1, 0, 25 });
  cr_assert_throw(Offer(state, MakeArrival(1000, Importance::kHigh, 900), At(1)), InternalError);
  state = Offer(std::move(state), MakeArrival(1, Importance::kHigh, 900), At(1)).state_;
  cr_assert_throw(Offer(state, MakeArrival(1, Importance::kHigh, 900), At(1)), InternalError);
}

Test(admission_property, unknown_ids_change_nothing)
{
  const AdmissionState state = FullState({ 2, 0, 25 });
  cr_assert(Finish(state, RequestId{ 5 }, CompletionKind::kFailed, At(1)).state_ == state);
  cr_assert(Withdraw(state, RequestId{ 5 }, At(1)).state_ == state);
  cr_assert(Withdraw(state, RequestId{ 1000 }, At(1)).state_ == state);
}
