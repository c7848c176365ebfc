/** \file
 * The member records of one node: which record wins, life signs, and what this node makes of them.
 */
#pragma once

#include "policy/Membership.h"

namespace fulmarway {

/** One event in progress: the state that changes, what is sent, and the time. */
struct MembershipTurn
{
  MembershipState& state_;
  GossipOutput& output_;
  Instant now_;
};

/** SplitMix64 over the random bits in the state. */
std::uint64_t
NextRandom(MembershipState& aState);

/** How a record reached this node. */
enum class RecordSource : std::uint8_t
{
  /** A recent change, passed on by a peer. */
  kChange,
  /** Reconciliation of tables; may contain old records. */
  kTable,
};

/** Takes a record if it wins over the known one, also one of this node itself. Returns whether it
 * was taken. */
bool
MergeRecord(MembershipTurn& aTurn, const MemberRecord& aRecord, RecordSource aSource);

/** A sign of life of the running incarnation: clears a suspicion. */
void
NoteLifeSign(MembershipTurn& aTurn, MemberEntry& aEntry);

/** The member missed its probes: it has the suspicion timeout to refute. */
void
Suspect(MembershipTurn& aTurn, MemberEntry& aEntry);

/** Recomputes the view of a member and reports a change. */
void
RefreshView(MembershipTurn& aTurn, MemberEntry& aEntry);

/** Suspicions that ran out, views that changed with time, records that are no longer kept. */
void
AdvanceTable(MembershipTurn& aTurn);

/** kAlive, kSuspect or kDead: whether the failure domain can be reached from the own one. */
MemberState
ReachOf(const MembershipState& aState, const std::string& aDomain, Instant aNow);

/** Whether the record is of a node that may be running. */
bool
MayRun(MemberState aState);

/** The record with its ticket epoch and the holder of its tickets brought up to date, as it is
 * passed on. */
MemberRecord
CurrentRecord(const MembershipState& aState, const MemberEntry& aEntry, Instant aNow);

/** Ids of the delegates of a failure domain: the lowest ids that may run. */
std::vector<NodeId>
DelegatesOf(const MembershipState& aState, const std::string& aDomain);

/** Members of the own domain that may run. */
std::vector<const MemberEntry*>
OwnDomainPeers(const MembershipState& aState);

/** Up to aCount of the entries, drawn at random. */
std::vector<const MemberEntry*>
Sample(MembershipState& aState, std::vector<const MemberEntry*> aEntries, std::size_t aCount);

} // namespace fulmarway
