/** \file
 * The deterministic fold of log records into the configuration, and its cold start.
 */
#pragma once

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

/** Reading of the log from its earliest record, when earlier records may have expired. */
struct LogReader
{
  ConfigState state_;
  /** False until the state is known to cover everything before the first record that was read. */
  bool complete_ = false;
  /** Records read before that; at most kMaxPendingRecords, then reading starts again. */
  std::vector<OffsetRecord> pending_;

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

/** A batch of records in offset order. aEarliest is the earliest offset that the log still holds.
 * Records that were lost between the last batch and this one make the reader incomplete again. */
Step<LogReader, ReadResult>
ReadBatch(LogReader aReader, std::uint64_t aEarliest, const std::vector<OffsetRecord>& aRecords);

/** Where to read next. */
std::uint64_t
NextReadOffset(const LogReader& aReader);

/** A peer's answer to a ConfigRequest. Returns whether the state advanced. */
Step<LogReader, bool>
LearnFromPeer(LogReader aReader, const ConfigReply& aReply);

/** Answers a peer: the records it lacks when the audit trail still holds them, else the state. */
ConfigReply
AnswerConfigRequest(const LogReader& aReader, const ConfigRequest& aRequest);

/** Whether a command is valid against the configuration; the error names what is wrong. */
std::optional<std::string>
CheckCommand(const Configuration& aConfig, const Command& aCommand);

} // namespace fulmarway
