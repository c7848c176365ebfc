/** \file
 * Guards against work on requests whose required downstream call would be refused, and against
 * early refusal of requests that can succeed without it.
 */
#include "policy/CallDependencies.h"
#include "policy/InboundReplies.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

constexpr std::uint64_t kKind = 7;
const DownstreamCall kCall{ "deep", "work" };

CallDependencies
Learn(std::initializer_list<bool> aFailures)
{
  CallDependencies state;
  for (const bool hasFailed : aFailures) {
    state = RecordRefusedCall(std::move(state), kKind, kCall, hasFailed);
  }
  return state;
}

} // namespace

Test(call_dependencies, a_call_is_required_when_requests_fail_without_it)
{
  struct DependencyCase
  {
    const char* name_;
    std::initializer_list<bool> failures_;
    bool isRequired_;
  };
  for (const DependencyCase& item :
       { DependencyCase{ "no outcomes", {}, false },
         DependencyCase{ "too few outcomes", { true, true }, false },
         DependencyCase{ "all failed", { true, true, true }, true },
         DependencyCase{ "answered without the call", { false, false, false, true }, false },
         DependencyCase{ "half failed", { true, false, true, false, true, false }, false },
         DependencyCase{
           "no longer needed", { true, true, true, false, false, false, false, false }, false } }) {
    const auto required = RequiredCalls(Learn(item.failures_), kKind);
    cr_assert_eq(required == std::vector{ kCall }, item.isRequired_, "%s", item.name_);
    cr_assert(RequiredCalls(Learn(item.failures_), kKind + 1).empty(), "%s", item.name_);
  }
}

Test(call_dependencies, tables_are_bounded)
{
  CallDependencies state;
  for (std::uint64_t i = 0; i < 2 * kMaxDependentKinds; ++i) {
    state = RecordRefusedCall(std::move(state), i, kCall, true);
    state = RecordRefusedCall(std::move(state), 0, { "deep", std::to_string(i) }, true);
  }
  cr_assert_eq(state.byKind_.size(), kMaxDependentKinds);
  cr_assert_eq(state.byKind_.at(0).size(), kMaxDownstreamCalls);
}

/** A target without a recent level must not hide that all others are overloaded. */
Test(call_dependencies, level_of_a_service_is_the_mean_of_recent_reports)
{
  const Instant now{ std::chrono::seconds(10) };
  const std::vector<RouteCandidate> targets{ { NodeId{ 1 } }, { NodeId{ 2 } }, { NodeId{ 3 } } };
  RoutingState state;
  const auto report = [&](std::uint64_t aNode, std::uint16_t aLevel, Instant aAt) {
    AttemptReport attempt;
    attempt.target_ = NodeId{ aNode };
    attempt.load_ = LoadReport{ AdmissionLevel{ aLevel }, 4, 4, 4 };
    attempt.kindKey_ = kKind;
    state = RecordAttemptStart(std::move(state), attempt.target_, aAt);
    state = RecordAttemptEnd(std::move(state), attempt, targets, aAt);
  };
  cr_assert(ServiceLevel(state, targets, kKind, now) == kHighestAdmissionLevel);
  report(1, 100, now);
  report(2, 200, now);
  cr_assert_eq(ServiceLevel(state, targets, kKind, now).admitBelow_, 150);
  cr_assert(ServiceLevel(state, targets, kKind + 1, now) == kHighestAdmissionLevel);
  cr_assert(ServiceLevel(state, targets, kKind, now + std::chrono::seconds(5)) ==
            kHighestAdmissionLevel);
}

/** The level of a required service must reach the entry node with the answers for that kind only.
 */
Test(call_dependencies, the_load_report_of_a_kind_has_the_level_of_its_required_calls)
{
  const Instant now{ std::chrono::seconds(10) };
  NodeSettings settings;
  settings.identity_.id_ = NodeId{ 1 };
  settings.identity_.service_ = "front";
  NodeState state = MakeNodeState(settings, now);
  state.lifecycle_.backendHealthy_ = true;
  state.lifecycle_.phase_ = LifecyclePhase::kServing;
  const DownstreamCall call{ "front", "work" };
  AttemptReport attempt;
  attempt.target_ = NodeId{ 1 };
  attempt.load_ = LoadReport{ AdmissionLevel{ 100 }, 4, 4, 4 };
  attempt.kindKey_ = StableHash(call.kind_);
  state.routing_ = RecordAttemptStart(std::move(state.routing_), attempt.target_, now);
  state.routing_ = RecordAttemptEnd(std::move(state.routing_), attempt, {}, now);
  ReduceContext context;
  context.now_ = now;
  cr_assert(MakeLoadReport(state, context, "list").level_ == kHighestAdmissionLevel);
  for (int i = 0; i < 3; ++i) {
    state.inbound_.dependencies_ =
      RecordRefusedCall(std::move(state.inbound_.dependencies_), StableHash("list"), call, true);
  }
  cr_assert_eq(MakeLoadReport(state, context, "list").level_.admitBelow_, 100);
  cr_assert(MakeLoadReport(state, context, "browse").level_ == kHighestAdmissionLevel);
}
