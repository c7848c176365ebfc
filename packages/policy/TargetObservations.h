/** \file
 * How one attempt changes what is known of a target, and what that says about the target now.
 */
#pragma once

#include "policy/Routing.h"

namespace fulmarway {

/** Reports older than this say nothing, so that refusals end soon after their cause. */
inline constexpr Duration kLevelLifetime = std::chrono::seconds(1);
/** A new or returned target gets its full share of attempts after this time. */
inline constexpr Duration kSlowStart = std::chrono::seconds(10);

/** Updates latency, success share, tail and level report. aTypicalLatency is the median estimate of
 * the service in microseconds, 0 when unknown. */
void
Observe(TargetObservations& aTarget,
        const AttemptReport& aReport,
        double aTypicalLatency,
        Instant aNow);

/** Latency estimate now, microseconds: without new samples it approaches the long-run mean. 0 when
 * there was no sample. */
double
LatencyNow(const TargetObservations& aTarget, Instant aNow);

/** How long the target has owed an answer without giving one. */
Duration
SilentFor(const TargetObservations& aTarget, Instant aNow);

/** Expected time to a successful answer of one attempt, microseconds. aUnknownLatency is used for a
 * target without a sample. */
double
ExpectedTime(const TargetObservations& aTarget, double aUnknownLatency, Instant aNow);

/** The level of the last report for the kind; nullopt when there is none, or when it is old or was
 * contradicted by outcomes. */
std::optional<AdmissionLevel>
TrustedLevel(const TargetObservations& aTarget, std::uint64_t aKindKey, Instant aNow);

/** The same for the level of the services behind the target. */
std::optional<AdmissionLevel>
TrustedDeeperLevel(const TargetObservations& aTarget, std::uint64_t aKindKey, Instant aNow);

/** Whether the trusted level refuses the request. */
bool
RefusesByLevel(const TargetObservations& aTarget, const RouteQuery& aQuery, Instant aNow);

/** Share of the normal number of draws during slow start, (0, 1]. */
double
SlowStartShare(const TargetObservations& aTarget, Instant aNow);

} // namespace fulmarway
