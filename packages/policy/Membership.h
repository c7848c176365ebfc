/** \file
 * Group membership in the manner of SWIM. Nodes find each other through seeds and announcements,
 * detect failures with probes and suspicion inside their failure domain, spread changes by gossip,
 * and reconcile their member tables with digests. Between failure domains, delegates send digests.
 */
#pragma once

#include "model/Ids.h"
#include "model/Member.h"
#include "model/PeerMessage.h"
#include "model/Step.h"
#include "model/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarway {

struct MembershipSettings
{
  Duration probeInterval_ = std::chrono::seconds(1);
  Duration probeTimeout_ = std::chrono::milliseconds(400);
  Duration suspicionTimeout_ = std::chrono::seconds(3);
  /** Retention time of the records of dead and left members; longer than the ticket window. */
  Duration recordRetention_ = std::chrono::minutes(25);
  /** Nodes per failure domain, those with the lowest ids, that exchange digests with others. */
  std::uint32_t delegatesPerDomain_ = 3;
  /** Peers that send an indirect probe for this node when a probe times out. */
  std::uint32_t indirectProbes_ = 2;
  /** Limit of records on a message that piggybacks changes. */
  std::uint32_t updatesPerMessage_ = 6;
  std::size_t maxMembers_ = 4096;
  /** Length of a ticket epoch. Records of other nodes are sent with the epoch extrapolated to the
   * time of sending. */
  Duration epochLength_ = std::chrono::seconds(30);

  auto operator<=>(const MembershipSettings&) const = default;
};

struct OutgoingGossip
{
  std::string address_;
  GossipMessage message_;

  bool operator==(const OutgoingGossip&) const = default;
};

/** A change of the view of a member. `before_` holds the previous view and is empty for a new
 * member. */
struct MemberChange
{
  std::vector<MemberRecord> before_;
  MemberRecord after_;

  bool operator==(const MemberChange&) const = default;
};

struct GossipOutput
{
  std::vector<OutgoingGossip> messages_;
  std::vector<MemberChange> changes_;

  bool operator==(const GossipOutput&) const = default;
};

/** Entry of the member table. */
struct MemberEntry
{
  /** The record on which all nodes converge. */
  MemberRecord record_;
  /** The record as this node uses it: `record_` corrected by the last contact with the member and
   * by the reachability of its failure domain. Never sent. */
  MemberRecord view_;
  /** When `record_` was replaced or its state changed. */
  Instant changedAt_;
  /** Time at which the ticket epoch of `record_` was current, the base for extrapolation. */
  Instant epochAt_;
  /** Last state of this incarnation that was neither suspect nor dead. */
  MemberState stateBeforeSuspicion_ = MemberState::kAlive;
  /** Start of the suspicion; set while this node waits for a refutation. */
  std::optional<Instant> suspectedAt_;
  /** The view of a member that gossip declared dead is suspect until then, which gives the member
   * time to refute, also if this node did not suspect it before. */
  std::optional<Instant> viewSuspectUntil_;
  /** Last contact: a message or data-path bytes from the current incarnation. */
  std::optional<Instant> lastContactAt_;
  /** When this node last sent the member its own record for refutation. */
  std::optional<Instant> refutableRecordSentAt_;
  /** The latest departure in the records of all incarnations. A new incarnation that does not know
   * of it yet replaces `record_` by one without it. */
  std::optional<BackendDeparture> latestDeparture_;

  bool operator==(const MemberEntry&) const = default;
};

/** Reachability of a failure domain other than the local one. */
struct DomainReachability
{
  /** Last contact: a message or data-path bytes from any of its members. */
  Instant lastContactAt_;
  /** kAlive, kSuspect or kDead, as last reported by a delegate of the local domain. */
  MemberState reported_ = MemberState::kAlive;
  /** When a digest of one of its members last equalled the local one, and that hash. */
  std::optional<Instant> agreedAt_;
  std::uint64_t agreedHash_ = 0;

  bool operator==(const DomainReachability&) const = default;
};

/** A probe that was not acknowledged yet. */
struct PendingProbe
{
  NodeId target_;
  Instant sentAt_;
  bool indirectSent_ = false;
  /** For an indirect probe: the requesting node, the number of its probe, and its address. */
  NodeId onBehalfOf_;
  std::uint64_t requestNumber_ = 0;
  std::string requestAddress_;

  bool operator==(const PendingProbe&) const = default;
};

/** A node that was announced and that this node has had no contact with yet. */
struct AnnouncedNode
{
  std::string address_;
  std::uint32_t probesSent_ = 0;

  bool operator==(const AnnouncedNode&) const = default;
};

/** An incarnation that ended with a planned stop. */
struct MovedIncarnation
{
  MemberRecord leftRecord_;
  /** The successor's incarnation that took the tickets; zero while the successor is unknown. */
  Incarnation successorIncarnation_;
  Instant learnedAt_;

  bool operator==(const MovedIncarnation&) const = default;
};

/** Requests for moved incarnations that a node sends after its start. More than one, because a peer
 * may have just started too. */
inline constexpr std::uint32_t kMovedIncarnationRequests = 3;

/** Token bucket that limits sent bytes: the bytes available, and when they were last refilled. */
struct ByteAllowance
{
  std::int64_t bytes_ = 0;
  Instant refilledAt_;

