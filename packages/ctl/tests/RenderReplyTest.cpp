/** \file
 * Guards against showing a log offset for a command that is not in the log.
 */
#include "ctl/Render.h"

#include <criterion/criterion.h>

using namespace fulmarway;

Test(render_reply, offset_only_for_commands_in_the_log)
{
  const struct
  {
    ReplyOutcome outcome_;
    const char* text_;
  } cases[] = {
    { ReplyOutcome::kAccepted, "accepted: version 5, offset 7; why\n" },
    { ReplyOutcome::kConflict, "conflict: version 5, offset 7; why\n" },
    { ReplyOutcome::kRejected, "rejected: version 5, offset 7; why\n" },
    { ReplyOutcome::kInvalid, "invalid: version 5; why\n" },
    { ReplyOutcome::kUnknown, "unknown: version 5; why\n" },
    { ReplyOutcome::kUnavailable, "unavailable: version 5; why\n" },
  };
  for (const auto& row : cases) {
    const CommandReply reply{ row.outcome_, 5, 7, "why" };
    cr_expect_eq(Render(reply, OutputFormat::kTable), row.text_);
  }
}
