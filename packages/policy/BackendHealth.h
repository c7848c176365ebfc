/** \file
 * Health of the local backend server from health checks. The health endpoint may lag behind or
 * report wrongly, so recent answers to requests take precedence over failed checks.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <optional>

namespace fulmarway {

/** Consecutive failed checks after which the backend server is considered down. */
inline constexpr std::uint32_t kFailedChecksUntilDown = 3;
/** Failed checks are ignored for this long after an answer to a request. */
inline constexpr Duration kAnswerOverridesChecksFor = std::chrono::seconds(2);

struct BackendHealth
{
  bool healthy_ = false;
  std::uint32_t consecutiveFailedChecks_ = 0;
  std::optional<Instant> lastAnswerAt_;

  bool operator==(const BackendHealth&) const = default;
};

/** Records the result of a health check. */
BackendHealth
RecordHealthCheck(BackendHealth aHealth, bool aPassed, Instant aNow);

/** Records that the backend server answered a request. */
BackendHealth
RecordBackendAnswer(BackendHealth aHealth, Instant aNow);

} // namespace fulmarway
