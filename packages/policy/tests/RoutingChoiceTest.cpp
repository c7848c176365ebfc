/** \file
 * Guards against targets that are not candidates, needless use of distant targets, refusals that
 * outlast their cause, and ejection of too many targets.
 */
#include "policy/Routing.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ std::chrono::hours(1) };

RouteCandidate
Local(std::uint64_t aId)
{
  return { NodeId{ aId }, true, true, false };
}

RouteCandidate
Remote(std::uint64_t aId)
{
  return { NodeId{ aId }, false, false, false };
}

RoutingState
WithOutcome(RoutingState aState,
            std::uint64_t aTarget,
            AttemptReport aReport,
            const std::vector<RouteCandidate>& aTargets,
            Instant aNow)
{
  aReport.target_ = NodeId{ aTarget };
  aState = RecordAttemptStart(std::move(aState), aReport.target_, aNow - aReport.latency_);
  return RecordAttemptEnd(std::move(aState), aReport, aTargets, aNow);
}

/** A state in which the targets have answered 30 times with their usual latency and are past slow
 * start. */
RoutingState
Warm(const std::vector<RouteCandidate>& aTargets, Duration aLatency)
{
  RoutingState state;
  for (int i = 0; i < 30; ++i) {
    for (const RouteCandidate& target : aTargets) {
      state = WithOutcome(std::move(state),
                          target.id_.value_,
                          { {}, AttemptOutcome::kSucceeded, aLatency },
                          aTargets,
                          kStart - 20s + i * 600ms);
    }
  }
  return state;
}

/** Number of choices of each target out of 1,000; target 0 counts the refusals. */
std::map<std::uint64_t, int>
Choices(const RoutingState& aState,
        const std::vector<RouteCandidate>& aCandidates,
        RouteQuery aQuery,
        Instant aNow)
{
  std::map<std::uint64_t, int> counts;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    aQuery.entropy_ = i * 0x9E3779B97F4A7C15ULL;
    const RouteDecision decision = ChooseTarget(aState, aCandidates, aQuery, aNow);
    ++counts[decision.target_.value_];
  }
  return counts;
}

LoadReport
Refusing(std::uint16_t aAdmitBelow)
{
  return { AdmissionLevel{ aAdmitBelow }, 0, 0, 0 };
}

} // namespace

