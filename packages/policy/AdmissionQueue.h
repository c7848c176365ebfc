/** \file
 * Requests that wait for a slot, ordered by class, then deadline, then arrival.
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

/** A request that asks for a slot. */
struct Arrival
{
  RequestId id_;
  /** Hash of the kind; service times are learned for each kind. */
  std::uint64_t kindKey_ = 0;
  Importance importance_ = Importance::kNormal;
  std::uint8_t clickBucket_ = 0;
  Instant deadline_;
  bool longRunning_ = false;
  /** Another node counts it in its load. */
  bool offeredBefore_ = false;

  auto operator<=>(const Arrival&) const = default;
};

/** Place in the queue; lower is served first. */
struct QueuePlace
{
  Importance importance_ = Importance::kNormal;
  Instant deadline_;
  /** Order of arrival; keeps equal deadlines first come, first served. */
  std::uint64_t sequence_ = 0;

  auto operator<=>(const QueuePlace&) const = default;
};

struct QueuedRequest
{
  Arrival arrival_;
  Instant queuedAt_;

  auto operator<=>(const QueuedRequest&) const = default;
};

/** Largest numbers of queued requests. */
struct QueueBounds
{
  std::size_t total_ = 1;
  /** Bound for long requests below class critical, so that they leave places to short ones. */
  std::size_t long_ = 1;

  auto operator<=>(const QueueBounds&) const = default;
};

struct AdmissionQueue
{
  std::map<QueuePlace, QueuedRequest> requests_;
  std::uint64_t nextSequence_ = 0;

  bool operator==(const AdmissionQueue&) const = default;
};

/** Adds a request. The result is the request that got no place: the arrival itself, or one of a
 * lower class that it displaced; nullopt when there was room. */
std::optional<RequestId>
Enqueue(AdmissionQueue& aQueue, const Arrival& aArrival, const QueueBounds& aBounds, Instant aNow);

/** Takes the first request; long ones are passed over when aTakeLong is false. */
std::optional<QueuedRequest>
TakeFirst(AdmissionQueue& aQueue, bool aTakeLong);

/** Takes a request out; false when it is not queued. */
bool
Remove(AdmissionQueue& aQueue, RequestId aId);

bool
IsQueued(const AdmissionQueue& aQueue, RequestId aId);

/** Takes out the last requests until the bound on all requests is kept. */
std::vector<RequestId>
Trim(AdmissionQueue& aQueue, const QueueBounds& aBounds);

} // namespace fulmarway
