/** \file
 * Guards against a verdict that reaches the caller with another status or other headers than
 * docs/INTERFACES.md documents, and against malformed or out-of-range numbers that are accepted.
 */
#include "wire/HttpMapping.h"

#include <criterion/criterion.h>
#include <fstream>
#include <map>
#include <sstream>
#include <vector>

using namespace fulmarway;
using Poco::Net::HTTPRequest;

namespace {

struct DocumentedReason
{
  /** Status with the verdict `not-run`; 0 when the reason never occurs with it. */
  unsigned status_ = 0;
  std::string verdicts_;
};

/** Reads the table of reasons in docs/INTERFACES.md. */
std::map<std::string, DocumentedReason>
ReadTable()
{
  std::ifstream file(FULMARWAY_TEST_DATA "/../../../docs/INTERFACES.md");
  std::map<std::string, DocumentedReason> rows;
  bool inTable = false;
  for (std::string line; std::getline(file, line);) {
    inTable = line.starts_with('#') ? line == "### Reasons" : inTable;
    if (!inTable || !line.starts_with("| `")) {
      continue;
    }
    std::istringstream cells(line.substr(1));
    std::string names;
    std::string status;
    std::string verdicts;
    std::getline(std::getline(std::getline(cells, names, '|'), status, '|'), verdicts, '|');
    const unsigned number =
      status.starts_with(" -") ? 0 : static_cast<unsigned>(std::stoul(status));
    std::istringstream quoted(names);
    std::string name;
    while (std::getline(quoted, name, '`') && std::getline(quoted, name, '`')) {
      cr_assert(
        rows.emplace(name, DocumentedReason{ number, verdicts }).second, "%s", name.c_str());
    }
  }
  return rows;
}

HttpResponseHead
Reply(const CallerReply& aReply)
{
  HttpResponseHead head;
  const std::string body = FormatCallerReply(aReply, head);
  cr_assert(body.starts_with(std::string(ToString(aReply.outcome_.verdict_)) + ": "));
  return head;
}

void
CheckReply(Verdict aVerdict, Reason aReason, unsigned aStatus)
{
  const std::string reason(ToString(aReason));
  CallerReply reply{ { aVerdict, aReason, std::chrono::milliseconds(1001) }, {}, "c-1", Ticket{} };
  HttpResponseHead head = Reply(reply);
  cr_assert_eq(head.Status(), aStatus, "%s: %u", reason.c_str(), head.Status());
  cr_assert(ParseVerdict(head.get(header::kVerdict)) == aVerdict);
  cr_assert_eq(head.get(header::kReason), reason);
  cr_assert_eq(head.get(header::kRootRequestId), "c-1");
  cr_assert_eq(head.get(header::kTicket), FormatTicket(Ticket{}));
  cr_assert_eq(head.get(header::kRetryAfter), "2");
  cr_assert_eq(head.get(header::kRetryAfterMs), "1001");
  cr_assert_eq(head.getContentType(), "text/plain");

  reply = CallerReply{ { aVerdict, aReason, {} }, {}, "", {} };
  head = Reply(reply);
  for (const char* name :
       { header::kRootRequestId, header::kTicket, header::kRetryAfter, header::kRetryAfterMs }) {
    cr_assert_not(head.has(name), "%s: %s", reason.c_str(), name);
  }
}

HTTPRequest
MakeRequest(const char* aName, const std::string& aValue)
{
  HTTPRequest head("GET", "/v1/call/pricing/quote", "HTTP/1.1");
  head.set(aName, aValue);
  return head;
}

} // namespace

