/** \file
 * Runs of nodes that ended with a planned stop, and who holds their tickets.
 *
 * A VM that starts again at the same address replaces its `left` record. Its earlier tickets are
 * still valid at the successor, so this table keeps the earlier record.
 */
#pragma once

#include "policy/Membership.h"

namespace fulmarway {

/** Entries kept; the oldest is dropped first. As many as there are members at most, so that each
 * node can be replaced once within the lifetime of a ticket. */
inline constexpr std::size_t kMaxMovedIncarnations = 4096;

/** Notes a `left` record that names a successor; ignores all others. A record that names another
 * successor replaces a known one when the known one leads nowhere. */
void
NoteMove(MembershipState& aState, const MemberRecord& aLeft, Instant aNow);

/** The member has become known: moves to it that were noted earlier went to this run. */
void
NoteSuccessorRun(MembershipState& aState, const NodeIdentity& aSuccessor);

/** Drops entries that are older than a ticket can be. */
void
DropOldMoves(MembershipState& aState, Instant aNow);

/** Records of replaced runs for a node that joined later. Each names the present holder, since the
 * receiver may not know the stops in between. */
std::vector<MemberRecord>
MovesToOffer(const MembershipState& aState, Instant aNow);

} // namespace fulmarway
