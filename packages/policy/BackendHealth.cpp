#include "policy/BackendHealth.h"

namespace fulmarway {

BackendHealth
NoteHealthCheck(BackendHealth aHealth, bool aPassed, Instant aNow)
{
  if (aPassed) {
    aHealth.healthy_ = true;
    aHealth.failedChecks_ = 0;
    return aHealth;
  }
  ++aHealth.failedChecks_;
  const bool hasAnsweredLately =
    aHealth.lastAnswerAt_ && aNow < *aHealth.lastAnswerAt_ + kAnswerOutranksChecks;
  if (aHealth.failedChecks_ >= kFailedChecksUntilDown && !hasAnsweredLately) {
    aHealth.healthy_ = false;
  }
  return aHealth;
}

BackendHealth
NoteBackendAnswer(BackendHealth aHealth, Instant aNow)
{
  aHealth.lastAnswerAt_ = aNow;
  return aHealth;
}

} // namespace fulmarway
