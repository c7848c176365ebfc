/** \file
 * Updates the observations of a target from the outcome of an attempt, and derives its current
 * latency, expected time and admission level from them.
 */
#pragma once

#include "policy/Routing.h"

namespace fulmarway {

/** Level reports expire after this time, so that refusals end soon after their cause. */
inline constexpr Duration kLevelReportLifetime = std::chrono::seconds(1);
/** Time after which a new target, or one returned from ejection, gets its full share of the
 * attempts. */
inline constexpr Duration kSlowStartDuration = std::chrono::seconds(10);

/** Updates latency, percentile, success share and level report. aTypicalLatency is the median
 * latency estimate of the service in microseconds, 0 when unknown. */
void
UpdateObservations(TargetObservations& aTarget,
                   const AttemptReport& aReport,
                   double aTypicalLatency,
                   Instant aNow);

/** Current latency estimate, microseconds; without new samples it converges to the long-run mean. 0
 * when there was no sample. */
double
LatencyNow(const TargetObservations& aTarget, Instant aNow);

/** Time for which the target has had outstanding attempts without giving any answer. */
Duration
UnansweredFor(const TargetObservations& aTarget, Instant aNow);

/** Expected time to a successful answer, microseconds, including retries after failures.
 * aUnknownLatency is used for a target without a sample. */
double
ExpectedTime(const TargetObservations& aTarget, double aUnknownLatency, Instant aNow);

/** The level last reported for the kind; nullopt when there is no report, or when it has expired or
 * was contradicted by outcomes. */
std::optional<AdmissionLevel>
TrustedLevel(const TargetObservations& aTarget, std::uint64_t aKindKey, Instant aNow);

/** Like TrustedLevel(), for the admission level of the target's downstream services. */
std::optional<AdmissionLevel>
TrustedDownstreamLevel(const TargetObservations& aTarget, std::uint64_t aKindKey, Instant aNow);

/** What the target last reported about the completion of the kind's requests, under the same
 * conditions; nullptr otherwise. */
const CompletionShares*
TrustedCompletion(const TargetObservations& aTarget, std::uint64_t aKindKey, Instant aNow);

/** Whether the trusted level refuses the request. */
bool
RefusesByLevel(const TargetObservations& aTarget, const RouteQuery& aQuery, Instant aNow);

/** Share of the normal number of attempts that the target gets during slow start, (0, 1]. */
double
SlowStartShare(const TargetObservations& aTarget, Instant aNow);

} // namespace fulmarway
