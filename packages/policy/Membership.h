/** \file
 * Who is there: announcements, probes and suspicion inside the failure domain, digests between
 * failure domains.
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
  /** Records of dead and left members are kept this long; longer than the ticket window. */
  Duration forgetAfter_ = std::chrono::minutes(25);
  /** Nodes of a failure domain that speak to other domains: those with the lowest ids. */
  std::uint32_t delegatesPerDomain_ = 3;
  /** Nodes asked for an indirect probe. */
  std::uint32_t indirectProbes_ = 2;
  /** Records piggybacked on one message. */
  std::uint32_t updatesPerMessage_ = 6;
  std::size_t maxMembers_ = 4096;
  /** Length of a ticket epoch; records of others are passed on with their epoch brought up to date.
   */
  Duration epochLength_ = std::chrono::seconds(30);

  auto operator<=>(const MembershipSettings&) const = default;
};

/** A message to send. */
struct OutgoingGossip
{
  std::string address_;
  GossipMessage message_;

  bool operator==(const OutgoingGossip&) const = default;
};

/** A member whose record changed, with its record before; `before_` is empty for a new member. */
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

/** A member as this node knows it. */
struct MemberEntry
{
  /** The record that all nodes agree on. */
  MemberRecord record_;
  /** The record as this node uses it: corrected by its own life signs and by failure domains that
   * it cannot reach. Never sent. */
  MemberRecord view_;
  /** When `record_` was last replaced. */
  Instant changedAt_;
  /** When the ticket epoch of `record_` was current. */
  Instant epochAt_;
  /** The state before the suspicion. */
  MemberState unsuspected_ = MemberState::kAlive;
  /** Set while this node waits for a refutation. */
  std::optional<Instant> suspectedAt_;
  /** A death that came without a suspicion before it is shown as suspicion until then. */
  std::optional<Instant> shownSuspectUntil_;
  /** Last message or data-path byte from the running incarnation. */
  std::optional<Instant> heardAt_;
  /** When the member was last sent its own record, so that it can refute it. */
  std::optional<Instant> remindedAt_;

  bool operator==(const MemberEntry&) const = default;
};

/** Whether a failure domain other than the own one can be reached. */
struct DomainReach
{
  /** Last message or data-path byte from any of its members. */
  Instant heardAt_;
  /** kAlive, kSuspect or kDead, as a delegate of the own domain reported it. */
  MemberState reported_ = MemberState::kAlive;
  /** When a digest of one of its members was equal to the own one, and that hash. */
  std::optional<Instant> agreedAt_;
  std::uint64_t agreedHash_ = 0;

  bool operator==(const DomainReach&) const = default;
};

/** A probe without an answer yet. */
struct PendingProbe
{
  NodeId target_;
  Instant sentAt_;
  bool indirectSent_ = false;
  /** For an indirect probe: who asked, with which number, and where to answer. */
  NodeId onBehalfOf_;
  std::uint64_t requestNumber_ = 0;
  std::string requestAddress_;

  bool operator==(const PendingProbe&) const = default;
};

/** A node that the log announced and that has not been heard of yet. */
struct MemberHint
{
  std::string address_;
  std::uint32_t probes_ = 0;

  bool operator==(const MemberHint&) const = default;
};

/** A run that ended with a planned stop. */
struct MovedIncarnation
{
  MemberRecord left_;
  /** The successor's run that took the tickets; zero while the successor is unknown. */
  Incarnation successorIncarnation_;
  Instant learnedAt_;

  bool operator==(const MovedIncarnation&) const = default;
};

/** Peers that a node asks for moves after its start. More than one, since a peer may have just
 * started too. */
inline constexpr std::uint32_t kMoveRequests = 3;

/** Bytes that may be sent now, and when they were counted. */
struct ByteAllowance
{
  std::int64_t bytes_ = 0;
  Instant countedAt_;

  bool operator==(const ByteAllowance&) const = default;
};

