/** \file
 * Guards against an admission level that does not follow the queueing delay.
 */
#include "AdmissionFixture.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

/** Simulates one window with aArrivals spread evenly over all ranks and aStarts starts. */
void
SimulateWindow(AdmissionLevelControl& aControl, int aArrivals, int aStarts, std::size_t aQueued)
{
  for (int i = 0; i < aArrivals; ++i) {
    RecordArrival(aControl, static_cast<std::uint16_t>(i * 37 % kAdmissionRanks), aQueued);
  }
  for (int i = 0; i < aStarts; ++i) {
    RecordStart(aControl);
  }
  UpdateLevel(aControl, aQueued, std::chrono::milliseconds(40), 100);
}

} // namespace

Test(admission_level, follows_demand_within_five_windows)
{
  AdmissionLevelControl control;
  // 1,024 arrivals for 384 starts: 96 of the 256 ranks can be served.
  for (int window = 0; window < 5; ++window) {
    SimulateWindow(control, 1024, 384, 100 + window);
  }
  cr_assert_leq(control.level_.admitBelow_, 96);
  cr_assert_geq(control.level_.admitBelow_, 80);
}

Test(admission_level, is_raised_step_by_step_to_the_top)
{
  AdmissionLevelControl control;
  control.level_ = kLowestAdmissionLevel;
  std::uint16_t last = control.level_.admitBelow_;
  for (int window = 0; window < 5; ++window) {
    SimulateWindow(control, 10, 10, 0);
    cr_assert_leq(control.level_.admitBelow_ - last, 64);
    last = control.level_.admitBelow_;
  }
  cr_assert_eq(control.level_, kHighestAdmissionLevel);
}

Test(admission_level, rises_by_one_while_the_queue_is_short_but_not_empty)
{
  AdmissionLevelControl control;
  control.level_ = AdmissionLevel{ 100 };
  // 10 queued at 100 starts a window drain in 10 ms; the target is 20 ms.
  SimulateWindow(control, 100, 100, 10);
  cr_assert_eq(control.level_.admitBelow_, 101);
}

Test(admission_level, is_held_while_a_long_queue_drains)
{
  AdmissionLevelControl control;
  control.level_ = AdmissionLevel{ 200 };
  control.lastQueueLength_ = 100;
  SimulateWindow(control, 100, 100, 50);
  cr_assert_eq(control.level_.admitBelow_, 200);
}

Test(admission_level, arrivals_above_the_level_are_refused_only_under_pressure)
{
  AdmissionState state = FullState({ 8, 0, 25 });
  state.level_.level_ = kLowestAdmissionLevel;
  for (std::uint64_t id = 1; id <= kMinQueueLength / 4; ++id) {
    auto step = Offer(std::move(state), MakeArrival(id, Importance::kLow, 9000), At(1));
    state = std::move(step.state_);
    cr_assert(step.result_.shed_.empty());
  }
  auto step = Offer(std::move(state), MakeArrival(5, Importance::kLow, 9000), At(1));
  cr_assert(step.result_.shed_ ==
            (std::vector<ShedRequest>{ { RequestId{ 5 }, Reason::kShedByLevel } }));
  // A request of a higher class above the level displaces one of a lower class.
  step = Offer(std::move(step.state_), MakeArrival(6, Importance::kHigh, 9000), At(1));
  cr_assert(step.result_.shed_ ==
            (std::vector<ShedRequest>{ { RequestId{ 4 }, Reason::kShedByLevel } }));
  step = Offer(std::move(step.state_), MakeArrival(7, Importance::kCritical, 9000), At(1));
  cr_assert(step.result_.shed_.empty());
}
