/** \file
 * Guards against a remaining time in a call that overflows the clock.
 */
#include "policy/Inbound.h"

#include <criterion/criterion.h>

using namespace fulmarway;

/** Guards against a request of another node that outlives the planned stop of this one. */
Test(inbound_deadline, request_taken_during_a_stop_ends_before_the_exit)
{
  const Instant now{ std::chrono::seconds(10) };
  NodeSettings settings;
  settings.identity_.id_ = NodeId{ 1 };
  settings.identity_.service_ = "front";
  settings.stopTimeout_ = std::chrono::seconds(5);
  NodeState state = MakeNodeState(settings, now);
  state.lifecycle_.backendHealthy_ = true;
  state.lifecycle_.phase_ = LifecyclePhase::kDraining;
  state.lifecycle_.drainStartedAt_ = now;
  state.lifecycle_.stopRequested_ = true;
  state.lifecycle_.stopRequestedAt_ = now;
  ReduceContext context;
  context.now_ = now + std::chrono::seconds(1);
  CallRequest call;
  call.request_.service_ = "front";
  call.request_.routed_ = RoutedPart{ "host", "/unsafe/1", {}, "", "id" };
  call.remaining_ = std::chrono::seconds(30);
  HandleCallRequest(state, context, Requester{ LinkId{ 1 }, AttemptId{ 1 } }, call);
  cr_assert_eq(state.inbound_.requests_.size(), 1U);
  cr_expect(state.inbound_.requests_.begin()->second.deadline_ == now + settings.stopTimeout_);
}

Test(inbound_deadline, time_left_of_a_call_is_bounded)
{
  const Instant now{ std::chrono::seconds(10) };
  for (const Duration remaining : { Duration::max(), Duration::min(), Duration{ -1 } }) {
    NodeSettings settings;
    settings.identity_.id_ = NodeId{ 1 };
    settings.identity_.service_ = "front";
    NodeState state = MakeNodeState(settings, now);
    ServiceSpec service;
    service.kinds_["list"] = KindSpec{};
    state.log_.state_.config_.services_["front"] = service;
    state.lifecycle_.backendHealthy_ = true;
    ReduceContext context;
    context.now_ = now;
    CallRequest call;
    call.request_.service_ = "front";
    call.request_.kind_ = "list";
    call.remaining_ = remaining;
    HandleCallRequest(state, context, Requester{ LinkId{ 1 }, AttemptId{ 1 } }, call);
    const bool isLate = remaining < Duration{ 0 };
    cr_assert_eq(state.inbound_.requests_.size(), isLate ? 0 : 1);
    for (const auto& [id, request] : state.inbound_.requests_) {
      cr_assert(request.deadline_ > now && request.deadline_ <= now + std::chrono::hours(1));
    }
  }
}
