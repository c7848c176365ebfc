/** \file
 * Cluster membership records, which nodes exchange by gossip.
 */
#pragma once

#include "model/BackendHeartbeat.h"
#include "model/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarway {

/** In order of precedence: among records with the same generation and sequence, the later state
 * replaces the earlier one. */
enum class MemberState : std::uint8_t
{
  /** Its backend server does not respond, either not yet or no longer. */
  kJoining,
  kAlive,
  /** Did not acknowledge a probe; routing selects it only as a last resort. */
  kSuspect,
  /** Finishes requests in flight and accepts no new ones. */
  kDraining,
  /** Remained suspect until the timeout. */
  kDead,
  /** Left by a planned stop; `successor_` holds its tickets. */
  kLeft,
};

/** Properties of a node that are constant during one incarnation. */
struct NodeIdentity
{
  NodeId id_;
  /** Wall-clock start time, milliseconds since 1970; increased if necessary to exceed the
   * generation of any older record of the node. */
  std::uint64_t generation_ = 0;
  Incarnation incarnation_;
  /** "IP:port" for TCP and UDP between nodes; `id_` is its hash. */
  std::string peerAddress_;
  /** "IP:port" of the admin interface; empty when there is none. */
  std::string adminAddress_;
  std::string service_;
  std::string domain_;
  std::string region_;

  auto operator<=>(const NodeIdentity&) const = default;
};

/** State of one node as known to the others. Records of a node are ordered by generation, sequence,
 * then state. */
struct MemberRecord
{
  NodeIdentity identity_;
  std::uint32_t sequence_ = 0;
  MemberState state_ = MemberState::kJoining;
  /** The node's ticket epoch when the record was sent; receivers extrapolate it. */
  std::uint32_t ticketEpoch_ = 0;
  /** The configuration version that is in effect on the node. */
  std::uint64_t configVersion_ = 0;
  /** The node that holds this node's tickets; only for kLeft, zero when there is none. */
  NodeId successor_;
  /** The latest departure of a backend server on the node's VM. */
  std::optional<BackendDeparture> departure_ = {};

  auto operator<=>(const MemberRecord&) const = default;
};

std::string_view
ToString(MemberState aState);

/** Whether aLeft replaces aRight. Both are records of the same node. */
bool
Supersedes(const MemberRecord& aLeft, const MemberRecord& aRight);

} // namespace fulmarway
