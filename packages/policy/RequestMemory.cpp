#include "policy/RequestMemory.h"

#include <set>

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
  std::set<const void*> counted;
  const auto count = [&](const SharedText& aBody) {
    const bool isNew = aBody.size() < kLongBodyBytes || counted.insert(aBody.Id()).second;
    bytes += isNew ? aBody.size() : 0;
  };
  for (const auto& [id, call] : aState.outbound_.calls_) {
    count(call.request_.body_);
    for (const auto& [attemptId, attempt] : call.attempts_) {
      bytes += attempt.partialAnswer_ ? attempt.partialAnswer_->answer_.body_.size() : 0;
    }
  }
  for (const auto& [id, request] : aState.inbound_.requests_) {
    count(request.request_.body_);
  }
  return bytes;
}

} // namespace fulmarway
