/** \file
 * Guards against an answer that is lost because an interim one precedes it, against an interim
 * answer or an unknown status that is passed on as an answer, and against a wait for a body that
 * the status excludes.
 */
#include "wire/HttpFraming.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

constexpr std::size_t kBodyLimitBytes = 1000;
const std::string kFinal = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";

std::string
Repeat(const std::string& aText, int aTimes)
{
  std::string text;
  for (int i = 0; i < aTimes; ++i) {
    text += aText;
  }
  return text;
}

/** An answer with this status line and a complete body. */
std::string
AnswerWith(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + "\r\nContent-Length: 2\r\n\r\nab";
}

bool
IsRefused(std::string aText)
{
  return !ExtractHttpResponse(aText, kBodyLimitBytes);
}

} // namespace

Test(http_answer_status, final_answer_after_interim_ones_is_complete)
{
  for (const std::string interim : { "HTTP/1.1 100 Continue\r\n\r\n",
                                     "HTTP/1.1 102 Processing\r\nProgress: a\r\n\r\n",
                                     "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                                     "HTTP/1.1 199\r\nContent-Length: 0\r\n\r\n" }) {
    for (const int count : { 1, 3, 20 }) {
      const std::string whole = Repeat(interim, count) + kFinal;
      std::string buffer;
      for (std::size_t length = 0; length < whole.size(); ++length) {
        buffer = whole.substr(0, length);
        const auto early = ExtractHttpResponse(buffer, kBodyLimitBytes);
        cr_assert(early && !*early, "%d times %.12s, %zu bytes", count, interim.c_str(), length);
      }
      buffer = whole + "rest";
      const auto answer = ExtractHttpResponse(buffer, kBodyLimitBytes);
      cr_assert(answer && *answer, "%d times %.12s", count, interim.c_str());
      cr_expect_eq((*answer)->head_.Status(), Poco::Net::HTTPResponse::HTTP_OK);
      cr_expect_str_eq((*answer)->body_.c_str(), "ab");
      cr_expect_str_eq(buffer.c_str(), "rest");
    }
  }
}

Test(http_answer_status, connection_that_an_interim_answer_closes_is_not_kept)
{
  std::string buffer = "HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n" + kFinal;
  const auto answer = ExtractHttpResponse(buffer, kBodyLimitBytes);
  cr_assert(answer && *answer);
  cr_expect_not((*answer)->head_.getKeepAlive());
}

/** The node never asks for another protocol, so 101 is no answer either. */
Test(http_answer_status, statuses_that_are_no_answer_are_refused)
{
  for (const char* status : { "000 x",
                              "0 x",
                              "099 x",
                              "99 x",
                              "101 Switching Protocols",
                              "600 x",
                              "999 x",
                              "2000 x",
                              "-20 x",
                              "+20 x",
                              "20x x" }) {
    cr_expect(IsRefused(AnswerWith(status)), "accepted %s", status);
    cr_expect_not(ParseCloseDelimitedResponse("HTTP/1.1 " + std::string(status) + "\r\n\r\nab",
                                              kBodyLimitBytes),
                  "accepted %s before the end of the connection",
                  status);
  }
  for (const char* status : { "200", "200 ", "200 \xe4\xf6", "299 x", "404 x", "599 x" }) {
    cr_expect_not(IsRefused(AnswerWith(status)), "refused %s", status);
  }
}

/** The bytes after it would be read as the head of the final answer. */
Test(http_answer_status, interim_answer_with_a_body_is_refused)
{
  for (const std::string field : { "Content-Length: 2", "Transfer-Encoding: chunked" }) {
    cr_expect(IsRefused("HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + kFinal),
              "accepted %s",
              field.c_str());
  }
}

Test(http_answer_status, interim_answers_without_end_are_refused)
{
  cr_expect(IsRefused(Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000)));
  cr_expect(IsRefused(
    Repeat("HTTP/1.1 103 Early Hints\r\nLink: " + std::string(15000, 'x') + "\r\n\r\n", 10)));
}

Test(http_answer_status, interim_answer_before_the_end_of_the_connection_is_no_answer)
{
  for (const std::string text :
       { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Hints\r\n\r\nab" }) {
    cr_expect_not(ParseCloseDelimitedResponse(text, kBodyLimitBytes));
  }
}

/** RFC 9112 6.3: these end with their head, whatever length they declare. */
Test(http_answer_status, answer_without_a_body_ends_with_its_head)
{
  for (const std::string status : { "204 No Content", "304 Not Modified" }) {
    for (const std::string field :
         { "", "Content-Length: 500\r\n", "Transfer-Encoding: chunked\r\n" }) {
      std::string buffer = "HTTP/1.1 " + status + "\r\n" + field + "\r\n";
      const auto answer = ExtractHttpResponse(buffer, kBodyLimitBytes);
      cr_assert(answer && *answer, "%s %s", status.c_str(), field.c_str());
      cr_expect((*answer)->body_.empty());
      cr_expect(buffer.empty());
    }
  }
}
