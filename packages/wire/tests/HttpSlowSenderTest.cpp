/** \file
 * Guards against messages that arrive in many small parts, without end: each part must cost only
 * its own decoding, and decoded bytes must not stay in the buffer.
 */
#include "wire/HttpFraming.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway;

namespace {

constexpr std::size_t kBodyLimitBytes = 4U << 20;
/** Decoded chunks that may still be in the buffer, and the head. */
constexpr std::size_t kBufferBoundBytes = (64U << 10) + 1000;
const std::string kResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string
Chunk(const std::string& aBytes)
{
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

} // namespace

Test(http_slow_sender, decoded_chunks_are_decoded_once_and_removed)
{
  constexpr int kChunks = 200'000;
  std::string buffer = kResponseHead;
  ResponseProgress progress;
  std::size_t largest = 0;
  for (int i = 0; i < kChunks; ++i) {
    buffer += Chunk("x");
    const auto response = ContinueHttpResponse(buffer, kBodyLimitBytes, progress);
    cr_assert(response.has_value() && !*response);
    largest = std::max(largest, buffer.size());
    cr_assert_eq(progress.body_.size(), static_cast<std::size_t>(i) + 1);
    cr_assert_eq(progress.chunkStart_, buffer.size(), "nothing is left to decode");
  }
  cr_expect_leq(largest, kBufferBoundBytes);
  buffer += "0\r\n\r\nnext";
  const auto response = ContinueHttpResponse(buffer, kBodyLimitBytes, progress);
  cr_assert(response && *response);
  cr_expect_eq((*response)->body_.size(), static_cast<std::size_t>(kChunks));
  cr_expect_str_eq(buffer.c_str(), "next");
  cr_expect_not(progress.head_.has_value(), "reset for the next message");
}

/** A head without an end is refused at its limit. */
Test(http_slow_sender, endless_heads_are_refused)
{
  std::string buffer = "HTTP/1.1 200 OK\r\n";
  ResponseProgress progress;
  bool isRefused = false;
  for (int i = 0; i < 100'000 && !isRefused; ++i) {
    buffer += "X: y\r\n";
    isRefused = !ContinueHttpResponse(buffer, kBodyLimitBytes, progress).has_value();
  }
  cr_expect(isRefused);
  cr_expect_leq(buffer.size(), kMaxHeaderBytes + 10);
}

/** Endless chunks are refused at the limit of the body, or of the chunk lines. */
Test(http_slow_sender, endless_bodies_are_refused)
{
  for (const std::string& chunk :
       { Chunk(std::string(1000, 'x')), "1;" + std::string(200, 'e') + "\r\nx\r\n" }) {
    std::string buffer = kResponseHead;
    ResponseProgress progress;
    std::size_t received = 0;
    bool isRefused = false;
    while (!isRefused && received < 10 * kBodyLimitBytes) {
      buffer += chunk;
      received += chunk.size();
      isRefused = !ContinueHttpResponse(buffer, kBodyLimitBytes, progress).has_value();
    }
    cr_expect(isRefused);
    cr_expect_leq(received, 2 * kBodyLimitBytes + kBufferBoundBytes);
  }
}

Test(http_slow_sender, parts_give_the_same_message_as_the_whole)
{
  const auto outcome = rc::check("a request in parts equals the whole", [] {
    std::string text = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string body;
    const int chunks = *rc::gen::inRange(0, 8);
    for (int i = 0; i < chunks; ++i) {
      const std::string bytes(static_cast<std::size_t>(*rc::gen::inRange(1, 300)),
                              static_cast<char>('a' + i));
      body += bytes;
      text += Chunk(bytes);
    }
    text += "0\r\n\r\n";
    std::string buffer;
    RequestProgress progress;
    std::optional<HttpRequestMessage> message;
    for (std::size_t sent = 0; sent < text.size();) {
      const auto part = static_cast<std::size_t>(*rc::gen::inRange(1, 200));
      buffer += text.substr(sent, part);
      sent += part;
      auto extracted = ContinueHttpRequest(buffer, kMaxHeaderBytes, kBodyLimitBytes, progress);
      RC_ASSERT(extracted.has_value());
      RC_ASSERT(!*extracted || sent >= text.size());
      if (*extracted) {
        message = std::move(**extracted);
      }
    }
    RC_ASSERT(message.has_value());
    RC_ASSERT(message->body_ == body);
    RC_ASSERT(buffer.empty());
  });
  cr_assert(outcome);
}
