/** \file
 * Bounds the rate at which requests start on the local backend server, by the rate that it asks for
 * in its answers.
 *
 * Load pattern: a backend server in need takes fewer requests a second than its slots would allow,
 * for example because a resource behind it is exhausted. Its service times do not rise, so the
 * concurrency limit does not adapt. The node beside it sees every request and every answer and can
 * keep the rate for all nodes together.
 */
#pragma once

#include "model/Time.h"

#include <optional>

namespace fulmarway {

/** Token bucket; without a limit every request may start. */
struct StartRate
{
  /** Requests per second; nullopt without a limit. */
  std::optional<double> perSecond_;
  double tokens_ = 0;
  Instant refilledAt_;
  /** When an answer last contained the limit. */
  Instant namedAt_;

  bool operator==(const StartRate&) const = default;
};

/** Rate kept at a lower or zero limit. Without any request, no answer could end the limit. */
inline constexpr double kMinStartsPerSecond = 1;

/** A limit ends when an answer does not contain it and none did for this long. Answers that a proxy
 * or a fault produced may lack it. */
inline constexpr Duration kLimitEndDelay = std::chrono::milliseconds(500);

/** Applies the limit that an answer contained; nullopt when it contained none. Returns whether a
 * limit began, changed or ended. */
bool
RecordNamedLimit(StartRate& aState, std::optional<double> aPerSecond, Instant aNow);

/** Ends the limit, because another backend server has taken the place of the one that named it. */
void
ClearLimit(StartRate& aState);

/** Whether another request may start now. */
bool
MayStartNow(const StartRate& aState, Instant aNow);

/** Records the start of a request; call it only after MayStartNow(). */
void
TakeStart(StartRate& aState, Instant aNow);

} // namespace fulmarway
