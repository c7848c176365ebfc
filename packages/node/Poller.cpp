#include "node/Poller.h"

#include <Poco/Timespan.h>

namespace fulmarway {

using Poco::Net::PollSet;

void
Poller::Add(const SocketKey& aKey, const Poco::Net::Socket& aSocket)
{
  entries_.insert_or_assign(aKey, Entry{ aSocket });
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
Poller::SetWantsRead(const SocketKey& aKey, bool aWantsRead)
{
  const auto found = entries_.find(aKey);
  if (found != entries_.end() && found->second.wantsRead_ != aWantsRead) {
    found->second.wantsRead_ = aWantsRead;
    Update(found->second);
  }
}

void
Poller::SetWantsWrite(const SocketKey& aKey, bool aWantsWrite)
{
  const auto found = entries_.find(aKey);
  if (found != entries_.end() && found->second.wantsWrite_ != aWantsWrite) {
    found->second.wantsWrite_ = aWantsWrite;
    Update(found->second);
  }
}

void
Poller::Update(const Entry& aEntry)
{
  pollSet_.update(aEntry.socket_,
                  PollSet::POLL_ERROR | (aEntry.wantsRead_ ? PollSet::POLL_READ : 0) |
                    (aEntry.wantsWrite_ ? PollSet::POLL_WRITE : 0));
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
