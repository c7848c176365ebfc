/** \file
 * Choice of the backend server for an attempt, from what this node has observed itself.
 */
#pragma once

#include "model/Ids.h"
#include "model/Importance.h"
#include "model/PeerMessage.h"
#include "model/Step.h"
#include "model/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace fulmarway {

/** A backend server's node that could take the attempt, from membership and configuration. */
struct RouteCandidate
{
  NodeId id_;
  bool sameDomain_ = false;
  bool sameRegion_ = false;
  /** Missed a probe; chosen only when nothing else is left. */
  bool suspect_ = false;

  auto operator<=>(const RouteCandidate&) const = default;
};

/** What is to be sent. */
struct RouteQuery
{
  Importance importance_ = Importance::kNormal;
  std::uint8_t clickBucket_ = 0;
  /** StableHash() of the kind; admission levels are reported for each kind. */
  std::uint64_t kindKey_ = 0;
  /** Targets of earlier attempts of the same call; avoided while others are left. */
  std::vector<NodeId> tried_;
  std::uint64_t entropy_ = 0;

  auto operator<=>(const RouteQuery&) const = default;
};

enum class RouteVerdict : std::uint8_t
{
  kChosen,
  /** No candidate at all. */
  kNoBackendServer,
  /** Every candidate's admission level refuses the request, and it is no probe. */
  kShedByLevel,
};

struct RouteDecision
{
  RouteVerdict verdict_ = RouteVerdict::kNoBackendServer;
  NodeId target_;

  auto operator<=>(const RouteDecision&) const = default;
};

enum class AttemptOutcome : std::uint8_t
{
  kSucceeded,
  /** Refused as not run by the target; says nothing about its health. */
  kRefused,
  /** Failed, lost or timed out. */
  kFailed,
  /** Given up by this node, for example the loser of a hedge. */
  kCancelled,
};

struct AttemptReport
{
  NodeId target_;
  AttemptOutcome outcome_ = AttemptOutcome::kSucceeded;
  /** Time since NoteAttemptStart(), for every outcome. */
  Duration latency_{ 0 };
  /** From the target's answer, when there was one. */
  std::optional<LoadReport> load_;
  /** AdmissionRank() of the request. With it, level reports that outcomes contradict are ignored.
   */
  std::optional<std::uint16_t> rank_;
  /** Kind of the request, as in RouteQuery. */
  std::uint64_t kindKey_ = 0;

  bool operator==(const AttemptReport&) const = default;
};

/** What a target last reported for requests of one kind. */
struct KindLevel
{
  AdmissionLevel level_ = kHighestAdmissionLevel;
  /** As in LoadReport. */
  AdmissionLevel deeperLevel_ = kHighestAdmissionLevel;
  Instant at_;
  /** Requests in a row that succeeded although a report from before their start refused them. */
  std::uint32_t contradictions_ = 0;
  Instant distrustUntil_;

  bool operator==(const KindLevel&) const = default;
};

/** What this node has observed of one target. */
struct TargetObservations
{
  /** Start times of the attempts that have not ended, oldest first. */
  std::vector<Instant> outstanding_;
  /** Latency estimate that rises fast and falls slowly, microseconds; 0 without a sample. */
  double latency_ = 0;
  /** Long-run mean of the same samples, microseconds. */
  double baseline_ = 0;
  /** Estimate of the 95th percentile, microseconds. */
  double tail_ = 0;
  std::uint64_t samples_ = 0;
  /** Samples since the target was first seen or returned from ejection. */
  std::uint32_t samplesSinceReturn_ = 0;
  Instant lastSampleAt_;
  /** Share of attempts that succeeded, [0, 1]. */
  double successShare_ = 1;
  Instant lastOutcomeAt_;
  std::uint32_t consecutiveFailures_ = 0;
  /** Start of the slow start. */
  Instant slowStartFrom_;
  Instant ejectedUntil_;
  /** Ejections in a row; each doubles the time of the next. */
  std::uint32_t ejections_ = 0;
  /** The latest report and when it arrived. */
  std::optional<LoadReport> load_;
  Instant loadAt_;
  /** By kind; bounded by the declared kinds of the target's service. */
  std::map<std::uint64_t, KindLevel> levels_;

  bool operator==(const TargetObservations&) const = default;
};

/** Observations for each target; a target that membership forgets is dropped by ForgetTarget(). */
struct RoutingState
{
  std::map<NodeId, TargetObservations> targets_;

  bool operator==(const RoutingState&) const = default;
};

/** Two random choices by outstanding attempts and latency, own failure domain first. */
RouteDecision
ChooseTarget(const RoutingState& aState,
             std::span<const RouteCandidate> aCandidates,
             const RouteQuery& aQuery,
             Instant aNow);

RoutingState
NoteAttemptStart(RoutingState aState, NodeId aTarget, Instant aNow);

/** Ends an attempt; may eject the target, at most half of aServiceTargets. */
RoutingState
NoteAttemptEnd(RoutingState aState,
               const AttemptReport& aReport,
               std::span<const RouteCandidate> aServiceTargets,
               Instant aNow);

RoutingState
ForgetTarget(RoutingState aState, NodeId aTarget);

/** How long to wait for an answer of aTarget before a hedge; nullopt while too little is known. */
std::optional<Duration>
HedgeDelay(const RoutingState& aState, NodeId aTarget);

/** Whether the target's recent report shows a free slot, an empty queue and no refusals of requests
 * of the kind. A target without a recent report counts as free. */
bool
HasSpareCapacity(const RoutingState& aState, NodeId aTarget, std::uint64_t aKindKey, Instant aNow);

/** Mean of the targets' recent levels for requests of the kind; the highest level when there is no
 * recent report. Targets without a recent report are left out: in a service of many targets there
 * is always one, and counting it as free would hide the overload of the others. The highest of the
 * levels would admit to all targets what only one can take. */
AdmissionLevel
ServiceLevel(const RoutingState& aState,
             std::span<const RouteCandidate> aTargets,
             std::uint64_t aKindKey,
             Instant aNow);

/** Whether the target is ejected now. */
bool
IsEjected(const RoutingState& aState, NodeId aTarget, Instant aNow);

/** Attempts to the target that have not ended. */
std::uint32_t
OutstandingAttempts(const RoutingState& aState, NodeId aTarget);

} // namespace fulmarway
