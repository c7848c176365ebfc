#include "policy/BackendReports.h"

#include <utility>

namespace fulmarway {

Step<std::optional<BackendInstance>, ReportVerdict>
TakeReport(std::optional<BackendInstance> aKnown, const BackendReport& aReport, Instant aNow)
{
  const bool isNewRun = !aKnown || aReport.startedAtMs_ > aKnown->report_.startedAtMs_ ||
                        // Without a start time only the id distinguishes incarnations.
                        (aReport.startedAtMs_ == 0 && aKnown->report_.startedAtMs_ == 0 &&
                         aReport.instance_ != aKnown->report_.instance_);
  if (isNewRun) {
    return { BackendInstance{ aReport, aNow, false, 0 }, ReportVerdict::kNewRun };
  }
  const BackendReport& last = aKnown->report_;
  const bool isSameRun =
    aReport.startedAtMs_ == last.startedAtMs_ && aReport.instance_ == last.instance_;
  if (!isSameRun || aReport.sequence_ <= last.sequence_) {
    return { std::move(aKnown), ReportVerdict::kOutdated };
  }
  aKnown->report_ = aReport;
  aKnown->heardAt_ = aNow;
  aKnown->failedConnects_ = 0;
  return { std::move(aKnown), ReportVerdict::kTaken };
}

Step<std::optional<BackendInstance>, bool>
TakeLeave(std::optional<BackendInstance> aKnown, const BackendLeave& aLeave)
{
  const bool isKnown =
    aKnown && aKnown->report_.instance_ == aLeave.instance_ &&
    (aLeave.startedAtMs_ == 0 || aLeave.startedAtMs_ == aKnown->report_.startedAtMs_);
  if (isKnown) {
    aKnown->hasLeft_ = true;
  }
  return { std::move(aKnown), isKnown };
}

bool
IsLeaving(const std::optional<BackendInstance>& aKnown)
{
  return aKnown && (aKnown->hasLeft_ || aKnown->report_.draining_);
}

bool
IsUsable(const std::optional<BackendInstance>& aKnown, Instant aNow)
{
  return aKnown && aKnown->failedConnects_ < kFailedConnectsToLose &&
         aNow < aKnown->heardAt_ + kReportSilence;
}

} // namespace fulmarway
