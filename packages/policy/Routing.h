/** \file
 * Load balancing: chooses the backend server for an attempt from what this node has observed of
 * each target.
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

/** The node of a backend server that may receive the attempt, according to membership and
 * configuration. */
struct RouteCandidate
{
  NodeId id_;
  bool sameDomain_ = false;
  bool sameRegion_ = false;
  /** Did not answer a membership probe; chosen only if all candidates are suspect. */
  bool suspect_ = false;

  auto operator<=>(const RouteCandidate&) const = default;
};

/** Properties of the request to be sent that affect the choice. */
struct RouteQuery
{
  Importance importance_ = Importance::kNormal;
  std::uint8_t rootRequestBucket_ = 0;
  /** StableHash() of the kind; admission levels are reported per kind. */
  std::uint64_t kindKey_ = 0;
  /** Targets of earlier attempts of the same call; avoided while there are others. */
  std::vector<NodeId> tried_;
  std::uint64_t entropy_ = 0;
  /** A request that cannot be sent again if its only attempt takes too long. */
  bool singleAttempt_ = false;

  auto operator<=>(const RouteQuery&) const = default;
};

enum class RouteVerdict : std::uint8_t
{
  kChosen,
  /** There is no candidate. */
  kNoBackendServer,
  /** The admission levels of all candidates refuse the request, and it was not selected as a probe.
   */
  kShedByLevel,
};

struct RouteDecision
{
  RouteVerdict verdict_ = RouteVerdict::kNoBackendServer;
  NodeId target_;
  /** The admission levels refuse the request, and it was chosen to detect a change of them. */
  bool isProbe_ = false;

  auto operator<=>(const RouteDecision&) const = default;
};

enum class AttemptOutcome : std::uint8_t
{
  kSucceeded,
  /** Refused by the target with the verdict not run; not a sign of poor health. */
  kRefused,
  /** Failed, lost or timed out. */
  kFailed,
  /** Cancelled by this node, for example because another attempt of a hedge was faster. */
  kCancelled,
};

struct AttemptReport
{
  NodeId target_;
  AttemptOutcome outcome_ = AttemptOutcome::kSucceeded;
  /** Time since RecordAttemptStart(), whatever the outcome. */
  Duration latency_{ 0 };
  /** Load report in the target's answer, if there was one. */
  std::optional<LoadReport> load_;
  /** AdmissionRank() of the request; used to detect level reports that outcomes contradict, which
   * are then ignored. */
  std::optional<std::uint16_t> rank_;
  /** Kind of the request, as in RouteQuery. */
  std::uint64_t kindKey_ = 0;

  bool operator==(const AttemptReport&) const = default;
};

/** Last level report of a target for one kind. */
struct KindLevel
{
  AdmissionLevel level_ = kHighestAdmissionLevel;
  /** As in LoadReport. */
  AdmissionLevel downstreamLevel_ = kHighestAdmissionLevel;
  Duration serviceTime_{ 0 };
  /** As in LoadReport. */
  CompletionShares completion_;
  Instant at_;
  /** Consecutive requests that succeeded although the level reported before their start refuses
   * them. */
  std::uint32_t contradictions_ = 0;
  Instant distrustUntil_;

  bool operator==(const KindLevel&) const = default;
};

struct TargetObservations
{
  /** Start times of the outstanding attempts, oldest first. */
  std::vector<Instant> outstanding_;
  /** Moving average of the latency that rises fast and falls slowly, microseconds; 0 without a
   * sample. */
  double latency_ = 0;
  /** Long-run mean of the same samples, microseconds. */
  double meanLatency_ = 0;
  /** Estimate of the 95th percentile, microseconds. */
  double latencyP95_ = 0;
  std::uint64_t samples_ = 0;
  /** Samples since the target was first seen or returned from ejection. */
  std::uint32_t samplesSinceReturn_ = 0;
  Instant lastSampleAt_;
  /** Share of attempts that succeeded, [0, 1]. */
  double successShare_ = 1;
  Instant lastOutcomeAt_;
  std::uint32_t consecutiveFailures_ = 0;
  /** When slow start began. */
  Instant slowStartFrom_;
  Instant ejectedUntil_;
  /** Consecutive ejections; each doubles the duration of the next. */
  std::uint32_t ejections_ = 0;
  /** The latest load report and its time of arrival. */
  std::optional<LoadReport> load_;
  Instant loadAt_;
  /** Level reports by kind; bounded by the number of kinds that the target's service declares. */
  std::map<std::uint64_t, KindLevel> levels_;

  bool operator==(const TargetObservations&) const = default;
};

/** Observations of each target. RemoveTarget() removes a target that is no longer a member. */
struct RoutingState
{
  std::map<NodeId, TargetObservations> targets_;

  bool operator==(const RoutingState&) const = default;
};

/** Chooses the better of two random candidates by outstanding attempts and latency; prefers those
 * in the local failure domain. For a single attempt, chooses the fastest of a few candidates by the
 * service time that they report for the kind, from other failure domains only if they are much
 * faster: a request that takes several times its usual time misses its deadline on a slow backend
 * server, and no hedge can help it. */
RouteDecision
ChooseTarget(const RoutingState& aState,
             std::span<const RouteCandidate> aCandidates,
             const RouteQuery& aQuery,
             Instant aNow);

RoutingState
RecordAttemptStart(RoutingState aState, NodeId aTarget, Instant aNow);

/** Records the end of an attempt. May eject the target, but at most half of aServiceTargets. */
RoutingState
RecordAttemptEnd(RoutingState aState,
                 const AttemptReport& aReport,
                 std::span<const RouteCandidate> aServiceTargets,
                 Instant aNow);

RoutingState
RemoveTarget(RoutingState aState, NodeId aTarget);

/** Time to wait for an answer of aTarget before a hedge is sent; nullopt while there are too few
 * samples. */
std::optional<Duration>
HedgeDelay(const RoutingState& aState, NodeId aTarget);

/** Whether the target's recent load report shows a free slot, an empty queue and the highest
 * admission level for the kind. A target without a recent report counts as free. */
bool
HasSpareCapacity(const RoutingState& aState, NodeId aTarget, std::uint64_t aKindKey, Instant aNow);

/** Mean of the recently reported admission levels of the targets for the kind; the highest level
 * when there is no recent report. Targets without a recent report are left out: a large service
 * always has some, and counting them as free would hide the overload of the others. The maximum of
 * the levels would admit to every target the load that only one of them can serve. */
AdmissionLevel
ServiceLevel(const RoutingState& aState,
             std::span<const RouteCandidate> aTargets,
             std::uint64_t aKindKey,
             Instant aNow);

bool
IsEjected(const RoutingState& aState, NodeId aTarget, Instant aNow);

/** Number of outstanding attempts to the target. */
std::uint32_t
OutstandingAttempts(const RoutingState& aState, NodeId aTarget);

} // namespace fulmarway
