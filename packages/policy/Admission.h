/** \file
 * Admission control for the node's local backend server: an adaptive concurrency limit, a bounded
 * queue ordered by importance class and deadline, and the admission level, which entry nodes use to
 * refuse requests before they are forwarded.
 */
#pragma once

#include "model/Ids.h"
#include "model/Importance.h"
#include "model/Step.h"
#include "model/Time.h"
#include "model/Verdict.h"
#include "policy/AdmissionLevelControl.h"
#include "policy/AdmissionQueue.h"
#include "policy/ConcurrencyLimit.h"
#include "policy/FastServiceTimes.h"
#include "policy/StartRate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fulmarway {

/** Lower bound for the queue length, which otherwise equals the number of slots. With few slots, a
 * queue as long as the slots alternates between overflowing and running empty under random
 * arrivals. */
inline constexpr std::uint32_t kMinQueueLength = 16;

/** Admission parameters from the declaration of the service. */
struct AdmissionSettings
{
  /** Requests that the backend server can process concurrently; at least 1. */
  std::uint32_t slots_ = 16;
  /** Operator's upper bound for the concurrency limit; 0 for none. */
  std::uint32_t operatorLimit_ = 0;
  /** Largest share of the slots that long-running requests may hold, percent. Whether a request is
   * long-running is declared for its kind, see KindSpec::longRunning_. */
  std::uint32_t longSharePercent_ = 25;

  auto operator<=>(const AdmissionSettings&) const = default;
};

/** A request that was refused a slot; its verdict is "not run". */
struct ShedRequest
{
  RequestId id_;
  Reason reason_ = Reason::kShedByQueue;

  auto operator<=>(const ShedRequest&) const = default;
};

/** Requests to start and requests to refuse, as the result of one event. A request appears in at
 * most one of the lists. */
struct AdmissionDecision
{
  std::vector<RequestId> start_;
  std::vector<ShedRequest> shed_;

  auto operator<=>(const AdmissionDecision&) const = default;
};

enum class CompletionKind : std::uint8_t
{
  kSucceeded,
  /** The backend server failed or refused; its latency is no measure of capacity. */
  kFailed,
  /** The caller disconnected or the deadline passed during execution. */
  kAbandoned,
};

/** A request that holds a slot. */
struct RunningRequest
{
  std::uint64_t kindKey_ = 0;
  Instant startedAt_;
  bool longRunning_ = false;
  /** Sample index in the concurrency limit; nullopt when the request is not sampled. */
  std::optional<SampleIndex> sampleIndex_;

  auto operator<=>(const RunningRequest&) const = default;
};

/** State of admission control; part of NodeState. The queue holds at most max(`slots_`,
 * kMinQueueLength) requests. */
struct AdmissionState
{
  AdmissionSettings settings_;
  std::map<RequestId, RunningRequest> running_;
  /** Number of running requests that are long-running. */
  std::uint32_t longRunning_ = 0;
  AdmissionQueue queue_;
  ConcurrencyLimit limit_;
  AdmissionLevelControl level_;
  FastServiceTimes fastTimes_;
  StartRate startRate_;

  bool operator==(const AdmissionState&) const = default;
};

AdmissionState
MakeAdmission(const AdmissionSettings& aSettings, Instant aNow);

/** Applies a changed declaration. Running requests above a lowered limit complete normally. */
Step<AdmissionState, AdmissionDecision>
Configure(AdmissionState aState, const AdmissionSettings& aSettings, Instant aNow);

/** Starts, queues or sheds an arrival, which may displace a queued request of a higher rank, that
 * is, a less important one; see AdmissionRank(). Throws InternalError when the id is already queued
 * or running. */
Step<AdmissionState, AdmissionDecision>
Offer(AdmissionState aState, const Arrival& aArrival, Instant aNow);

/** Ends a running request and frees its slot. Unknown ids are ignored. */
Step<AdmissionState, AdmissionDecision>
Finish(AdmissionState aState, RequestId aId, CompletionKind aKind, Instant aNow);

/** Removes a queued request whose caller disconnected. Has no effect on a running one. */
Step<AdmissionState, AdmissionDecision>
Withdraw(AdmissionState aState, RequestId aId, Instant aNow);

/** Called once every kAdmissionWindow: updates the limit and the level, and sheds queued requests
 * that can no longer meet their deadline. */
Step<AdmissionState, AdmissionDecision>
Advance(AdmissionState aState, Instant aNow);

inline constexpr Duration kAdmissionWindow = std::chrono::milliseconds(100);

/** Applies the limit on requests per second that an answer contained, or its absence. Returns
 * whether the limit changed; queued requests start with the next event. */
Step<AdmissionState, bool>
SetNamedLimit(AdmissionState aState, std::optional<double> aPerSecond, Instant aNow);

/** Whether a slot is free and the limit on requests per second allows a start. */
bool
MayStart(const AdmissionState& aState, Instant aNow);

/** Admission level that entry nodes should apply. */
AdmissionLevel
LevelOf(const AdmissionState& aState);

/** Concurrency limit in effect. */
std::uint32_t
LimitOf(const AdmissionState& aState);

std::uint32_t
RunningCount(const AdmissionState& aState);

std::uint32_t
QueuedCount(const AdmissionState& aState);

/** Delay after which a refused request may be retried, without jitter; the caller of this function
 * adds it. */
Duration
RetryAfterHint(const AdmissionState& aState);

} // namespace fulmarway
