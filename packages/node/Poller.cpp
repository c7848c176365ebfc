#include "node/Poller.h"

#include <Poco/Timespan.h>

namespace fulmarway {

using Poco::Net::PollSet;

void
Poller::Add(const SocketKey& aKey, const Poco::Net::Socket& aSocket)
{
  entries_.insert_or_assign(aKey, Entry{ aSocket, false });
  keys_.insert_or_assign(aSocket, aKey);
  pollSet_.add(aSocket, PollSet::POLL_READ | PollSet::POLL_ERROR);
}

void
Poller::Remove(const SocketKey& aKey)
{
  const auto found = entries_.find(aKey);
  if (found == entries_.end()) {
    return;
  }
  pollSet_.remove(found->second.socket_);
  keys_.erase(found->second.socket_);
  entries_.erase(found);
}

void
Poller::SetWantsWrite(const SocketKey& aKey, bool aWantsWrite)
{
  const auto found = entries_.find(aKey);
  if (found == entries_.end() || found->second.wantsWrite_ == aWantsWrite) {
    return;
  }
  found->second.wantsWrite_ = aWantsWrite;
  const int mode = PollSet::POLL_READ | PollSet::POLL_ERROR;
  pollSet_.update(found->second.socket_, aWantsWrite ? mode | PollSet::POLL_WRITE : mode);
}

std::vector<ReadySocket>
Poller::Poll(Duration aTimeout)
{
  std::vector<ReadySocket> ready;
  for (const auto& [socket, mode] : pollSet_.poll(Poco::Timespan(aTimeout.count()))) {
    const auto key = keys_.find(socket);
    if (key != keys_.end()) {
      ready.push_back({ key->second,
                        (mode & (PollSet::POLL_READ | PollSet::POLL_ERROR)) != 0,
                        (mode & PollSet::POLL_WRITE) != 0 });
    }
  }
  return ready;
}

} // namespace fulmarway
