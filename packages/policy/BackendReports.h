/** \file
 * What the node knows of the run of its backend server from that server's reports.
 */
#pragma once

#include "model/BackendReport.h"
#include "model/Step.h"
#include "model/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fulmarway {

/** The present run of the backend server. */
struct BackendInstance
{
  BackendReport report_;
  Instant heardAt_;
  /** It said that it leaves, and has not started again since. */
  bool hasLeft_ = false;
  /** Connections in a row that could not be opened. */
  std::uint32_t failedConnects_ = 0;

  bool operator==(const BackendInstance&) const = default;
};

/** Reports arrive every second or two and may be seconds late; after this silence the backend
 * server counts as lost. */
inline constexpr Duration kReportSilence = std::chrono::seconds(6);

/** Connections in a row that fail before the backend server counts as lost. A single one may be
 * reset because the backend server holds as many as it takes. */
inline constexpr std::uint32_t kFailedConnectsToLose = 3;

/** Takes over a report that is newer than the last one. A run that started later replaces the
 * present one, whatever their ids and sequence numbers are. */
Step<std::optional<BackendInstance>, ReportVerdict>
TakeReport(std::optional<BackendInstance> aKnown, const BackendReport& aReport, Instant aNow);

/** The run leaves; false when another one is known by now. */
Step<std::optional<BackendInstance>, bool>
TakeLeave(std::optional<BackendInstance> aKnown, const BackendLeave& aLeave);

/** Whether the run wants no new work. */
bool
IsLeaving(const std::optional<BackendInstance>& aKnown);

/** Whether requests can be passed to the run. */
bool
IsUsable(const std::optional<BackendInstance>& aKnown, Instant aNow);

} // namespace fulmarway
