#include "policy/AdmissionQueue.h"

#include <algorithm>
#include <iterator>

namespace fulmarway {

namespace {

using Requests = std::map<QueueKey, QueuedRequest>;

bool
CountsAsLong(const Arrival& aArrival)
{
  return aArrival.longRunning_ && aArrival.importance_ != Importance::kCritical;
}

std::size_t
CountLong(const Requests& aRequests)
{
  return static_cast<std::size_t>(
    std::count_if(aRequests.begin(), aRequests.end(), [](const auto& aEntry) {
      return CountsAsLong(aEntry.second.arrival_);
    }));
}

Requests::iterator
FindRequest(Requests& aRequests, RequestId aId)
{
  return std::find_if(aRequests.begin(), aRequests.end(), [aId](const auto& aEntry) {
    return aEntry.second.arrival_.id_ == aId;
  });
}

/** Like AdmissionRank(), with the requests of other failure domains after the own ones of their
 * class. */
std::uint16_t
RankOf(const Arrival& aArrival)
{
  const std::uint16_t classRank = AdmissionRank(aArrival.importance_, 0);
  return static_cast<std::uint16_t>(2 * classRank +
                                    (aArrival.fromOtherDomain_ ? kRootRequestBuckets : 0) +
                                    aArrival.rootRequestBucket_);
}

/** The request to shed first, among all requests or among the long-running ones: the one with the
 * highest rank, and among equals the last in the queue. Because the rank depends on the root
 * request, all nodes shed either all calls of a root request or none. */
Requests::iterator
FindFirstToShed(Requests& aRequests, bool aLongOnly)
{
  auto worst = aRequests.end();
  for (auto entry = aRequests.begin(); entry != aRequests.end(); ++entry) {
    const Arrival& arrival = entry->second.arrival_;
    if ((!aLongOnly || CountsAsLong(arrival)) &&
        (worst == aRequests.end() || RankOf(arrival) >= RankOf(worst->second.arrival_))) {
      worst = entry;
    }
  }
  return worst;
}

} // namespace

std::optional<RequestId>
Enqueue(AdmissionQueue& aQueue, const Arrival& aArrival, const QueueBounds& aBounds, Instant aNow)
{
  Requests& requests = aQueue.requests_;
  std::optional<RequestId> displaced;
  const bool longFull = CountsAsLong(aArrival) && CountLong(requests) >= aBounds.long_;
  if (longFull || requests.size() >= aBounds.total_) {
    const auto worst = FindFirstToShed(requests, longFull);
    if (worst == requests.end() || RankOf(worst->second.arrival_) <= RankOf(aArrival)) {
      return aArrival.id_;
    }
    displaced = worst->second.arrival_.id_;
    requests.erase(worst);
  }
  requests.emplace(QueueKey{ aArrival.importance_,
                             aArrival.fromOtherDomain_,
                             aArrival.deadline_,
                             aQueue.nextSequence_++ },
                   QueuedRequest{ aArrival, aNow });
  return displaced;
}

std::optional<QueuedRequest>
PopFirst(AdmissionQueue& aQueue, bool aIncludeLong)
{
  Requests& requests = aQueue.requests_;
  const auto first =
    std::find_if(requests.begin(), requests.end(), [aIncludeLong](const auto& aEntry) {
      return aIncludeLong || !aEntry.second.arrival_.longRunning_;
    });
  if (first == requests.end()) {
    return std::nullopt;
  }
  const QueuedRequest taken = first->second;
  requests.erase(first);
  return taken;
}

bool
Remove(AdmissionQueue& aQueue, RequestId aId)
{
  const auto found = FindRequest(aQueue.requests_, aId);
  if (found == aQueue.requests_.end()) {
    return false;
  }
  aQueue.requests_.erase(found);
  return true;
}

bool
IsQueued(const AdmissionQueue& aQueue, RequestId aId)
{
  return std::any_of(aQueue.requests_.begin(), aQueue.requests_.end(), [aId](const auto& aEntry) {
    return aEntry.second.arrival_.id_ == aId;
  });
}

std::vector<RequestId>
TrimToBound(AdmissionQueue& aQueue, const QueueBounds& aBounds)
{
  std::vector<RequestId> removed;
  while (aQueue.requests_.size() > aBounds.total_) {
    const auto last = std::prev(aQueue.requests_.end());
    removed.push_back(last->second.arrival_.id_);
    aQueue.requests_.erase(last);
  }
  return removed;
}

} // namespace fulmarway
