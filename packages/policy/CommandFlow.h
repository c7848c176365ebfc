/** \file
 * Execution of an operator's command: append to the log, read back, reply.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** Tokens of appends that are not commands; those of commands count up from 1. */
inline constexpr std::uint64_t kAnnounceToken = ~std::uint64_t{ 0 };
inline constexpr std::uint64_t kSnapshotToken = ~std::uint64_t{ 1 };

/** Poll interval of the log; shorter while a command is pending. */
Duration
ReadInterval(const NodeState& aState);

/** Replies to the pending commands among the entries that were read from the log. */
void
CompleteCommands(NodeState& aState,
                 ReduceContext& aContext,
                 const std::vector<AuditEntry>& aApplied);

/** Records the result of the append of a command: schedules a retry after a refusal, else a read.
 */
void
RecordCommandAppend(NodeState& aState, ReduceContext& aContext, const AppendFinished& aEvent);

/** Retries refused appends and replies to commands that timed out. */
void
AdvanceCommands(NodeState& aState, ReduceContext& aContext);

} // namespace fulmarway
