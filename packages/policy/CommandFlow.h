/** \file
 * An operator's command on its way through the log: appended, read back, answered.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** Tokens of appends that are no commands. */
inline constexpr std::uint64_t kAnnounceToken = ~std::uint64_t{ 0 };
inline constexpr std::uint64_t kSnapshotToken = ~std::uint64_t{ 1 };

/** Poll interval of the log; shorter while an operator waits. */
Duration
ReadInterval(const NodeState& aState);

/** Answers the commands that the log now contains. */
void
CompleteCommands(NodeState& aState,
                 ReduceContext& aContext,
                 const std::vector<AuditEntry>& aApplied);

void
NoteCommandAppend(NodeState& aState, ReduceContext& aContext, const AppendFinished& aEvent);

/** Repeats refused appends and ends commands that wait too long. */
void
AdvanceCommands(NodeState& aState, ReduceContext& aContext);

} // namespace fulmarway
