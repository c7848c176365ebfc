/** \file
 * What the nodes know of each other.
 */
#pragma once

#include "model/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarway {

/** Later states win over earlier ones of the same generation and sequence. */
enum class MemberState : std::uint8_t
{
  /** Its backend server does not answer yet. */
  kJoining,
  kAlive,
  /** Missed a probe; still used as a last choice. */
  kSuspect,
  /** Finishes what it has and takes no new work. */
  kDraining,
  /** Was suspect for too long. */
  kDead,
  /** Stopped as planned; `successor` holds its tickets. */
  kLeft,
};

/** Fixed facts of one run of a node, from its settings and its start. */
struct NodeIdentity
{
  NodeId id_;
  /** Milliseconds of wall clock at start; raised above any older record of the same node. */
  std::uint64_t generation_ = 0;
  Incarnation incarnation_;
  /** "IP:port" for TCP and UDP between nodes; the hash of it is `id_`. */
  std::string peerAddress_;
  /** "IP:port" for operators; empty when there is none. */
  std::string adminAddress_;
  std::string service_;
  std::string domain_;
  std::string region_;

  auto operator<=>(const NodeIdentity&) const = default;
};

/** One node as seen by the others. Compared by generation, sequence, then state. */
struct MemberRecord
{
  NodeIdentity identity_;
  std::uint32_t sequence_ = 0;
  MemberState state_ = MemberState::kJoining;
  /** The node's ticket epoch when the record was sent; receivers extrapolate. */
  std::uint32_t ticketEpoch_ = 0;
  /** The configuration version that the node has in force. */
  std::uint64_t configVersion_ = 0;
  /** Holder of this node's tickets; only for kLeft, zero when there is none. */
  NodeId successor_;

  auto operator<=>(const MemberRecord&) const = default;
};

std::string_view
ToString(MemberState aState);

/** Whether aLeft replaces aRight, both records of the same node. */
bool
Supersedes(const MemberRecord& aLeft, const MemberRecord& aRight);

} // namespace fulmarway
