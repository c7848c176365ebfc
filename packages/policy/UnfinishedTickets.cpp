#include "policy/UnfinishedTickets.h"

#include <algorithm>

namespace fulmarway {

bool
AddWaiter(UnfinishedTicket& aTicket, RequestId aRequester)
{
  Waiters& waiters = aTicket.waiters_;
  if (std::find(waiters.begin(), waiters.end(), aRequester) != waiters.end()) {
    return true;
  }
  if (waiters.size() >= kMaxWaitersPerTicket) {
    return false;
  }
  waiters.push_back(aRequester);
  return true;
}

std::optional<Ticket>
FindOrInsertChild(UnfinishedTicket& aTicket, std::uint32_t aCallIndex, const Ticket& aProposed)
{
  const auto recorded = aTicket.children_.find(aCallIndex);
  if (recorded != aTicket.children_.end()) {
    return recorded->second;
  }
  if (aTicket.children_.size() >= kMaxChildTicketsPerParent) {
    return std::nullopt;
  }
  aTicket.children_.emplace(aCallIndex, aProposed);
  return aProposed;
}

void
ReleaseChild(UnfinishedTicket& aTicket, std::uint32_t aCallIndex, const Ticket& aRefused)
{
  const auto recorded = aTicket.children_.find(aCallIndex);
  if (recorded != aTicket.children_.end() && recorded->second == aRefused) {
    aTicket.children_.erase(recorded);
  }
}

} // namespace fulmarway
