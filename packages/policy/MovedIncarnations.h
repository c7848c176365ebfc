/** \file
 * Maps incarnations that ended with a planned stop to the nodes that hold their tickets.
 *
 * A node that restarts at the same address replaces its `left` record in the member table. Tickets
 * of its earlier incarnation are still valid at the successor, so the earlier record is kept here.
 */
#pragma once

#include "policy/Membership.h"

namespace fulmarway {

/** At this size the oldest entry is evicted. Equals the default limit of members, so that each node
 * can be replaced once within the lifetime of a ticket. */
inline constexpr std::size_t kMaxMovedIncarnations = 4096;

/** Records a `left` record that names a successor; ignores all other records and those of the local
 * incarnation. An existing entry with a different successor is replaced only if following it leads
 * to no holder. */
void
RecordMove(MembershipState& aState, const MemberRecord& aLeft, Instant aNow);

/** Called when a member becomes known. Sets the successor's incarnation in entries that were
 * recorded while the successor was still unknown. */
void
RecordSuccessorIncarnation(MembershipState& aState, const NodeIdentity& aSuccessor);

/** Removes entries that are older than the lifetime of a ticket. */
void
ExpireMoves(MembershipState& aState, Instant aNow);

/** The records of replaced incarnations to send to a node that may have missed planned stops. Each
 * names the current holder as the successor, because the receiver may not know the intermediate
 * ones. */
std::vector<MemberRecord>
MovedMemberRecords(const MembershipState& aState, Instant aNow);

} // namespace fulmarway
