/** \file
 * Builds gossip datagrams, piggybacks recent record changes on them and limits the bytes that are
 * sent for changes and for reconciliation.
 */
#pragma once

#include "policy/MemberTable.h"

namespace fulmarway {

/** Largest payload of a datagram, below the usual MTU. */
inline constexpr std::size_t kMaxDatagramBytes = 1200;

/** Estimated size of a record in a datagram. */
std::size_t
EstimateBytes(const MemberRecord& aRecord);

/** Estimated payload size, with the MAC and without UDP and IP headers. */
std::size_t
EstimateBytes(const GossipMessage& aMessage);

/** Body of a message that only carries changes: a ProbeAck that matches no probe. A RecordsReply is
 * not used for this, because its receiver treats the records as possibly old. */
ProbeAck
CarrierOf(const MembershipState& aState);

/** Returns a message with this node's header and without updates. */
GossipMessage
MakeMessage(const MembershipState& aState, GossipBody aBody);

void
SendMessage(MembershipTurn& aTurn, const std::string& aAddress, GossipMessage aMessage);

/** Sends a message with recent changes. aFirst, if not null, is placed before them: the record that
 * the receiver is to refute, or this node's record. */
void
SendWithChanges(MembershipTurn& aTurn,
                const std::string& aAddress,
                GossipBody aBody,
                const MemberRecord* aFirst = nullptr);

/** Sends the records in as many datagrams as needed, until the allowance is used up. */
void
SendRecords(MembershipTurn& aTurn,
            const std::string& aAddress,
            const std::vector<MemberRecord>& aRecords);

/** Queues a changed record for piggybacking on later messages. */
void
QueueUpdate(MembershipTurn& aTurn, NodeId aNode, RecordSource aSource);

/** Immediately sends this node's record to a few members of the local domain. */
void
SpreadOwnRecord(MembershipTurn& aTurn);

/** Immediately sends this node's record to several members of the local domain and to one delegate
 * of each other domain. */
void
SpreadOwnRecordWidely(MembershipTurn& aTurn);

/** Immediately forwards the record of a draining or leaving member to a few local peers. */
void
ForwardUrgent(MembershipTurn& aTurn, const MemberEntry& aEntry);

/** Deducts bytes from the allowance for records and summaries. Returns false, and deducts nothing,
 * when it is used up. */
bool
TakeTableBytes(MembershipTurn& aTurn, std::size_t aBytes);

/** Whether the allowance suffices for summaries and for the records requested because of them. */
bool
MayReconcile(MembershipTurn& aTurn);

/** Fills both allowances to their burst size, as at the start of a node. */
void
FillAllowances(MembershipState& aState, Instant aNow);

} // namespace fulmarway
