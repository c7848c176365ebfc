/** \file
 * Guards against tickets that are altered by formatting and parsing, or that can be forged.
 */
#include "model/Ticket.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway;

namespace {

const ClusterKey kKey{ "0123456789abcdef" };
constexpr TicketScope kScope{ "enrolments", "confirm" };

Ticket
SampleTicket()
{
  return IssueTicket(
    kKey, kScope, NodeId{ 0xabc }, Incarnation{ 1, 2 }, 7, Bits128{ 0xffffffffffffffff, 5 });
}

} // namespace

Test(ticket_text, round_trip)
{
  const auto parsed = ParseTicket(FormatTicket(SampleTicket()));
  cr_assert(parsed.has_value());
  cr_assert(*parsed == SampleTicket());
}

Test(ticket_text, malformed_texts_are_refused)
{
  const std::string good = FormatTicket(SampleTicket());
  const std::string bad[] = {
    "",          "t1",       "t2" + good.substr(2),
    good + ".0", good + "0", good.substr(0, good.size() - 1),
    "t1.....",
  };
  for (const std::string& text : bad) {
    cr_assert_not(ParseTicket(text).has_value(), "accepted %s", text.c_str());
  }
}

Test(ticket_text, mac_covers_each_field_service_and_kind)
{
  const Ticket ticket = SampleTicket();
  cr_assert(IsAuthentic(kKey, kScope, ticket));
  cr_assert_not(IsAuthentic(ClusterKey{ "another key" }, kScope, ticket));
  cr_assert_not(IsAuthentic(kKey, { "enrolments", "list" }, ticket));
  cr_assert_not(IsAuthentic(kKey, { "pricing", "confirm" }, ticket));
  Ticket forged = ticket;
  forged.epoch_ += 1;
  cr_assert_not(IsAuthentic(kKey, kScope, forged));
  forged = ticket;
  forged.executor_ = NodeId{ 0xabd };
  cr_assert_not(IsAuthentic(kKey, kScope, forged));
  forged = ticket;
  forged.nonce_.low_ ^= 1;
  cr_assert_not(IsAuthentic(kKey, kScope, forged));
}

Test(ticket_text, arbitrary_text_never_crashes_the_parser)
{
  const auto outcome = rc::check("ParseTicket is total", [](const std::string& aText) {
    const auto parsed = ParseTicket(aText);
    RC_ASSERT(!parsed.has_value() || FormatTicket(*parsed) == aText);
  });
  cr_assert(outcome);
}
