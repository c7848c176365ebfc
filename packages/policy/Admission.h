/** \file
 * Admission to the node's own backend server: an adaptive concurrency limit, a small queue ordered
 * by class and deadline, and the admission level that entry nodes apply early.
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

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fulmarway {

/** The queue holds as many requests as there are slots, but at least this many. At few slots a
 * queue as long as the slots is too short for random arrivals: it overflows and runs empty in turn.
 */
inline constexpr std::uint32_t kMinQueue = 16;

/** From the declaration of the service. */
struct AdmissionSettings
{
  /** Requests that the backend server can work on at the same time; at least 1. */
  std::uint32_t slots_ = 16;
  /** Operator's upper bound for the concurrency limit; 0 for none. */
  std::uint32_t operatorLimit_ = 0;
  /** Largest share of the slots for long requests, percent. */
  std::uint32_t longSharePercent_ = 25;

  auto operator<=>(const AdmissionSettings&) const = default;
};

/** A request that gets no slot; it has not run. */
struct ShedRequest
{
  RequestId id_;
  Reason reason_ = Reason::kShedByQueue;

  auto operator<=>(const ShedRequest&) const = default;
};

/** What to do now. A request appears in one list at most. */
struct AdmissionDecision
{
  std::vector<RequestId> start_;
  std::vector<ShedRequest> shed_;

  auto operator<=>(const AdmissionDecision&) const = default;
};

/** How a started request ended. */
enum class CompletionKind : std::uint8_t
{
  kSucceeded,
  /** The backend server failed or refused; its latency says nothing about capacity. */
  kFailed,
  /** The caller went away or the deadline passed while the request was running. */
  kAbandoned,
};

/** A request that holds a slot. */
struct RunningRequest
{
  std::uint64_t kindKey_ = 0;
  Instant startedAt_;
  bool longRunning_ = false;
  /** Where the concurrency limit observes it; nullopt when it is not sampled. */
  std::optional<BlockPlace> place_;

  auto operator<=>(const RunningRequest&) const = default;
};

/** Owned by the inbound role. The queue holds at most `slots_` requests. */
struct AdmissionState
{
  AdmissionSettings settings_;
  std::map<RequestId, RunningRequest> running_;
  /** Long requests among the running ones. */
  std::uint32_t longRunning_ = 0;
  AdmissionQueue queue_;
  ConcurrencyLimit limit_;
  AdmissionLevelControl level_;
  FastServiceTimes fastTimes_;

  bool operator==(const AdmissionState&) const = default;
};

AdmissionState
MakeAdmission(const AdmissionSettings& aSettings, Instant aNow);

/** Applies a changed declaration; requests above a lower limit finish normally. */
Step<AdmissionState, AdmissionDecision>
Configure(AdmissionState aState, const AdmissionSettings& aSettings, Instant aNow);

/** Starts, queues or sheds an arrival; it may push out a queued request of a lower class. An id
 * that is already queued or running is an internal error. */
Step<AdmissionState, AdmissionDecision>
Offer(AdmissionState aState, const Arrival& aArrival, Instant aNow);

/** A started request has ended and frees its slot. Unknown ids are ignored. */
Step<AdmissionState, AdmissionDecision>
Finish(AdmissionState aState, RequestId aId, CompletionKind aKind, Instant aNow);

/** Removes a queued request whose caller went away. Has no effect on a started one. */
Step<AdmissionState, AdmissionDecision>
Withdraw(AdmissionState aState, RequestId aId, Instant aNow);

/** Periodic work, every kAdmissionWindow: limit and level are updated, expired queue entries shed.
 */
Step<AdmissionState, AdmissionDecision>
Advance(AdmissionState aState, Instant aNow);

inline constexpr Duration kAdmissionWindow = std::chrono::milliseconds(100);

/** Level that entry nodes should apply. */
AdmissionLevel
LevelOf(const AdmissionState& aState);

/** Concurrency limit in force. */
std::uint32_t
LimitOf(const AdmissionState& aState);

std::uint32_t
RunningCount(const AdmissionState& aState);

std::uint32_t
QueuedCount(const AdmissionState& aState);

/** When a refused request is worth a repeat; the caller of this function adds jitter. */
Duration
RetryAfterHint(const AdmissionState& aState);

} // namespace fulmarway
