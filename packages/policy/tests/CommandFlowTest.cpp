/** \file
 * Guards against an invalid command that is appended to the log or recorded in the audit trail.
 */
#include "policy/Control.h"

#include <criterion/criterion.h>

using namespace fulmarway;

Test(command_flow, invalid_command_is_not_appended)
{
  NodeState state = MakeNodeState({}, Instant{});
  ReduceContext context;
  const ExchangeId exchange{ 3 };
  HandleCommand(state, context, { exchange, CommandId{ 9 }, "ana", 0, SetLimit{ "dispatch", 5 } });
  cr_assert_eq(context.effects_.size(), 1U);
  const auto* reply = std::get_if<ReplyToCommand>(&context.effects_.front());
  cr_assert(reply != nullptr && reply->exchange_ == exchange);
  const CommandReply expected{ ReplyOutcome::kInvalid, 0, 0, "service dispatch: is not declared" };
  cr_expect(reply->reply_ == expected);
  cr_expect(state.control_.commands_.empty() && state.log_.state_.audit_.empty());
}
