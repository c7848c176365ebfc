/** \file
 * Whether the own backend server takes requests. Its health endpoint lags or misleads, so the
 * answers to requests outrank it.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <optional>

namespace fulmarway {

/** Failed checks in a row after which the backend server counts as down. */
inline constexpr std::uint32_t kFailedChecksUntilDown = 3;
/** A request that was answered this recently outranks failed checks. */
inline constexpr Duration kAnswerOutranksChecks = std::chrono::seconds(2);

struct BackendHealth
{
  bool healthy_ = false;
  std::uint32_t failedChecks_ = 0;
  std::optional<Instant> lastAnswerAt_;

  bool operator==(const BackendHealth&) const = default;
};

/** A health check ended. */
BackendHealth
NoteHealthCheck(BackendHealth aHealth, bool aPassed, Instant aNow);

/** The backend server answered a request. */
BackendHealth
NoteBackendAnswer(BackendHealth aHealth, Instant aNow);

} // namespace fulmarway