  bool operator==(const ByteAllowance&) const = default;
};

struct MembershipState
{
  MembershipSettings settings_;
  MemberRecord self_;
  /** Addresses that are probed while no other domain or no local peer is known. A seed that is not
   * the address of a member is also probed periodically. */
  std::vector<std::string> seeds_;
  std::map<NodeId, MemberEntry> members_;
  /** Failure domains other than the local one. */
  std::map<std::string, DomainReachability> domains_;
  /** Changed records and how many more times each is to be sent. */
  std::map<NodeId, std::uint32_t> updates_;
  std::map<std::uint64_t, PendingProbe> pendingProbes_;
  std::map<NodeId, AnnouncedNode> announcedNodes_;
  /** A peer with a complete table has answered a probe of this incarnation. It has sent this node
   * the departure of the incarnation before, if there was one. */
  bool isKnownToPeer_ = false;
  /** By the incarnation that ended, see MovedIncarnations.h. */
  std::map<Incarnation, MovedIncarnation> moved_;
  /** Requests for moved incarnations that are still to be sent. */
  std::uint32_t movedIncarnationRequests_ = kMovedIncarnationRequests;
  /** Members of the local domain that are still to be notified of a change of reachability. */
  std::vector<NodeId> peersToNotify_;
  /** Members of the local domain in random order; the last one is probed next. */
  std::vector<NodeId> probeOrder_;
  std::uint64_t nextProbeNumber_ = 1;
  std::uint64_t random_ = 0;
  Instant startedAt_;
  Instant lastAdvanceAt_;
  Instant nextProbeAt_;
  Instant nextDigestAt_;
  Instant nextDelegateDigestAt_;
  Instant nextTableAt_;
  Instant nextDeadProbeAt_;
  std::optional<Instant> delegateSince_;
  /** When to send this node's state again, because the first messages may be lost. */
  std::optional<Instant> resendLocalStateAt_;
  std::uint32_t localStateResendsLeft_ = 0;
  ByteAllowance reconciliationAllowance_;
  ByteAllowance changeAllowance_;

  bool operator==(const MembershipState&) const = default;
};

MembershipState
MakeMembership(const MembershipSettings& aSettings,
               const NodeIdentity& aSelf,
               std::vector<std::string> aSeeds,
               Instant aNow);

/** Processes a datagram whose MAC was valid. */
Step<MembershipState, GossipOutput>
HandleGossip(MembershipState aState,
             const GossipMessage& aMessage,
             std::uint64_t aEntropy,
             Instant aNow);

/** Processes an announcement from the log or the store. It may be of a node that stopped long ago,
 * so an unknown node is probed first and becomes a member only when it responds. */
Step<MembershipState, GossipOutput>
HandleAnnouncement(MembershipState aState, const MemberRecord& aRecord, Instant aNow);

/** Records that the data path received bytes from the node, which shows that it is alive. */
Step<MembershipState, GossipOutput>
RecordDataPathContact(MembershipState aState, NodeId aNode, Instant aNow);

/** Sends probes and digests that are due and updates the member table. Call it every 100 ms. */
Step<MembershipState, GossipOutput>
AdvanceMembership(MembershipState aState, std::uint64_t aEntropy, Instant aNow);

/** Changes this node's state, for example to kDraining or kLeft, and spreads it immediately. */
Step<MembershipState, GossipOutput>
SetLocalState(MembershipState aState,
              MemberState aNewState,
              NodeId aSuccessor,
              std::uint64_t aEntropy,
              Instant aNow);

/** Sets the departure in this node's record and spreads it. */
Step<MembershipState, GossipOutput>
SetLocalDeparture(MembershipState aState,
                  const BackendDeparture& aDeparture,
                  std::uint64_t aEntropy,
                  Instant aNow);

/** Sets this node's configuration version and ticket epoch, for the message header and its record.
 * Neither decreases. A higher version is sent immediately to a few members of the local domain. */
Step<MembershipState, GossipOutput>
SetLocalVersions(MembershipState aState,
                 std::uint64_t aConfigVersion,
                 std::uint32_t aTicketEpoch,
                 std::uint64_t aEntropy,
                 Instant aNow);

/** Views of all members except this node, ordered by id. */
std::vector<MemberRecord>
Members(const MembershipState& aState);

/** Returns the view of the member, or nullptr if it is unknown. The pointer is valid until the
 * state changes. */
const MemberRecord*
FindMember(const MembershipState& aState, NodeId aNode);

/** Extrapolates the member's ticket epoch: the one it sent plus the epochs that passed since. */
std::uint32_t
EstimateTicketEpoch(const MembershipState& aState,
                    NodeId aNode,
                    Duration aEpochLength,
                    Instant aNow);

/** Follows the successors of planned stops to a node that has not left. Returns zero if there is
 * none. */
NodeId
ResolveSuccessor(const MembershipState& aState, NodeId aNode);

/** Like ResolveSuccessor(), but starts at one incarnation of a node, which a later incarnation at
 * the same address may have replaced. */
NodeId
FindTicketHolder(const MembershipState& aState, NodeId aNode, Incarnation aIncarnation);

/** Whether this node is one of the delegates of its failure domain. */
bool
IsDelegate(const MembershipState& aState);

} // namespace fulmarway