Test(http_mapping, every_verdict_and_reason_has_the_documented_status_and_headers)
{
  const auto table = ReadTable();
  cr_assert_eq(table.size(), kReasonCount - 1, "%zu reasons documented", table.size());
  for (std::uint8_t number = 1; number < kReasonCount; ++number) {
    const auto reason = static_cast<Reason>(number);
    const auto row = table.find(std::string(ToString(reason)));
    cr_assert(row != table.end(), "not documented: %d", number);
    const DocumentedReason& documented = row->second;
    cr_assert_eq(documented.status_ != 0,
                 documented.verdicts_.find("not-run") != std::string::npos);
    CheckReply(Verdict::kNotRun, reason, documented.status_ != 0 ? documented.status_ : 503);
    CheckReply(Verdict::kMayHaveRun, reason, reason == Reason::kDeadline ? 504 : 502);
    CheckReply(Verdict::kRan, reason, 200);
  }
}

Test(http_mapping, ordinary_answer_has_no_reason)
{
  HttpResponseHead head;
  const CallerReply reply{
    { Verdict::kRan, Reason::kNone, {} }, Answer{ 418, "a/b", "x" }, "", {}
  };
  cr_assert_eq(FormatCallerReply(reply, head), "x");
  cr_assert_eq(head.Status(), 418U);
  cr_assert_eq(head.getContentType(), "a/b");
  cr_assert_eq(head.get(header::kVerdict), "ran");
  cr_assert_not(head.has(header::kReason));
}

Test(http_mapping, oversized_body_is_refused_as_too_large)
{
  for (const std::uint16_t status : { 400, 404, 405, 413, 431 }) {
    HttpResponseHead head;
    (void)FormatInvalidRequest({ status, { "body", "m" }, Verdict::kNotRun }, head);
    cr_assert_eq(head.Status(), status);
    cr_assert_eq(head.get(header::kVerdict), "not-run");
    cr_assert_eq(head.get(header::kReason), status == 413 ? "too-large" : "invalid-request");
  }
}

/** Guards against "not run" for a ticket whose earlier attempt may have run. */
Test(http_mapping, invalid_caller_retry_with_ticket_may_have_run)
{
  struct Case
  {
    const char* attempt_;
    bool hasTicket_;
    Verdict verdict_;
  };
  for (const Case& entry : { Case{ "1", true, Verdict::kNotRun },
                             Case{ "2", true, Verdict::kMayHaveRun },
                             Case{ "x", true, Verdict::kMayHaveRun },
                             Case{ "2", false, Verdict::kNotRun } }) {
    auto request = MakeRequest(header::kDeadline, "0");
    request.set(header::kAttempt, entry.attempt_);
    if (entry.hasTicket_) {
      request.set(header::kTicket, "anything");
    }
    const auto parsed = ParseCallerRequest(request, "");
    cr_assert_not(parsed.has_value());
    HttpResponseHead head;
    (void)FormatInvalidRequest(parsed.error(), head);
    cr_assert_eq(head.get(header::kVerdict), ToString(entry.verdict_), "%s", entry.attempt_);
  }
}

Test(http_mapping, numbers_are_digits_within_their_bounds)
{
  struct Case
  {
    const char* name_;
    std::uint64_t low_;
    std::uint64_t high_;
  };
  for (const Case& entry : { Case{ header::kDeadline, 1, 600000 },
                             Case{ header::kAttempt, 1, 1000 },
                             Case{ header::kCallIndex, 0, 10000 } }) {
    for (const std::uint64_t number : { entry.low_, entry.high_ }) {
      cr_assert(ParseCallerRequest(MakeRequest(entry.name_, std::to_string(number)), ""));
    }
    const std::string bad[] = { std::to_string(entry.low_ - 1),
                                std::to_string(entry.high_ + 1),
                                "",
                                "1,000",
                                "+1",
                                "-1",
                                "1 ",
                                " 1",
                                "0x1",
                                "1.0",
                                "18446744073709551617" };
    for (const std::string& text : bad) {
      const auto parsed = ParseCallerRequest(MakeRequest(entry.name_, text), "");
      cr_assert_not(parsed, "%s: accepted '%s'", entry.name_, text.c_str());
      cr_assert_eq(parsed.error().error_.subject_, entry.name_);
    }
  }
}
