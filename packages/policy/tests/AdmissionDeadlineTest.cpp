/** \file
 * Guards against executing requests that cannot finish before their deadline, and against refusing
 * those that can.
 */
#include "AdmissionFixture.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

/** A state with 2 slots in which aCount requests of kind 1 have completed, each with this service
 * time. */
AdmissionState
AfterCompletions(std::uint32_t aCount, std::int64_t aServiceMs)
{
  AdmissionState state = MakeAdmission({ 2, 0, 25 }, At(0));
  for (std::uint64_t id = 1; id <= aCount; ++id) {
    state = Offer(std::move(state), MakeArrival(id, Importance::kNormal, 60000), At(0)).state_;
    state =
      Finish(std::move(state), RequestId{ id }, CompletionKind::kSucceeded, At(aServiceMs)).state_;
  }
  return state;
}

struct DeadlineCase
{
  const char* name_;
  std::uint32_t sampleCount_;
  std::uint64_t kind_;
  std::int64_t remainingMs_;
  bool refused_;
};

} // namespace

Test(admission_deadline, refused_only_when_a_fast_service_time_would_miss_it)
{
  const DeadlineCase cases[] = {
    { "passed", 0, 1, 0, true },
    { "in the past", 0, 1, -50, true },
    { "no observations", 0, 1, 1, false },
    { "too few observations", 7, 1, 10, false },
    { "known to need longer", 8, 1, 49, true },
    { "fits", 8, 1, 50, false },
    { "another kind", 8, 2, 10, false },
  };
  for (const DeadlineCase& example : cases) {
    AdmissionState state = AfterCompletions(example.sampleCount_, 50);
    Arrival arrival = MakeArrival(100, Importance::kCritical, 100 + example.remainingMs_);
    arrival.kindKey_ = example.kind_;
    const AdmissionDecision decision = Offer(std::move(state), arrival, At(100)).result_;
    cr_assert_eq(decision.shed_.size(), example.refused_ ? 1U : 0U, "%s", example.name_);
    cr_assert_eq(decision.start_.size(), example.refused_ ? 0U : 1U, "%s", example.name_);
    if (example.refused_) {
      cr_assert_eq(decision.shed_.front().reason_, Reason::kDeadline, "%s", example.name_);
    }
  }
}

Test(admission_deadline, checked_again_before_a_queued_request_runs)
{
  AdmissionState state = FullState({ 1, 0, 25 });
  state = Offer(std::move(state), MakeArrival(1, Importance::kCritical, 50), At(1)).state_;
  const auto step = Finish(state, RequestId{ 1000 }, CompletionKind::kSucceeded, At(50));
  cr_assert(step.result_.start_.empty());
  cr_assert(step.result_.shed_ ==
            (std::vector<ShedRequest>{ { RequestId{ 1 }, Reason::kDeadline } }));
}

Test(admission_deadline, expired_queue_entries_are_shed_in_the_next_window)
{
  AdmissionState state = FullState({ 2, 0, 25 });
  state = Offer(std::move(state), MakeArrival(1, Importance::kCritical, 50), At(1)).state_;
  state = Offer(std::move(state), MakeArrival(2, Importance::kLow, 5000), At(1)).state_;
  const auto step = Advance(std::move(state), At(100));
  cr_assert(step.result_.shed_ ==
            (std::vector<ShedRequest>{ { RequestId{ 1 }, Reason::kDeadline } }));
  cr_assert_eq(QueuedCount(step.state_), 1U);
}

// Without decay, a kind that was slow once would be refused permanently, because no execution would
// correct its estimate.
Test(admission_deadline, a_kind_that_was_slow_is_not_refused_permanently)
{
  AdmissionState state = AfterCompletions(20, 5000);
  std::int64_t now = 6000;
  bool started = false;
  for (; !started && now < 12000; now += 100) {
    state = Advance(std::move(state), At(now)).state_;
    auto step = Offer(std::move(state), MakeArrival(now, Importance::kNormal, now + 1000), At(now));
    state = std::move(step.state_);
    started = !step.result_.start_.empty();
  }
  cr_assert(started);
}
