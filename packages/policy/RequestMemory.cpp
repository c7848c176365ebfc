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
FieldBytes(const std::optional<RoutedPart>& aRouted)
{
  std::size_t bytes = 0;
  if (aRouted) {
    bytes += aRouted->host_.size() + aRouted->uri_.size();
    for (const HeaderField& field : aRouted->headers_) {
      bytes += field.name_.size() + field.value_.size() + kFieldOverheadBytes;
    }
  }
  return bytes;
}

} // namespace

std::size_t
RequestBytes(const CallerRequest& aRequest)
{
  return aRequest.body_.size() + aRequest.target_.size() + FieldBytes(aRequest.routed_);
}

std::size_t
RequestBytes(const Request& aRequest)
{
  return aRequest.body_.size() + aRequest.target_.size() + FieldBytes(aRequest.routed_);
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
