/** \file
 * Guards against messages that are extracted before they are complete, or that swallow bytes of the
 * next message.
 */
#include "support/HttpMessage.h"

#include <criterion/criterion.h>

using namespace fulmarway::standins;

Test(http_message, message_is_extracted_only_when_complete)
{
  HttpMessage request;
  request.method_ = "POST";
  request.target_ = "/s/k?x=1";
  request.headers_ = { { "Fulmarway-Click", "c-1" } };
  request.body_ = "some body";
  const std::string text = FormatRequest(request, "127.0.0.1:1");
  for (std::size_t length = 0; length < text.size(); ++length) {
    std::string part = text.substr(0, length);
    const auto extracted = ExtractRequest(part);
    cr_assert(
      extracted.has_value() && !extracted->has_value(), "extracted after %zu bytes", length);
  }
  std::string two = text + text;
  const auto extracted = ExtractRequest(two);
  cr_assert(extracted.has_value() && extracted->has_value());
  cr_assert_eq((*extracted)->target_, request.target_);
  cr_assert_eq((*extracted)->body_, request.body_);
  cr_assert_eq(FindHeader(**extracted, "fulmarway-click").value_or(""), "c-1");
  cr_assert_eq(two, text);
}

Test(http_message, responses_keep_status_and_headers)
{
  HttpMessage response;
  response.status_ = 503;
  response.headers_ = { { "Retry-After", "0.25" } };
  std::string text = FormatResponse(response);
  const auto extracted = ExtractResponse(text);
  cr_assert(extracted.has_value() && extracted->has_value());
  cr_assert_eq((*extracted)->status_, 503);
  cr_assert_float_eq(FindNumericHeader(**extracted, "Retry-After").value_or(-1), 0.25, 1e-9);
  cr_assert(text.empty());
}

Test(http_message, chunked_bodies_are_joined)
{
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  const auto extracted = ExtractResponse(text);
  cr_assert(extracted.has_value() && extracted->has_value());
  cr_assert_eq((*extracted)->body_, "abc");
  cr_assert(text.empty());
}

Test(http_message, malformed_heads_and_bodies_without_an_end_are_refused)
{
  for (const std::string head : { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n\r\n",
                                  "HTTP/1.1 abc OK\r\nContent-Length: 0\r\n\r\n" }) {
    std::string text = head;
    cr_assert_not(ExtractResponse(text).has_value(), "accepted %s", head.c_str());
  }
  // Without a length the body extends to the end of the connection, so it is not complete yet.
  std::string withoutLength = "HTTP/1.1 200 OK\r\n\r\nab";
  const auto extracted = ExtractResponse(withoutLength);
  cr_assert(extracted.has_value() && !extracted->has_value());
  std::string endless(100000, 'x');
  cr_assert_not(ExtractRequest(endless).has_value());
}
