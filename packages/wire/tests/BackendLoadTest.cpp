/** \file
 * Guards against a malformed load report that ends a process or is taken for a load.
 */
#include "wire/HttpMapping.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway;

Test(backend_load, reports_with_three_or_four_numbers_are_read)
{
  const BackendLoad usual{ 3, 0, 8, 100 };
  const BackendLoad slow{ 3, 1, 8, 250 };
  cr_expect(ParseLoadList("3,0,8") == usual);
  cr_expect(ParseLoadList("3, 1,8, 250") == slow);
}

Test(backend_load, odd_reports_are_dropped)
{
  for (const char* text : { "",
                            ",",
                            "3",
                            "3,0",
                            "3,0,8,",
                            "3,0,8,100,1",
                            "a,0,8",
                            "-1,0,8",
                            "3,0,0",
                            "3,0,8,0",
                            "3,0,8,1e3",
                            "3,0,8,99999999999999999999999",
                            "3,0,1000001",
                            "3.5,0,8",
                            "0x3,0,8",
                            "3;0;8",
                            "\xff,0,8" }) {
    cr_expect_not(ParseLoadList(text).has_value(), "%s", text);
  }
}

Test(backend_load, any_text_is_read_or_dropped)
{
  const auto outcome = rc::check("numbers are within their bounds", [] {
    const auto text =
      *rc::gen::container<std::string>(rc::gen::elementOf(std::string("0123456789,,,- .ex")));
    const auto load = ParseLoadList(text);
    RC_ASSERT(!load ||
              (load->slots_ > 0 && load->workTimePercent_ > 0 && load->running_ <= 1000000));
  });
  cr_assert(outcome);
}

/** Guards against a malformed limit on requests per second that is taken for a limit. */
Test(backend_signals, limit_is_a_decimal_number)
{
  HttpResponseHead head;
  cr_expect(ParseBackendSignals(head) == BackendSignals{});
  head.set("Fulmarway-Rate-Limit", "7.5");
  cr_expect(ParseBackendSignals(head) == BackendSignals{ 7.5 });
  head.set("Fulmarway-Rate-Limit", "1e400");
  cr_expect(ParseBackendSignals(head) == BackendSignals{});
}
