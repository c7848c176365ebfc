#include "policy/BackendHealth.h"

namespace fulmarway {

BackendHealth
RecordHealthCheck(BackendHealth aHealth, bool aPassed, Instant aNow)
{
  if (aPassed) {
    aHealth.healthy_ = true;
    aHealth.consecutiveFailedChecks_ = 0;
    return aHealth;
  }
  ++aHealth.consecutiveFailedChecks_;
  const bool hasAnsweredRecently =
    aHealth.lastAnswerAt_ && aNow < *aHealth.lastAnswerAt_ + kAnswerOverridesChecksFor;
  if (aHealth.consecutiveFailedChecks_ >= kFailedChecksUntilDown && !hasAnsweredRecently) {
    aHealth.healthy_ = false;
  }
  return aHealth;
}

BackendHealth
RecordBackendAnswer(BackendHealth aHealth, Instant aNow)
{
  aHealth.lastAnswerAt_ = aNow;
  return aHealth;
}

} // namespace fulmarway
