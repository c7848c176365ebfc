/** \file
 * Guards against a remaining time in a call that overflows the clock.
 */
#include "policy/Inbound.h"

#include <criterion/criterion.h>

using namespace fulmarway;

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
