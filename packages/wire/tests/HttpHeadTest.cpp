/** \file
 * Guards against heads within the limit of the operator that are refused, or lost between nodes.
 */
#include "wire/Frame.h"
#include "wire/HttpFraming.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

constexpr std::size_t kHeadBytes = std::size_t{ 16 } << 10;
constexpr std::size_t kBodyBytes = 1000;

std::string
MakeHead(std::size_t aFields)
{
  std::string head = "GET /a HTTP/1.1\r\nHost: x\r\n";
  for (std::size_t i = 0; i < aFields; ++i) {
    head += "a:\r\n";
  }
  return head + "\r\n";
}

} // namespace

/** Guards against a bound on the number of fields that no configuration of the operator names. */
Test(http_head, as_many_fields_as_the_limit_has_room_for_are_read)
{
  for (const std::size_t fields : { std::size_t{ 101 }, kHeadBytes / 4 - 20 }) {
    std::string buffer = MakeHead(fields);
    cr_assert_leq(buffer.size(), kHeadBytes);
    const auto request = ExtractHttpRequestWithLimits(buffer, kHeadBytes, kBodyBytes);
    cr_assert(request && *request, "%zu fields", fields);
    cr_expect_eq((*request)->head_.size(), fields + 1);
  }
  std::string tooLarge = MakeHead(kHeadBytes / 4);
  const auto refused = ExtractHttpRequestWithLimits(tooLarge, kHeadBytes, kBodyBytes);
  cr_assert_not(refused);
  cr_expect_eq(refused.error().status_, 431);
}

/** Guards against a request with many short fields whose frame exceeds the limit, so that its
 * receiver closes the link with all requests on it. */
Test(http_head, frame_has_room_for_the_largest_head_and_body)
{
  constexpr std::size_t kLargestHeadBytes = std::size_t{ 32 } << 10;
  const ClusterKey key{ "key of the head test" };
  CallRequest call;
  call.request_.body_ = std::string(kMaxBodyBytes, 'x');
  call.request_.routed_ = RoutedPart{};
  call.request_.routed_->headers_.resize(kLargestHeadBytes / 4, HeaderField{ "a", "" });
  FrameBuffer buffer;
  const auto messages = DecodeFrames(key, buffer, EncodeFrame(key, call));
  cr_assert(messages.has_value());
  cr_assert_eq(messages->size(), 1U);
  cr_expect(std::get<CallRequest>(messages->front()) == call);
}
