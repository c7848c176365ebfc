/** \file
 * Bounded queue of the requests that wait for a slot, ordered by importance class, then own
 * failure domain before others, then deadline, then arrival.
 */
#pragma once

#include "model/Ids.h"
#include "model/Importance.h"
#include "model/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fulmarway {

struct Arrival
{
  RequestId id_;
  /** Hash of the kind; service times are estimated per kind. */
  std::uint64_t kindKey_ = 0;
  Importance importance_ = Importance::kNormal;
  std::uint8_t rootRequestBucket_ = 0;
  Instant deadline_;
  bool longRunning_ = false;
  /** Already counted as load by another node to which it was offered. */
  bool offeredBefore_ = false;
  /** As in CallRequest. Served after the other requests of its class, and shed before them. */
  bool fromOtherDomain_ = false;

  auto operator<=>(const Arrival&) const = default;
};

/** Sort key of a queued request; the lowest is served first. */
struct QueueKey
{
  Importance importance_ = Importance::kNormal;
  bool fromOtherDomain_ = false;
  Instant deadline_;
  /** Arrival order; requests of equal class, domain and deadline are served first come, first served. */
  std::uint64_t sequence_ = 0;

  auto operator<=>(const QueueKey&) const = default;
};

struct QueuedRequest
{
  Arrival arrival_;
  Instant queuedAt_;

  auto operator<=>(const QueuedRequest&) const = default;
};

struct QueueBounds
{
  std::size_t total_ = 1;
  /** Bound for long-running requests below class critical, which reserves the rest of the queue for
   * short ones. */
  std::size_t long_ = 1;

  auto operator<=>(const QueueBounds&) const = default;
};

struct AdmissionQueue
{
  std::map<QueueKey, QueuedRequest> requests_;
  std::uint64_t nextSequence_ = 0;

  bool operator==(const AdmissionQueue&) const = default;
};

/** Adds a request. Returns the request that is left out: the arrival itself, or a request of a
 * higher rank that it displaced; nullopt when the queue had room. */
std::optional<RequestId>
Enqueue(AdmissionQueue& aQueue, const Arrival& aArrival, const QueueBounds& aBounds, Instant aNow);

/** Removes and returns the first request; skips long-running ones when aIncludeLong is false. */
std::optional<QueuedRequest>
PopFirst(AdmissionQueue& aQueue, bool aIncludeLong);

/** Removes a request; returns false when it is not queued. */
bool
Remove(AdmissionQueue& aQueue, RequestId aId);

bool
IsQueued(const AdmissionQueue& aQueue, RequestId aId);

/** Removes requests from the end of the queue until it is within the bound on all requests, and
 * returns their ids. */
std::vector<RequestId>
TrimToBound(AdmissionQueue& aQueue, const QueueBounds& aBounds);

} // namespace fulmarway
