#include "policy/RequestMemory.h"

namespace fulmarway {

namespace {

/** A body is in the request, in the frame to the other node or the output to the backend server,
 * and in the copy that a second attempt needs. */
constexpr std::size_t kCopiesOfBody = 3;

} // namespace

bool
HasRoomFor(const ReduceContext& aContext, std::string_view aBody)
{
  return aBody.size() < kLongBodyBytes || aBody.size() * kCopiesOfBody <= aContext.freeBytes_;
}

std::size_t
CountRequestBytes(const NodeState& aState)
{
  std::size_t bytes = 0;
  for (const auto& [id, call] : aState.outbound_.calls_) {
    bytes += call.origin_.body_.size() + call.request_.body_.size();
    for (const auto& [attemptId, attempt] : call.attempts_) {
      bytes += attempt.partialAnswer_ ? attempt.partialAnswer_->answer_.body_.size() : 0;
    }
  }
  for (const auto& [id, request] : aState.inbound_.requests_) {
    bytes += request.request_.body_.size();
  }
  return bytes;
}

} // namespace fulmarway
