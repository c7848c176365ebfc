/** \file
 * The deterministic fold of log records into the configuration, and its cold start.
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

/** Applies the next record. The result is the audit entry of a command that was seen for the first
 * time. Records below `nextOffset_` are ignored. */
Step<ConfigState, std::optional<AuditEntry>>
ApplyRecord(ConfigState aState, const OffsetRecord& aRecord);

/** Replaces the state when the snapshot has read further and its version is not lower. */
Step<ConfigState, bool>
AdoptSnapshot(ConfigState aState, const ConfigState& aSnapshot);

/** Reading of the log from its earliest record, when earlier records may have expired. `state_` is
 * always the fold of all records below its `nextOffset_`; what is uncertain is only whether records
 * between there and the first pending one are missing. */
struct LogReader
{
  ConfigState state_;
  /** False until the state is known to cover everything before the first record that was read. */
  bool complete_ = false;
  /** Commands read before that; at most kMaxPendingRecords, then the oldest are dropped and
   * `pendingFrom_` rises, so that only a later snapshot can complete the reader. */
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
  /** Announcements found among the records. */
  std::vector<MemberRecord> announced_;

  bool operator==(const ReadResult&) const = default;
};

/** A batch of records in offset order, read from NextReadOffset() on. aEarliest is the earliest
 * offset that the log held when it answered with this batch. Records that expired between the last
 * batch and this one make the reader incomplete again; its state stays in force. Offsets without a
 * record (it could not be decoded) are passed over. */
Step<LogReader, ReadResult>
ReadBatch(LogReader aReader, std::uint64_t aEarliest, const std::vector<OffsetRecord>& aRecords);

/** Where to read next. */
std::uint64_t
NextReadOffset(const LogReader& aReader);

/** A peer's answer to a ConfigRequest. Returns whether the state advanced. */
Step<LogReader, bool>
LearnFromPeer(LogReader aReader, const ConfigReply& aReply);

/** Answers a peer: the records it lacks when the audit trail still holds them, else the state. A
 * peer that starts (offset 0) always gets the state. A reader that is not complete answers with an
 * empty reply (offset 0). */
ConfigReply
AnswerConfigRequest(const LogReader& aReader, const ConfigRequest& aRequest);

/** The record to append again before the records it covers expire; nullopt while incomplete, so
 * that no snapshot with a hole enters the log. */
std::optional<SnapshotRecord>
MakeSnapshot(const LogReader& aReader);

/** The latest entry with this command id, newest first; nullptr when the trail does not hold it. */
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
/** A base version further behind is a conflict. So a subject that has not changed for this many
 * versions can be dropped from `subjectVersions_`, which bounds it. */
inline constexpr std::uint64_t kMaxBaseVersionLag = 1000;

/** Whether a command is valid against the configuration; the error names what is wrong. */
std::optional<std::string>
CheckCommand(const Configuration& aConfig, const Command& aCommand);

} // namespace fulmarway
