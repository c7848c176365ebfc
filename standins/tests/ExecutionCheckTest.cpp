/** \file
 * Guards against an execution check that misses a violation of the at-most-once or not-run
 * guarantee.
 */
#include "support/Report.h"

#include <criterion/criterion.h>

using namespace fulmarway::standins;

namespace {

Report
SampleReport()
{
  Report report;
  report.rootRequests_["whole"] = { "s/confirm", Outcome::kWhole, false };
  report.rootRequests_["refused"] = { "s/confirm", Outcome::kNotRun, true };
  report.rootRequests_["unknown"] = { "s/confirm", Outcome::kMayHaveRun, false };
  return report;
}

ExecutionReport
Check(const std::string& aExecutions)
{
  return CheckExecutions(SampleReport(), aExecutions, { "s/confirm", "t/book" });
}

} // namespace

Test(execution_check, one_execution_each_is_fine)
{
  const ExecutionReport result =
    Check("s/confirm whole 1 1 10\ns/confirm unknown 1 0 5\nt/book whole 1 1 2\n");
  cr_assert(result.notRunThatRan_.empty());
  cr_assert(result.duplicates_.empty());
  cr_assert_float_eq(result.workMs_, 17, 1e-9);
  cr_assert_float_eq(result.wastedMs_, 5, 1e-9);
}

Test(execution_check, not_run_that_ran_is_found)
{
  cr_assert_eq(Check("s/confirm refused 1 0 0\n").notRunThatRan_.at("s/confirm"), 1);
}

Test(execution_check, downstream_call_of_a_refused_root_request_is_found)
{
  cr_assert_eq(Check("t/list refused 1 1 3\n").notRunThatRan_.at("t/list"), 1);
}

Test(execution_check, duplicates_on_two_backend_servers_are_found)
{
  const ExecutionReport result = Check("t/book whole 1 1 2\nt/book whole 2 2 4\n");
  cr_assert_eq(result.duplicates_.at("t/book"), 2);
}

Test(execution_check, repeated_executions_of_other_kinds_are_no_duplicates)
{
  cr_assert(Check("t/list whole 3 1 3\n").duplicates_.empty());
}

Test(execution_check, root_requests_missing_in_the_report_are_ignored)
{
  const ExecutionReport result = Check("s/confirm other 5 5 100\n");
  cr_assert(result.duplicates_.empty());
  cr_assert_float_eq(result.workMs_, 0, 1e-9);
}