struct MembershipState
{
  MembershipSettings settings_;
  MemberRecord self_;
  /** Addresses that are probed while no other domain or no own peer is known, and from time to time
   * while they are not those of members. */
  std::vector<std::string> seeds_;
  std::map<NodeId, MemberEntry> members_;
  /** Failure domains other than the own one. */
  std::map<std::string, DomainReach> domains_;
  /** Changed records and how often each is still to be sent. */
  std::map<NodeId, std::uint32_t> updates_;
  std::map<std::uint64_t, PendingProbe> probes_;
  std::map<NodeId, MemberHint> hints_;
  /** By the run that ended, see MovedIncarnations.h. */
  std::map<Incarnation, MovedIncarnation> moved_;
  /** Requests for moves that are still to be sent. */
  std::uint32_t moveRequests_ = kMoveRequests;
  /** Members of the own domain that are still to be told which domains cannot be reached. */
  std::vector<NodeId> reachNotices_;
  /** Members of the own domain in random order, those to be probed next at the end. */
  std::vector<NodeId> probeOrder_;
  std::uint64_t nextNumber_ = 1;
  std::uint64_t random_ = 0;
  Instant startedAt_;
  Instant advancedAt_;
  Instant nextProbeAt_;
  Instant nextDigestAt_;
  Instant nextDelegateDigestAt_;
  Instant nextTableAt_;
  Instant nextDeadProbeAt_;
  std::optional<Instant> delegateSince_;
  /** The own state is sent out again at this time, because the first messages may be lost. */
  std::optional<Instant> repeatOwnStateAt_;
  std::uint32_t ownStateRepeats_ = 0;
  ByteAllowance tableBytes_;
  ByteAllowance changeBytes_;

  bool operator==(const MembershipState&) const = default;
};

MembershipState
MakeMembership(const MembershipSettings& aSettings,
               const NodeIdentity& aSelf,
               std::vector<std::string> aSeeds,
               Instant aNow);

/** A datagram whose MAC was valid. */
Step<MembershipState, GossipOutput>
HandleGossip(MembershipState aState,
             const GossipMessage& aMessage,
             std::uint64_t aEntropy,
             Instant aNow);

/** A record from the log. A node that no peer knows is probed first and becomes a member when it
 * answers, because the log also holds nodes that are long gone. */
Step<MembershipState, GossipOutput>
LearnMember(MembershipState aState, const MemberRecord& aRecord, Instant aNow);

/** The data path got bytes from the node: it is alive. */
Step<MembershipState, GossipOutput>
NoteAlive(MembershipState aState, NodeId aNode, Instant aNow);

/** Periodic work; call it every 100 ms. */
Step<MembershipState, GossipOutput>
AdvanceMembership(MembershipState aState, std::uint64_t aEntropy, Instant aNow);

/** Changes the own state, for example to kAlive, kDraining or kLeft, and spreads it at once. */
Step<MembershipState, GossipOutput>
SetOwnState(MembershipState aState,
            MemberState aOwn,
            NodeId aSuccessor,
            std::uint64_t aEntropy,
            Instant aNow);

/** The own configuration version and ticket epoch, for the header and the own record. A higher
 * version is spread at once to a few members of the own domain. */
Step<MembershipState, GossipOutput>
SetOwnVersions(MembershipState aState,
               std::uint64_t aConfigVersion,
               std::uint32_t aTicketEpoch,
               std::uint64_t aEntropy,
               Instant aNow);

/** Records of all known members without the own one, by id. */
std::vector<MemberRecord>
Members(const MembershipState& aState);

/** nullptr when unknown. The pointer is valid until the state changes. */
const MemberRecord*
FindMember(const MembershipState& aState, NodeId aNode);

/** The member's ticket epoch now: the one it sent plus the epochs that passed since. */
std::uint32_t
EstimatedEpoch(const MembershipState& aState, NodeId aNode, Duration aEpochLength, Instant aNow);

/** Follows the successors of planned stops to a node that has not left; zero when there is none. */
NodeId
ResolveSuccessor(const MembershipState& aState, NodeId aNode);

/** The same from one run of a node, which may have been replaced by a later run at the same
 * address. */
NodeId
FindHolder(const MembershipState& aState, NodeId aNode, Incarnation aIncarnation);

/** Whether this node is one of the delegates of its failure domain. */
bool
IsDelegate(const MembershipState& aState);

} // namespace fulmarway