Test(routing_choice, property_chosen_is_a_candidate_and_at_most_half_are_ejected)
{
  const auto outcome = rc::check("routing bounds", [](const std::vector<std::uint32_t>& aSteps) {
    const int count = *rc::gen::inRange(1, 9);
    std::vector<RouteCandidate> all;
    for (int i = 1; i <= count; ++i) {
      all.push_back(
        { NodeId{ static_cast<std::uint64_t>(i) }, i % 2 == 0, i % 3 != 0, i % 5 == 0 });
    }
    RoutingState state;
    Instant now = kStart;
    for (const std::uint32_t step : aSteps) {
      now += Duration{ step % 50'000 };
      const std::uint64_t target = 1 + step % static_cast<std::uint32_t>(count);
      // Targets with low ids mostly fail or are slow, so that ejection is reached.
      const bool bad = 2 * target <= static_cast<std::uint64_t>(count) + 2;
      const AttemptReport report{ {},
                                  bad && step % 3 != 0 ? AttemptOutcome::kFailed
                                                       : AttemptOutcome::kSucceeded,
                                  bad ? 900ms : 5ms };
      for (int repeat = 0; repeat < 6; ++repeat) {
        state = WithOutcome(std::move(state), target, report, all, now);
      }
      const auto ejected =
        std::count_if(all.begin(), all.end(), [&](const RouteCandidate& aTarget) {
          return IsEjected(state, aTarget.id_, now);
        });
      RC_ASSERT(2 * static_cast<std::size_t>(ejected) <= all.size());
      std::vector<RouteCandidate> some(all.begin() + step % static_cast<std::uint32_t>(count),
                                       all.end());
      const RouteDecision decision =
        ChooseTarget(state, some, { Importance::kNormal, 0, 0, { NodeId{ 1 } }, step }, now);
      RC_ASSERT(decision.verdict_ == RouteVerdict::kChosen);
      RC_ASSERT(std::any_of(some.begin(), some.end(), [&](const RouteCandidate& aCandidate) {
        return aCandidate.id_ == decision.target_;
      }));
    }
  });
  cr_assert(outcome);
}

Test(routing_choice, nothing_to_choose_from)
{
  cr_assert(ChooseTarget({}, {}, {}, kStart).verdict_ == RouteVerdict::kNoBackendServer);
}

Test(routing_choice, local_domain_is_preferred_and_spills_over)
{
  const std::vector<RouteCandidate> targets{ Local(1), Local(2), Remote(3), Remote(4) };
  const RoutingState warm = Warm(targets, 10ms);
  auto counts = Choices(warm, targets, {}, kStart);
  cr_assert_eq(counts[1] + counts[2], 1000);

  std::vector<RouteCandidate> suspects = targets;
  suspects[0].suspect_ = suspects[1].suspect_ = true;
  counts = Choices(warm, suspects, {}, kStart);
  cr_assert_eq(counts[3] + counts[4], 1000, "local targets are suspect");

  RoutingState saturated = warm;
  RoutingState slow = warm;
  RoutingState failed = warm;
  for (const std::uint64_t local : { 1, 2 }) {
    saturated = WithOutcome(std::move(saturated),
                            local,
                            { {}, AttemptOutcome::kSucceeded, 10ms, Refusing(100) },
                            targets,
                            kStart);
    for (int i = 0; i < 5; ++i) {
      failed = WithOutcome(
        std::move(failed), local, { {}, AttemptOutcome::kFailed, 1ms }, targets, kStart);
      slow =
        WithOutcome(std::move(slow), local, { {}, AttemptOutcome::kSucceeded, 40ms }, {}, kStart);
      slow =
        WithOutcome(std::move(slow), local, { {}, AttemptOutcome::kSucceeded, 400ms }, {}, kStart);
    }
  }
  counts = Choices(saturated, targets, {}, kStart);
  cr_assert_eq(counts[3] + counts[4], 1000, "local targets refuse class normal");
  counts = Choices(saturated, targets, { Importance::kCritical }, kStart);
  cr_assert_eq(counts[1] + counts[2], 1000, "class critical is not refused by level");
  counts = Choices(failed, targets, {}, kStart);
  cr_assert_eq(counts[3] + counts[4], 1000, "local targets are ejected");
  counts = Choices(slow, targets, {}, kStart);
  // One in six draws picks both local targets; these attempts detect their recovery.
  cr_assert_gt(
    counts[3] + counts[4], 780, "local targets are far slower: %d", counts[3] + counts[4]);
}

Test(routing_choice, refuses_early_by_level_with_probes_and_for_one_second_only)
{
  const std::vector<RouteCandidate> targets{ Local(1), Local(2) };
  RoutingState state = Warm(targets, 10ms);
  for (const std::uint64_t target : { 1, 2 }) {
    state = WithOutcome(std::move(state),
                        target,
                        { {}, AttemptOutcome::kSucceeded, 10ms, Refusing(kRootRequestBuckets) },
                        targets,
                        kStart);
  }
  struct LevelCase
  {
    Importance importance_;
    Duration age_;
    int lowestRefused_;
    int highestRefused_;
  };
  const LevelCase cases[] = {
    { Importance::kNormal, 0ms, 960, 995 },
    { Importance::kHigh, 900ms, 960, 995 },
    { Importance::kCritical, 0ms, 0, 0 },
    { Importance::kLow, 1001ms, 0, 0 },
    { Importance::kNormal, std::chrono::hours(1), 0, 0 },
  };
  for (const LevelCase& level : cases) {
    const int refused = Choices(state, targets, { level.importance_ }, kStart + level.age_)[0];
    cr_assert(refused >= level.lowestRefused_ && refused <= level.highestRefused_,
              "class %d, age %lld: %d",
              static_cast<int>(level.importance_),
              static_cast<long long>(level.age_.count()),
              refused);
  }
}

Test(routing_choice, outcomes_override_a_misleading_level_report)
{
  const std::vector<RouteCandidate> targets{ Local(1) };
  RoutingState state = Warm(targets, 10ms);
  const AttemptReport report{ {},
                              AttemptOutcome::kSucceeded,
                              10ms,
                              Refusing(kRootRequestBuckets),
                              AdmissionRank(Importance::kNormal, 0) };
  for (int i = 0; i < 5; ++i) {
    state = WithOutcome(std::move(state), 1, report, targets, kStart + i * 20ms);
  }
  cr_assert_eq(Choices(state, targets, {}, kStart + 100ms)[0], 0);
  const AttemptReport refused{ {}, AttemptOutcome::kRefused, 1ms, Refusing(kRootRequestBuckets) };
  state = WithOutcome(std::move(state), 1, refused, targets, kStart + 110ms);
  cr_assert_gt(Choices(state, targets, {}, kStart + 120ms)[0], 900);
}

Test(routing_choice, tried_targets_are_avoided_and_new_ones_start_slowly)
{
  const std::vector<RouteCandidate> targets{ Local(1), Local(2), Local(3) };
  RoutingState state = Warm({ Local(1), Local(2) }, 10ms);
  RouteQuery query;
  query.tried_ = { NodeId{ 1 }, NodeId{ 2 } };
  cr_assert_eq(Choices(state, targets, query, kStart)[3], 1000);
  const int first = Choices(state, targets, {}, kStart)[3];
  cr_assert(first > 0 && first < 200, "%d", first);
  state =
    WithOutcome(std::move(state), 3, { {}, AttemptOutcome::kSucceeded, 10ms }, targets, kStart);
  const int later = Choices(state, targets, {}, kStart + 11s)[3];
  cr_assert_gt(later, 250, "%d", later);
}
