/** \file
 * Load pattern: requests that cannot be repeated, of which a few take several times their usual
 * time. On a slow backend server these miss their deadline, and no hedge can help them.
 */
#include "policy/Routing.h"

#include <criterion/criterion.h>
#include <map>

using namespace fulmarway;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kKind = 7;

/** Four backend servers, one in each failure domain; the nearest one is the slowest. */
struct Fleet
{
  std::vector<RouteCandidate> candidates_ = { { NodeId{ 1 }, true, true, false },
                                              { NodeId{ 2 }, false, true, false },
                                              { NodeId{ 3 }, false, true, false },
                                              { NodeId{ 4 }, false, true, false } };
  RoutingState state_;
  Instant now_{ 100s };

  void Report(std::uint64_t aNode, Duration aServiceTime, std::uint32_t aRunning)
  {
    state_ = RecordAttemptStart(std::move(state_), NodeId{ aNode }, now_);
    AttemptReport report;
    report.target_ = NodeId{ aNode };
    report.latency_ = aServiceTime;
    report.kindKey_ = kKind;
    report.load_ =
      LoadReport{ kHighestAdmissionLevel, 70, aRunning, 0, kHighestAdmissionLevel, aServiceTime };
    state_ = RecordAttemptEnd(std::move(state_), report, candidates_, now_);
  }

  std::map<std::uint64_t, int> Choose(bool aSingleAttempt, int aCount) const
  {
    std::map<std::uint64_t, int> chosen;
    for (int i = 0; i < aCount; ++i) {
      RouteQuery query;
      query.kindKey_ = kKind;
      query.entropy_ = static_cast<std::uint64_t>(i) * 0x9E3779B97F4A7C15ULL;
      query.singleAttempt_ = aSingleAttempt;
      ++chosen[ChooseTarget(state_, candidates_, query, now_).target_.value_];
    }
    return chosen;
  }
};

} // namespace

Test(single_attempt_placement, the_fastest_backend_server_is_chosen)
{
  Fleet fleet;
  fleet.Report(1, 400ms, 5);
  fleet.Report(2, 250ms, 5);
  fleet.Report(3, 170ms, 5);
  fleet.Report(4, 260ms, 5);
  cr_expect_eq(fleet.Choose(true, 200)[3], 200);
  cr_expect_eq(fleet.Choose(false, 200)[1], 200, "others stay in the local failure domain");
}

/** Guards against a fast backend server that gets more than it has slots for. */
Test(single_attempt_placement, a_busy_backend_server_is_avoided)
{
  Fleet fleet;
  fleet.Report(1, 400ms, 5);
  fleet.Report(2, 250ms, 5);
  fleet.Report(3, 170ms, 68);
  fleet.Report(4, 260ms, 5);
  cr_expect_eq(fleet.Choose(true, 200)[2], 200);
}

/** Guards against backend servers that never get a request because they have not reported yet. */
Test(single_attempt_placement, a_backend_server_without_a_report_gets_requests)
{
  Fleet fleet;
  fleet.Report(1, 400ms, 5);
  fleet.Report(3, 170ms, 5);
  const auto chosen = fleet.Choose(true, 200);
  cr_expect_geq(chosen.at(2) + chosen.at(4), 100);
  cr_expect_not(chosen.contains(1));
}

/** Guards against traffic between failure domains that gains little. */
Test(single_attempt_placement, a_little_faster_is_no_reason_to_leave_the_domain)
{
  Fleet fleet;
  fleet.Report(1, 200ms, 5);
  fleet.Report(2, 250ms, 5);
  fleet.Report(3, 170ms, 5);
  fleet.Report(4, 260ms, 5);
  cr_expect_eq(fleet.Choose(true, 200)[1], 200);
}

/** Guards against a request that crosses regions for a faster backend server: the network time
 * would exceed the gain. */
Test(single_attempt_placement, the_region_is_not_left)
{
  Fleet fleet;
  fleet.candidates_[2].sameRegion_ = false;
  fleet.Report(1, 400ms, 5);
  fleet.Report(2, 250ms, 5);
  fleet.Report(3, 170ms, 5);
  fleet.Report(4, 260ms, 5);
  cr_expect_eq(fleet.Choose(true, 200)[2], 200);
}
