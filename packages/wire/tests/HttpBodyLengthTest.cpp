/** \file
 * Guards against requests whose end two readers see at different places, and against cut bodies
 * that pass as whole.
 */
#include "wire/HttpFraming.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway;

namespace {

constexpr std::size_t kMaxBody = 1000;

struct Case
{
  const char* fields_;
  const char* body_;
  /** Status of the refusal; 0 for a whole request. */
  std::uint16_t status_;
};

constexpr Case kCases[] = {
  { "Content-Length: 3\r\n", "abc", 0 },
  { "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n", 0 },
  { "Content-Length: 3\r\nContent-Length: 3\r\n", "abc", 400 },
  { "Content-Length: 3\r\nContent-Length: 4\r\n", "abcd", 400 },
  { "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n", 400 },
  { "Transfer-Encoding: gzip, chunked\r\n", "3\r\nabc\r\n0\r\n\r\n", 400 },
  { "Transfer-Encoding: gzip\r\n", "abc", 400 },
  { "Content-Length: -1\r\n", "", 400 },
  { "Content-Length: 1,000\r\n", "", 400 },
  { "Content-Length: 1001\r\n", "", 413 },
  { "Transfer-Encoding: chunked\r\n", "ffffffff\r\n", 413 },
  { "Transfer-Encoding: chunked\r\n", "xyz\r\n", 400 },
};

std::string
MakeRequest(const Case& aCase)
{
  return std::string("POST /v1/call/a/b HTTP/1.1\r\nHost: x\r\n") + aCase.fields_ + "\r\n" +
         aCase.body_;
}

} // namespace

Test(http_body_length, table)
{
  for (const Case& entry : kCases) {
    std::string buffer = MakeRequest(entry);
    const auto taken = TakeHttpRequest(buffer, kMaxBody);
    if (entry.status_ == 0) {
      cr_assert(taken && *taken, "not whole: %s", entry.fields_);
      cr_assert_str_eq((*taken)->body_.c_str(), "abc");
      cr_assert(buffer.empty());
    } else {
      cr_assert(!taken, "accepted: %s", entry.fields_);
      cr_assert_eq(taken.error().status_, entry.status_, "%s", entry.fields_);
    }
  }
}

Test(http_body_length, every_proper_prefix_is_incomplete)
{
  for (const Case& entry : { kCases[0], kCases[1] }) {
    const std::string whole = MakeRequest(entry);
    for (std::size_t length = 0; length < whole.size(); ++length) {
      std::string buffer = whole.substr(0, length);
      const auto taken = TakeHttpRequest(buffer, kMaxBody);
      cr_assert(taken && !*taken, "prefix of %zu bytes taken as whole", length);
    }
  }
}

Test(http_body_length, arbitrary_bytes_never_give_more_than_the_input)
{
  cr_assert(rc::check("TakeHttpRequest is total", [](const std::string& aBytes) {
    std::string buffer = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + aBytes;
    const auto taken = TakeHttpRequest(buffer, kMaxBody);
    RC_ASSERT(!taken || !*taken || (*taken)->body_.size() <= aBytes.size());
  }));
}
