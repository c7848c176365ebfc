/** \file
 * Building datagrams: header, size estimate, and the recent changes that ride on them.
 */
#pragma once

#include "policy/MemberTable.h"

namespace fulmarway {

/** Largest payload of a datagram, below the usual MTU. */
inline constexpr std::size_t kMaxDatagramBytes = 1200;

/** Estimated bytes of a record in a datagram. */
std::size_t
EstimateBytes(const MemberRecord& aRecord);

/** Estimated payload bytes with the MAC, without UDP and IP headers. */
std::size_t
EstimateBytes(const GossipMessage& aMessage);

/** Body of a message that only carries changes: an acknowledgement of no probe. A RecordsReply is
 * the answer to a request and may carry old records. */
ProbeAck
CarrierOf(const MembershipState& aState);

/** A message with the header of this node and no updates. */
GossipMessage
MakeMessage(const MembershipState& aState, GossipBody aBody);

void
SendMessage(MembershipTurn& aTurn, const std::string& aAddress, GossipMessage aMessage);

/** Sends a message with recent changes and one record before them: of a member that is to refute
 * it, or the own one. */
void
SendWithChanges(MembershipTurn& aTurn,
                const std::string& aAddress,
                GossipBody aBody,
                const MemberRecord* aFirst = nullptr);

/** Sends the records, split over as many datagrams as needed. */
void
SendRecords(MembershipTurn& aTurn,
            const std::string& aAddress,
            const std::vector<MemberRecord>& aRecords);

/** Puts a changed record in line to be passed on. */
void
QueueUpdate(MembershipTurn& aTurn, NodeId aNode, RecordSource aSource);

/** Sends the own record at once to a few members of the own domain. */
void
SpreadOwnRecord(MembershipTurn& aTurn);

/** Sends the own record at once to several members of the own domain and to one delegate of each
 * other domain. */
void
SpreadOwnRecordWidely(MembershipTurn& aTurn);

/** Passes the record of a draining or leaving member on at once. */
void
ForwardUrgent(MembershipTurn& aTurn, const MemberEntry& aEntry);

/** Takes bytes from the allowance for records and summaries; false when it is used up. */
bool
TakeTableBytes(MembershipTurn& aTurn, std::size_t aBytes);

/** Whether enough of the allowance is left for summaries and the records that they lead to. */
bool
MayReconcile(MembershipTurn& aTurn);

/** Full allowances, as at the start of a node. */
void
FillAllowances(MembershipState& aState, Instant aNow);

} // namespace fulmarway
