/** \file
 * Guards against long-running requests that occupy all slots or block short requests queued behind
 * them.
 */
#include "AdmissionFixture.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

struct ShareCase
{
  std::uint32_t slots_;
  std::uint32_t operatorLimit_;
  std::uint32_t percent_;
  /** Long-running requests that may run concurrently. */
  std::uint32_t share_;
};

} // namespace

Test(long_share, number_of_running_long_requests)
{
  const ShareCase cases[] = {
    { 40, 0, 25, 10 }, { 15, 0, 25, 3 }, { 3, 0, 25, 1 },    { 1, 0, 25, 1 },
    { 16, 0, 0, 1 },   { 16, 8, 25, 2 }, { 16, 0, 100, 16 }, { 16, 0, 400, 16 },
  };
  for (const ShareCase& example : cases) {
    AdmissionState state =
      MakeAdmission({ example.slots_, example.operatorLimit_, example.percent_ }, At(0));
    for (std::uint64_t id = 1; id <= 50; ++id) {
      state =
        Offer(std::move(state), MakeArrival(id, Importance::kNormal, 9000, true), At(0)).state_;
    }
    cr_assert_eq(RunningCount(state), example.share_, "%u slots", example.slots_);
  }
}

Test(long_share, queued_long_request_does_not_block_a_short_one)
{
  AdmissionState state = MakeAdmission({ 4, 0, 25 }, At(0));
  state = Offer(std::move(state), MakeArrival(1, Importance::kHigh, 9000, true), At(0)).state_;
  state = Offer(std::move(state), MakeArrival(2, Importance::kHigh, 9000, true), At(0)).state_;
  cr_assert_eq(QueuedCount(state), 1U);

  const auto arrives = Offer(std::move(state), MakeArrival(3, Importance::kLow, 9000), At(1));
  cr_assert(arrives.result_.start_ == std::vector{ RequestId{ 3 } });

  const auto ends = Finish(arrives.state_, RequestId{ 1 }, CompletionKind::kSucceeded, At(2));
  cr_assert(ends.result_.start_ == std::vector{ RequestId{ 2 } });
}

Test(long_share, short_request_behind_a_blocked_long_one_takes_the_next_free_slot)
{
  AdmissionState state = FullState({ 4, 0, 25 });
  state = Finish(std::move(state), RequestId{ 1000 }, CompletionKind::kFailed, At(1)).state_;
  const Arrival arrivals[] = { MakeArrival(1, Importance::kHigh, 9000, true),
                               MakeArrival(2, Importance::kHigh, 9000, true),
                               MakeArrival(3, Importance::kLow, 9000) };
  for (const Arrival& arrival : arrivals) {
    state = Offer(std::move(state), arrival, At(2)).state_;
  }
  const auto ends = Finish(state, RequestId{ 1001 }, CompletionKind::kSucceeded, At(3));
  cr_assert(ends.result_.start_ == std::vector{ RequestId{ 3 } });
}

Test(long_share, long_requests_leave_places_in_the_queue)
{
  AdmissionState state = FullState({ 4, 0, 25 });
  state = Offer(std::move(state), MakeArrival(1, Importance::kNormal, 9000, true), At(1)).state_;
  auto step = Offer(std::move(state), MakeArrival(2, Importance::kNormal, 9000, true), At(1));
  cr_assert(step.result_.shed_ ==
            (std::vector<ShedRequest>{ { RequestId{ 2 }, Reason::kShedByQueue } }));
  step = Offer(std::move(step.state_), MakeArrival(3, Importance::kHigh, 9000, true), At(1));
  cr_assert(step.result_.shed_ ==
            (std::vector<ShedRequest>{ { RequestId{ 1 }, Reason::kShedByQueue } }));
  step = Offer(std::move(step.state_), MakeArrival(4, Importance::kLow, 9000), At(1));
  cr_assert(step.result_.shed_.empty());
}
