#include "policy/Routing.h"

#include "policy/OutlierEjection.h"
#include "policy/TargetObservations.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fulmarway {

namespace {

/** Farther targets are used as well when the best nearer one is this many times slower. */
constexpr double kSpillFactor = 4;
/** One in this many refused requests is sent as a probe, to detect a change of the level. */
constexpr std::uint64_t kProbeOneIn = 50;
constexpr double kDefaultLatencyUs = 10'000;
/** Candidates drawn for a single attempt. */
constexpr std::size_t kSingleAttemptDraws = 4;
/** A single attempt leaves the local failure domain for a backend server that is this many times
 * faster. */
constexpr double kSingleAttemptSpillFactor = 1.3;
/** Use of the slots up to which a request is expected to start without waiting. */
constexpr double kFreeUse = 0.7;
constexpr std::uint64_t kSamplesForHedge = 20;

struct ScoredCandidate
{
  const RouteCandidate* candidate_ = nullptr;
  bool ejected_ = false;
  bool refusedByLevel_ = false;
  double expectedTime_ = 0;
  double score_ = 0;
  double drawWeight_ = 1;
};

using Pool = std::vector<ScoredCandidate>;

/** SplitMix64; derives several random numbers from the random bits of one event. */
std::uint64_t
NextRandom(std::uint64_t& aSeed)
{
  std::uint64_t mixed = (aSeed += 0x9E3779B97F4A7C15ULL);
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

double
NextFraction(std::uint64_t& aSeed)
{
  return static_cast<double>(NextRandom(aSeed) >> 11) * 0x1.0p-53;
}

/** Latency assumed for a target without a sample: the lowest long-run mean of the candidates. */
double
AssumedLatency(const RoutingState& aState, std::span<const RouteCandidate> aCandidates)
{
  double best = std::numeric_limits<double>::infinity();
  for (const RouteCandidate& candidate : aCandidates) {
    const auto found = aState.targets_.find(candidate.id_);
    if (found != aState.targets_.end() && found->second.samples_ > 0) {
      best = std::min(best, found->second.meanLatency_);
    }
  }
  return best == std::numeric_limits<double>::infinity() ? kDefaultLatencyUs : best;
}

/** Mean of the levels that aLevelOf returns for the targets; the highest level when it returns
 * none. */
template<typename LevelOfTarget>
AdmissionLevel
MeanLevel(const RoutingState& aState,
          std::span<const RouteCandidate> aTargets,
          LevelOfTarget aLevelOf)
{
  std::uint32_t sum = 0;
  std::uint32_t known = 0;
  for (const RouteCandidate& candidate : aTargets) {
    const auto found = aState.targets_.find(candidate.id_);
    const auto level = found == aState.targets_.end() ? std::nullopt : aLevelOf(found->second);
    if (level) {
      sum += level->admitBelow_;
      known += 1;
    }
  }
  return known == 0 ? kHighestAdmissionLevel
                    : AdmissionLevel{ static_cast<std::uint16_t>(sum / known) };
}

/** Admission level of the downstream services of the targets. It is a property of the call graph,
 * so it also applies to a target without a recent report. With many nodes, most targets have no
 * recent report; treating them as free would start work that a downstream service refuses and that
 * is then wasted. */
AdmissionLevel
DownstreamLevel(const RoutingState& aState,
                std::span<const RouteCandidate> aTargets,
                std::uint64_t aKindKey,
                Instant aNow)
{
  return MeanLevel(aState, aTargets, [&](const TargetObservations& aTarget) {
    return TrustedDownstreamLevel(aTarget, aKindKey, aNow);
  });
}

Pool
Score(const RoutingState& aState,
      std::span<const RouteCandidate> aCandidates,
      const RouteQuery& aQuery,
      Instant aNow)
{
  const double assumed = AssumedLatency(aState, aCandidates);
  const bool isRefusedDownstream =
    !IsAdmitted(DownstreamLevel(aState, aCandidates, aQuery.kindKey_, aNow),
                aQuery.importance_,
                aQuery.rootRequestBucket_);
  TargetObservations unknown;
  unknown.slowStartFrom_ = aNow;
  Pool pool;
  pool.reserve(aCandidates.size());
  for (const RouteCandidate& candidate : aCandidates) {
    const auto found = aState.targets_.find(candidate.id_);
    const TargetObservations& target = found == aState.targets_.end() ? unknown : found->second;
    ScoredCandidate scored{ &candidate };
    scored.ejected_ = aNow < target.ejectedUntil_;
    scored.refusedByLevel_ = TrustedLevel(target, aQuery.kindKey_, aNow)
                               ? RefusesByLevel(target, aQuery, aNow)
                               : isRefusedDownstream;
    scored.expectedTime_ = ExpectedTime(target, assumed, aNow);
    scored.score_ = static_cast<double>(target.outstanding_.size() + 1) * scored.expectedTime_;
    scored.drawWeight_ = SlowStartShare(target, aNow);
    pool.push_back(scored);
  }
  return pool;
}

/** Applies the bound on ejected targets again, because members of the service may have left since
 * the ejections. */
void
ReturnExcessEjections(const RoutingState& aState, Pool& aPool)
{
  std::vector<ScoredCandidate*> ejected;
  for (ScoredCandidate& scored : aPool) {
    if (scored.ejected_) {
      ejected.push_back(&scored);
    }
  }
  const std::size_t allowed = aPool.size() / 2;
  std::sort(ejected.begin(),
            ejected.end(),
            [&](const ScoredCandidate* aLeft, const ScoredCandidate* aRight) {
              return aState.targets_.at(aLeft->candidate_->id_).ejectedUntil_ >
                     aState.targets_.at(aRight->candidate_->id_).ejectedUntil_;
            });
  for (std::size_t i = allowed; i < ejected.size(); ++i) {
    ejected[i]->ejected_ = false;
  }
}

template<typename Predicate>
Pool
Filter(const Pool& aPool, Predicate aKeep)
{
  Pool kept;
  std::copy_if(aPool.begin(), aPool.end(), std::back_inserter(kept), aKeep);
  return kept;
}

/** The filtered pool, or the unfiltered one if nothing passes the filter. */
template<typename Predicate>
Pool
Prefer(Pool aPool, Predicate aKeep)
{
  Pool kept = Filter(aPool, aKeep);
  return kept.empty() ? std::move(aPool) : std::move(kept);
}

int
Distance(const RouteCandidate& aCandidate)
{
  return aCandidate.sameDomain_ ? 0 : (aCandidate.sameRegion_ ? 1 : 2);
}

double
BestExpectedTime(const Pool& aPool)
{
  double best = std::numeric_limits<double>::infinity();
  for (const ScoredCandidate& scored : aPool) {
    best = std::min(best, scored.expectedTime_);
  }
  return best;
}

/** The nearest targets, and farther ones that are far faster than all nearer ones. */
Pool
NearestUseful(const Pool& aPool)
{
  Pool chosen;
  for (int distance = 0; distance <= 2; ++distance) {
    const Pool ring = Filter(aPool, [&](const ScoredCandidate& aScored) {
      return Distance(*aScored.candidate_) == distance;
    });
    if (chosen.empty() || BestExpectedTime(chosen) > kSpillFactor * BestExpectedTime(ring)) {
      chosen.insert(chosen.end(), ring.begin(), ring.end());
    }
  }
  return chosen;
}

/** Draws an index with a probability proportional to its weight; never aExcluded. */
std::size_t
DrawIndex(const Pool& aPool, std::size_t aExcluded, std::uint64_t& aSeed)
{
  double total = 0;
  for (std::size_t i = 0; i < aPool.size(); ++i) {
    total += i == aExcluded ? 0 : aPool[i].drawWeight_;
  }
  double point = NextFraction(aSeed) * total;
  std::size_t last = 0;
  for (std::size_t i = 0; i < aPool.size(); ++i) {
    if (i == aExcluded) {
      continue;
    }
    last = i;
    point -= aPool[i].drawWeight_;
    if (point < 0) {
      break;
    }
  }
  return last;
}

NodeId
BetterOfTwo(const Pool& aPool, std::uint64_t& aSeed)
{
  const std::size_t first = DrawIndex(aPool, aPool.size(), aSeed);
  if (aPool.size() == 1) {
    return aPool[first].candidate_->id_;
  }
  const std::size_t second = DrawIndex(aPool, first, aSeed);
  const std::size_t better = aPool[second].score_ < aPool[first].score_ ? second : first;
  return aPool[better].candidate_->id_;
}

/** Service time that the target last reported for the kind; zero while unknown. */
Duration
ReportedServiceTime(const RoutingState& aState, NodeId aTarget, std::uint64_t aKindKey)
{
  const auto target = aState.targets_.find(aTarget);
  if (target == aState.targets_.end()) {
    return Duration{ 0 };
  }
  const auto kind = target->second.levels_.find(aKindKey);
  return kind == target->second.levels_.end() ? Duration{ 0 } : kind->second.serviceTime_;
}

/** Share of the target's slots in use or waited for, from its last load report. */
double
ReportedUse(const RoutingState& aState, NodeId aTarget, Instant aNow)
{
  const auto target = aState.targets_.find(aTarget);
  if (target == aState.targets_.end() || !target->second.load_ ||
      aNow - target->second.loadAt_ > kLevelReportLifetime) {
    return 0;
  }
  const LoadReport& load = *target->second.load_;
  return static_cast<double>(load.running_ + load.queued_) / std::max(load.limit_, 1U);
}

/** Lowest service time that a candidate of the pool reported; zero without a report. */
Duration
FastestReport(const RoutingState& aState, const Pool& aPool, std::uint64_t aKindKey)
{
  Duration fastest{ 0 };
  for (const ScoredCandidate& scored : aPool) {
    const Duration time = ReportedServiceTime(aState, scored.candidate_->id_, aKindKey);
    if (time.count() > 0 && (fastest.count() == 0 || time < fastest)) {
      fastest = time;
    }
  }
  return fastest;
}

/** The candidates of the local failure domain, unless others are much faster than all of them. */
Pool
LocalUnlessSlow(const RoutingState& aState, Pool aPool, std::uint64_t aKindKey)
{
  Pool local = Filter(
    aPool, [](const ScoredCandidate& aScored) { return Distance(*aScored.candidate_) == 0; });
  const Duration fastest = FastestReport(aState, aPool, aKindKey);
  const Duration fastestLocal = FastestReport(aState, local, aKindKey);
  const bool isSlow = static_cast<double>(fastestLocal.count()) >
                      kSingleAttemptSpillFactor * static_cast<double>(fastest.count());
  return local.empty() || isSlow ? std::move(aPool) : std::move(local);
}

/** The fastest of a few random candidates for a single attempt. A candidate without a report counts
 * as fast as the fastest one, so that it gets a first request. */
NodeId
FastestOfSome(const RoutingState& aState, Pool aPool, const RouteQuery& aQuery, Instant aNow)
{
  std::uint64_t seed = aQuery.entropy_;
  const Duration fastest = std::max(FastestReport(aState, aPool, aQuery.kindKey_), Duration{ 1 });
  NodeId best;
  double bestTime = std::numeric_limits<double>::infinity();
  for (std::size_t draw = 0; draw < kSingleAttemptDraws && !aPool.empty(); ++draw) {
    const std::size_t index = DrawIndex(aPool, aPool.size(), seed);
    const NodeId id = aPool[index].candidate_->id_;
    const Duration reported = ReportedServiceTime(aState, id, aQuery.kindKey_);
    const auto time = static_cast<double>((reported.count() > 0 ? reported : fastest).count());
    // Waiting for a slot costs about a service time for each full use of the slots.
    const double use = ReportedUse(aState, id, aNow);
    const double expected = time * (1 + (use > kFreeUse ? use : 0));
    if (expected < bestTime) {
      bestTime = expected;
      best = id;
    }
    aPool.erase(aPool.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return best;
}

TargetObservations&
ObservationsOf(RoutingState& aState, NodeId aTarget, Instant aNow)
{
  const auto [found, inserted] = aState.targets_.try_emplace(aTarget);
  if (inserted) {
    found->second.slowStartFrom_ = aNow;
  }
  return found->second;
}

/** Removes the outstanding start time closest to aStartedAt; attempts have no id here. */
void
RemoveOutstanding(TargetObservations& aTarget, Instant aStartedAt)
{
  std::vector<Instant>& starts = aTarget.outstanding_;
  if (starts.empty()) {
    return;
  }
  auto closest = std::lower_bound(starts.begin(), starts.end(), aStartedAt);
  if (closest == starts.end() ||
      (closest != starts.begin() && aStartedAt - *std::prev(closest) < *closest - aStartedAt)) {
    --closest;
  }
  starts.erase(closest);
}

} // namespace

RouteDecision
ChooseTarget(const RoutingState& aState,
             std::span<const RouteCandidate> aCandidates,
             const RouteQuery& aQuery,
             Instant aNow)
{
  if (aCandidates.empty()) {
    return { RouteVerdict::kNoBackendServer, {}, false };
  }
  std::uint64_t seed = aQuery.entropy_;
  Pool pool = Score(aState, aCandidates, aQuery, aNow);
  ReturnExcessEjections(aState, pool);
  pool = Prefer(std::move(pool),
                [](const ScoredCandidate& aScored) { return !aScored.candidate_->suspect_; });
  pool = Prefer(std::move(pool), [](const ScoredCandidate& aScored) { return !aScored.ejected_; });
  const bool refused = std::all_of(pool.begin(), pool.end(), [](const ScoredCandidate& aScored) {
    return aScored.refusedByLevel_;
  });
  if (refused && NextRandom(seed) % kProbeOneIn != 0) {
    return { RouteVerdict::kShedByLevel, {}, false };
  }
  pool = Prefer(std::move(pool),
                [](const ScoredCandidate& aScored) { return !aScored.refusedByLevel_; });
  pool = Prefer(std::move(pool), [&](const ScoredCandidate& aScored) {
    return std::find(aQuery.tried_.begin(), aQuery.tried_.end(), aScored.candidate_->id_) ==
           aQuery.tried_.end();
  });
  if (aQuery.singleAttempt_) {
    pool = Prefer(std::move(pool), [](const ScoredCandidate& aScored) {
      return Distance(*aScored.candidate_) <= 1;
    });
    pool = LocalUnlessSlow(aState, std::move(pool), aQuery.kindKey_);
    return { RouteVerdict::kChosen, FastestOfSome(aState, std::move(pool), aQuery, aNow), refused };
  }
  return { RouteVerdict::kChosen, BetterOfTwo(NearestUseful(pool), seed), refused };
}

RoutingState
RecordAttemptStart(RoutingState aState, NodeId aTarget, Instant aNow)
{
  ObservationsOf(aState, aTarget, aNow).outstanding_.push_back(aNow);
  return aState;
}

RoutingState
RecordAttemptEnd(RoutingState aState,
                 const AttemptReport& aReport,
                 std::span<const RouteCandidate> aServiceTargets,
                 Instant aNow)
{
  const auto found = aState.targets_.find(aReport.target_);
  if (found == aState.targets_.end()) {
    return aState;
  }
  RemoveOutstanding(found->second, aNow - aReport.latency_);
  UpdateObservations(found->second, aReport, MedianLatency(aState, aServiceTargets, aNow), aNow);
  EjectIfOutlier(aState, aReport.target_, aServiceTargets, aNow);
  return aState;
}

RoutingState
RemoveTarget(RoutingState aState, NodeId aTarget)
{
  aState.targets_.erase(aTarget);
  return aState;
}

std::optional<Duration>
HedgeDelay(const RoutingState& aState, NodeId aTarget)
{
  const auto found = aState.targets_.find(aTarget);
  if (found == aState.targets_.end() || found->second.samples_ < kSamplesForHedge) {
    return std::nullopt;
  }
  return Duration{ static_cast<Duration::rep>(found->second.latencyP95_) };
}

bool
HasSpareCapacity(const RoutingState& aState, NodeId aTarget, std::uint64_t aKindKey, Instant aNow)
{
  const auto found = aState.targets_.find(aTarget);
  if (found == aState.targets_.end() || !found->second.load_ ||
      aNow - found->second.loadAt_ > kLevelReportLifetime) {
    return true;
  }
  const LoadReport& load = *found->second.load_;
  return TrustedLevel(found->second, aKindKey, aNow).value_or(kHighestAdmissionLevel) ==
           kHighestAdmissionLevel &&
         load.queued_ == 0 && load.running_ < load.limit_;
}

AdmissionLevel
ServiceLevel(const RoutingState& aState,
             std::span<const RouteCandidate> aTargets,
             std::uint64_t aKindKey,
             Instant aNow)
{
  return MeanLevel(aState, aTargets, [&](const TargetObservations& aTarget) {
    return TrustedLevel(aTarget, aKindKey, aNow);
  });
}

bool
IsEjected(const RoutingState& aState, NodeId aTarget, Instant aNow)
{
  const auto found = aState.targets_.find(aTarget);
  return found != aState.targets_.end() && aNow < found->second.ejectedUntil_;
}

std::uint32_t
OutstandingAttempts(const RoutingState& aState, NodeId aTarget)
{
  const auto found = aState.targets_.find(aTarget);
  return found == aState.targets_.end()
           ? 0
           : static_cast<std::uint32_t>(found->second.outstanding_.size());
}

} // namespace fulmarway
