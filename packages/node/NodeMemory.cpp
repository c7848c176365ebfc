/** \file
 * The account of the bytes that the process holds, and its limit.
 */
#include "node/Node.h"

#include "policy/RequestMemory.h"

namespace fulmarway {

void
Node::CountHeldBytes()
{
  held_ = { callers_.HeldBytes(),
            admin_.HeldBytes(),
            heartbeats_ ? heartbeats_->HeldBytes() : 0,
            peers_.HeldBytes(),
            backend_.HeldBytes() + healthChecks_.HeldBytes(),
            (store_ ? store_->HeldBytes() : 0) + (logService_ ? logService_->HeldBytes() : 0),
            CountRequestBytes(state_) };
}

void
Node::LimitHeldBytes()
{
  using enum HttpServer::ReleaseScope;
  held_.callers_ = callers_.HeldBytes();
  while (Sum(held_) > settings_.maxHeldBytes_) {
    // Short messages are given up only where they make up most of what is held.
    const auto scope = held_.callers_ > settings_.maxHeldBytes_ / 2 ? kAllMessages : kLongMessages;
    HttpServerEvents events;
    if (!callers_.ReleaseMemory(now_, scope, events)) {
      return;
    }
    HandleCallerEvents(std::move(events));
    ++counters_.releasedConnections_;
    held_.callers_ = callers_.HeldBytes();
  }
}

} // namespace fulmarway
