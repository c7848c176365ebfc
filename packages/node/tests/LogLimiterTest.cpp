/** \file
 * Guards against a log whose volume grows with the overload that it reports, and against lines that
 * are omitted without being counted.
 */
#include "node/LogLimiter.h"

#include <criterion/criterion.h>

using namespace fulmarway;

Test(log_limiter, each_event_has_its_own_bound_and_what_is_left_out_is_counted)
{
  LogLimiter limiter;
  const Instant start{ std::chrono::seconds(10) };
  std::uint32_t admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    admitted += limiter.Admit("call_failed", start) ? 1 : 0;
  }
  cr_expect_eq(admitted, kMaxLinesPerEventPerSecond);
  cr_expect(limiter.Admit("member", start));
  cr_expect(limiter.ExtractOmittedLines(start).empty(), "the second has not ended");
  const Instant next = start + std::chrono::seconds(1);
  const std::vector<OmittedLines> expected{ { "call_failed", 1000 - kMaxLinesPerEventPerSecond } };
  cr_expect(limiter.ExtractOmittedLines(next) == expected);
  cr_expect(limiter.ExtractOmittedLines(next).empty());
  cr_expect(limiter.Admit("call_failed", next));
}
