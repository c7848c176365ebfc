/** \file
 * The member table of one node: merges records, tracks the last contact with each member and
 * derives the view of the members that this node uses.
 */
#pragma once

#include "policy/Membership.h"

namespace fulmarway {

/** Context for the processing of one event: the state to change, its output, and the time. */
struct MembershipContext
{
  MembershipState& state_;
  GossipOutput& output_;
  Instant now_;
};

/** Returns the next number of a SplitMix64 generator whose state is random_. */
std::uint64_t
NextRandom(MembershipState& aState);

/** How a record reached this node. */
enum class RecordSource : std::uint8_t
{
  /** A recent change, detected by this node or forwarded by a peer. */
  kRecentChange,
  /** Reconciliation of tables, which may deliver old records. */
  kReconciliation,
};

/** Stores the record if it supersedes the known one, and returns whether it was stored. A record of
 * this node is never stored; this node refutes it if it conflicts with its current record. */
bool
MergeRecord(MembershipContext& aContext, const MemberRecord& aRecord, RecordSource aSource);

/** The record of the member with a departure that its current incarnation does not know of; nullopt
 * if there is none. */
std::optional<MemberRecord>
RecordWithMissedDeparture(const MembershipContext& aContext, const MemberEntry& aEntry);

/** Records a contact with the current incarnation of the member, which clears a suspicion. */
void
RecordContact(MembershipContext& aContext, MemberEntry& aEntry);

/** Suspects a member that did not acknowledge its probes. It becomes dead unless it refutes this
 * within the suspicion timeout. */
void
Suspect(MembershipContext& aContext, MemberEntry& aEntry);

/** Recomputes the view of a member and adds a change of it to the output. A change of versions
 * alone is not reported. */
void
RefreshView(MembershipContext& aContext, MemberEntry& aEntry);

/** Declares members dead whose suspicion timed out, refreshes views that depend on the time and
 * removes expired records. */
void
AdvanceTable(MembershipContext& aContext);

/** Reachability of the failure domain from the local one: kAlive, kSuspect or kDead. */
MemberState
ReachabilityOf(const MembershipState& aState, const std::string& aDomain, Instant aNow);

/** Whether a node in this state may be running. */
bool
MayBeRunning(MemberState aState);

/** The record as it is sent to peers: with the ticket epoch extrapolated to aNow and, for a left
 * member, the node that holds its tickets now. */
MemberRecord
CurrentRecord(const MembershipState& aState, const MemberEntry& aEntry, Instant aNow);

/** Ids of the delegates of a failure domain: the lowest ids that may be running. */
std::vector<NodeId>
DelegatesOf(const MembershipState& aState, const std::string& aDomain);

/** Other members of the local domain that may be running. */
std::vector<const MemberEntry*>
LocalDomainPeers(const MembershipState& aState);

/** Returns a random sample of at most aCount entries, in random order. */
std::vector<const MemberEntry*>
Sample(MembershipState& aState, std::vector<const MemberEntry*> aEntries, std::size_t aCount);

} // namespace fulmarway
