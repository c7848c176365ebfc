/** \file
 * Deterministic fold of log records into the configuration, and recovery of a reader that starts
 * when the earliest records have expired.
 */
#pragma once

#include "model/Address.h"
#include "model/Config.h"
#include "model/PeerMessage.h"
#include "model/Step.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace fulmarway {

/** Applies the next record. Returns the audit entry of a command whose id is new. Records below
 * `nextOffset_` are ignored. */
Step<ConfigState, std::optional<AuditEntry>>
ApplyRecord(ConfigState aState, const OffsetRecord& aRecord);

/** Replaces the state when the snapshot covers more records and its version is not lower. Returns
 * whether it did. */
Step<ConfigState, bool>
AdoptSnapshot(ConfigState aState, const ConfigState& aSnapshot);

/** Reader of a log whose earliest records may have expired. `state_` is always the fold of all
 * records below its `nextOffset_`. While the reader is incomplete, records between that offset and
 * the first pending one may be missing. */
struct LogReader
{
  ConfigState state_;
  /** Whether the state includes every record before the first one that was read. */
  bool complete_ = false;
  /** Commands read while incomplete, at most kMaxPendingRecords. Beyond that the oldest are evicted
   * and `pendingFrom_` rises, so that only a later snapshot can complete the reader. */
  std::vector<OffsetRecord> pending_;
  /** While incomplete: every command in [pendingFrom_, pendingTo_) is in `pending_`. */
  std::uint64_t pendingFrom_ = 0;
  std::uint64_t pendingTo_ = 0;

  bool operator==(const LogReader&) const = default;
};

inline constexpr std::size_t kMaxPendingRecords = 20000;

struct ReadResult
{
  std::vector<AuditEntry> applied_;
  /** Announcements of nodes among the records. */
  std::vector<MemberRecord> announced_;

  bool operator==(const ReadResult&) const = default;
};

/** Applies a batch of records in offset order that was read from NextReadOffset(). aEarliest is the
 * earliest offset in the log at the time of the read. When records expired between the last batch
 * and this one, the reader becomes incomplete again, and its state stays in effect. Offsets whose
 * record could not be decoded are skipped. */
Step<LogReader, ReadResult>
ReadBatch(LogReader aReader, std::uint64_t aEarliest, const std::vector<OffsetRecord>& aRecords);

/** Returns the offset at which to read next. */
std::uint64_t
NextReadOffset(const LogReader& aReader);

/** Applies the reply of a peer to a ConfigRequest. Returns whether the state advanced. */
Step<LogReader, bool>
ApplyConfigReply(LogReader aReader, const ConfigReply& aReply);

/** Returns the reply to a peer: the records that it is missing when the audit trail still contains
 * them, else the state. A peer that starts (offset 0) always gets the state. An incomplete reader
 * returns an empty reply (offset 0). */
ConfigReply
MakeConfigReply(const LogReader& aReader, const ConfigRequest& aRequest);

/** Returns the snapshot to append before the records that it covers expire; nullopt while
 * incomplete, because a snapshot with missing records must not enter the log. */
std::optional<SnapshotRecord>
MakeSnapshot(const LogReader& aReader);

/** Returns the newest audit entry with this command id, or nullptr. */
const AuditEntry*
FindCommand(const ConfigState& aState, CommandId aId);

inline constexpr std::uint32_t kMaxSlots = 10000;
inline constexpr std::uint32_t kMaxConnections = 100000;
inline constexpr std::uint32_t kMaxExtraAttempts = 16;
inline constexpr Duration kMaxKindDeadline = std::chrono::minutes(10);
/** Bounds of the configuration; the target sizes are 87 services and 890 nodes. */
inline constexpr std::size_t kMaxServices = 1024;
inline constexpr std::size_t kMaxKindsPerService = 256;
inline constexpr std::size_t kMaxDrained = 4096;
/** A command whose base version is further behind is a conflict. This bounds `subjectVersions_`: a
 * subject that has not changed for this many versions is removed from it. */
inline constexpr std::uint64_t kMaxBaseVersionLag = 1000;

/** Validates a command against the configuration. Returns the error, or nullopt when valid. */
std::optional<std::string>
CheckCommand(const Configuration& aConfig, const Command& aCommand);

} // namespace fulmarway
