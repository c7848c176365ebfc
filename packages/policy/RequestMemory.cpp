#include "policy/RequestMemory.h"

#include <set>

namespace fulmarway {

namespace {

/** A body is in the request, in the frame to the other node or the output to the backend server,
 * and in the copy that a second attempt needs. */
constexpr std::size_t kCopiesOfBody = 3;

/** Memory of the strings of a field beside their characters. */
constexpr std::size_t kFieldOverheadBytes = sizeof(HeaderField);

std::size_t
FieldBytes(const std::vector<HeaderField>& aFields)
{
  std::size_t bytes = 0;
  for (const HeaderField& field : aFields) {
    bytes += field.name_.size() + field.value_.size() + kFieldOverheadBytes;
  }
  return bytes;
}

std::size_t
RoutedBytes(const std::optional<RoutedPart>& aRouted)
{
  return aRouted ? aRouted->host_.size() + aRouted->uri_.size() + FieldBytes(aRouted->headers_) : 0;
}

} // namespace

std::size_t
RequestBytes(const CallerRequest& aRequest)
{
  return aRequest.body_.size() + aRequest.target_.size() + RoutedBytes(aRequest.routed_) +
         FieldBytes(aRequest.accountFields_);
}

std::size_t
RequestBytes(const Request& aRequest)
{
  return aRequest.body_.size() + aRequest.target_.size() + RoutedBytes(aRequest.routed_);
}

bool
HasRoomFor(const ReduceContext& aContext, std::size_t aRequestBytes)
{
  return aRequestBytes < kLongRequestBytes ? aRequestBytes <= aContext.freeBytesWithReserve_
                                           : aRequestBytes * kCopiesOfBody <= aContext.freeBytes_;
}

std::size_t
CountRequestBytes(const NodeState& aState)
{
  std::size_t bytes = 0;
  std::set<const void*> counted;
  const auto count = [&](const Request& aRequest) {
    const SharedText& body = aRequest.body_;
    const bool isCounted = body.size() >= kLongRequestBytes && !counted.insert(body.Id()).second;
    bytes += RequestBytes(aRequest) - (isCounted ? body.size() : 0);
  };
  for (const auto& [id, call] : aState.outbound_.calls_) {
    count(call.request_);
    for (const auto& [attemptId, attempt] : call.attempts_) {
      bytes += attempt.partialAnswer_ ? attempt.partialAnswer_->answer_.body_.size() : 0;
    }
  }
  for (const auto& [id, request] : aState.inbound_.requests_) {
    count(request.request_);
  }
  return bytes;
}

} // namespace fulmarway
