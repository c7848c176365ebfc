/** \file
 * Guards against request smuggling, where two recipients disagree about the end of a request, and
 * against truncated bodies that are accepted as complete.
 */
#include "wire/HttpFraming.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway;

namespace {

constexpr std::size_t kBodyLimitBytes = 1000;

struct Case
{
  const char* fields_;
  const char* body_;
  /** Status of the error; 0 for a valid, complete request. */
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

Test(http_body_length, declared_lengths_and_chunks)
{
  for (const Case& entry : kCases) {
    std::string buffer = MakeRequest(entry);
    const auto extracted = ExtractHttpRequest(buffer, kBodyLimitBytes);
    if (entry.status_ == 0) {
      cr_assert(extracted && *extracted, "not complete: %s", entry.fields_);
      cr_assert_str_eq((*extracted)->body_.c_str(), "abc");
      cr_assert(buffer.empty());
    } else {
      cr_assert(!extracted, "accepted: %s", entry.fields_);
      cr_assert_eq(extracted.error().status_, entry.status_, "%s", entry.fields_);
    }
  }
}

Test(http_body_length, every_proper_prefix_is_incomplete)
{
  for (const Case& entry : { kCases[0], kCases[1] }) {
    const std::string whole = MakeRequest(entry);
    for (std::size_t length = 0; length < whole.size(); ++length) {
      std::string buffer = whole.substr(0, length);
      const auto extracted = ExtractHttpRequest(buffer, kBodyLimitBytes);
      cr_assert(extracted && !*extracted, "prefix of %zu bytes accepted as complete", length);
    }
  }
}

// Guards against a buffer that grows without bound while a line or the trailer is incomplete.
Test(http_body_length, chunk_lines_and_trailers_are_bounded)
{
  const std::string head =
    "POST /v1/call/a/b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string extensions;
  std::string smallChunks;
  for (int i = 0; i < 1000; ++i) {
    extensions += "1;" + std::string(200, 'e') + "\r\nx\r\n";
    smallChunks += "1\r\nx\r\n";
  }
  const std::string endless[] = {
    std::string(100000, '0'),
    "0;" + std::string(100000, 'e'),
    "0;" + std::string(100000, 'e') + "\r\n\r\n",
    "0\r\n" + std::string(100000, 't'),
    "0\r\n" + std::string(100000, 't') + "\r\n\r\n",
    extensions,
  };
  for (const std::string& body : endless) {
    std::string buffer = head + body;
    cr_assert_not(
      ExtractHttpRequest(buffer, kBodyLimitBytes), "accepted %s", body.substr(0, 10).c_str());
  }
  std::string buffer = head + smallChunks + "0;e=1\r\nTrailer: t\r\n\r\n";
  const auto extracted = ExtractHttpRequest(buffer, kBodyLimitBytes);
  cr_assert(extracted && *extracted, "small chunks, an extension and a trailer");
  cr_assert_eq((*extracted)->body_.size(), 1000);
}

// Guards against heads that another recipient parses differently, and against encoded words that
// POCO decodes to additional header lines, which would be forwarded to the backend server.
Test(http_body_length, ambiguous_heads_are_refused)
{
  for (const std::string field : { "Content-Length : 3",
                                   "Content-Length\t: 3",
                                   " Content-Length: 3",
                                   "no colon",
                                   ": no name",
                                   "A: b\n",
                                   "A: b\nContent-Length: 3",
                                   "A: b\rC: d",
                                   "A: b\r\n folded",
                                   "A: \x01",
                                   "Content-Type: =?utf-8?Q?a=0D=0AX-Added:_1?=",
                                   "Content-Type: =?utf-8?B?YQpiOiBj?=" }) {
    for (const std::string line : { "POST /v1/call/a/b HTTP/1.1", "HTTP/1.1 200 OK" }) {
      std::string buffer = line + "\r\n" + field + "\r\nContent-Length: 3\r\n\r\nabc";
      const bool refused = line.starts_with('P') ? !ExtractHttpRequest(buffer, kBodyLimitBytes)
                                                 : !ExtractHttpResponse(buffer, kBodyLimitBytes);
      cr_assert(refused, "accepted %s after %s", field.c_str(), line.c_str());
    }
  }
}

Test(http_body_length, arbitrary_bytes_never_give_more_than_the_input)
{
  cr_assert(rc::check("request decoder is total", [](const std::string& aBytes) {
    std::string buffer = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + aBytes;
    const auto extracted = ExtractHttpRequest(buffer, kBodyLimitBytes);
    RC_ASSERT(!extracted || !*extracted || (*extracted)->body_.size() <= aBytes.size());
  }));
}
