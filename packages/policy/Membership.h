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

struct MembershipState
{
  MembershipSettings settings_;
  MemberRecord self_;
  /** Addresses that are probed while no member is known. */
  std::vector<std::string> seeds_;

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

/** A record from the log or a peer's configuration reply. */
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

/** Whether this node is one of the delegates of its failure domain. */
bool
IsDelegate(const MembershipState& aState);

} // namespace fulmarway
