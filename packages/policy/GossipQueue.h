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
MakeCarrierBody(const MembershipState& aState);

/** Returns a message with this node's header and without updates. */
GossipMessage
MakeMessage(const MembershipState& aState, GossipBody aBody);

void
SendMessage(MembershipContext& aContext, const std::string& aAddress, GossipMessage aMessage);

/** Sends a message with recent changes. aFirst, if not null, is placed before them: the record that
 * the receiver is to refute, or this node's record. */
void
SendWithChanges(MembershipContext& aContext,
                const std::string& aAddress,
                GossipBody aBody,
                const MemberRecord* aFirst = nullptr);

/** Sends the records in as many datagrams as needed, until the allowance is used up. */
void
SendRecords(MembershipContext& aContext,
            const std::string& aAddress,
            const std::vector<MemberRecord>& aRecords);

/** Queues a changed record for piggybacking on later messages. */
void
QueueUpdate(MembershipContext& aContext, NodeId aNode, RecordSource aSource);

/** Immediately sends this node's record to a few members of the local domain. */
void
SpreadLocalRecord(MembershipContext& aContext);

/** Immediately sends this node's record to several members of the local domain and to one delegate
 * of each other domain. */
void
SpreadLocalRecordWidely(MembershipContext& aContext);

/** Immediately forwards the record of a draining or leaving member to a few local peers. */
void
ForwardUrgentRecord(MembershipContext& aContext, const MemberEntry& aEntry);

/** Deducts bytes from the allowance for records and summaries. Returns false, and deducts nothing,
 * when it is used up. */
bool
DeductReconciliationBytes(MembershipContext& aContext, std::size_t aBytes);

/** Whether the allowance suffices for summaries and for the records requested because of them. */
bool
MayReconcile(MembershipContext& aContext);

/** Fills both allowances to their burst size, as at the start of a node. */
void
ResetAllowances(MembershipState& aState, Instant aNow);

} // namespace fulmarway
