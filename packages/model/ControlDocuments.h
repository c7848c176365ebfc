/** \file
 * Documents of the admin interface, `/control/v1/...`, which nodes serve to the operator's client.
 * wire/ControlJson.h converts them to and from JSON.
 */
#pragma once

#include "model/Config.h"
#include "model/Ids.h"
#include "model/Importance.h"
#include "model/Member.h"
#include "model/Verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarway {

/** Body of `POST /control/v1/command`. */
struct CommandRequest
{
  /** Chosen by the client; the same in all retries of the command. */
  CommandId commandId_;
  std::string operator_;
  /** The version that the operator saw; 0 for the node's current version. */
  std::uint64_t baseVersion_ = 0;
  /** A statement of the operator language that changes the configuration. */
  std::string text_;

  bool operator==(const CommandRequest&) const = default;
};

enum class ReplyOutcome : std::uint8_t
{
  kAccepted,
  kConflict,
  kRejected,
  /** The append was sent but its outcome is unknown, or the command id is unknown to the node. */
  kUnknown,
  /** The command was not appended because the log, or this node's copy of it, is unavailable. */
  kUnavailable,
  /** The node's check found an error. The command was not appended, so it is not in the audit
   * trail.
   */
  kInvalid,
};

inline constexpr std::uint8_t kReplyOutcomeCount =
  static_cast<std::uint8_t>(ReplyOutcome::kInvalid) + 1;

std::string_view
ToString(ReplyOutcome aOutcome);

ReplyOutcome
ReplyOutcomeOf(CommandOutcome aOutcome);

/** Answer of `POST /control/v1/command` and `GET /control/v1/command?id=HEX`. */
struct CommandReply
{
  ReplyOutcome outcome_ = ReplyOutcome::kUnknown;
  /** Version after the command; the node's current version while the outcome is not final. */
  std::uint64_t version_ = 0;
  /** Offset of the command in the log; 0 if the command is not known to be in the log. */
  std::uint64_t offset_ = 0;
  std::string detail_;

  bool operator==(const CommandReply&) const = default;
};

/** `GET /control/v1/services`. */
struct ServicesDocument
{
  std::uint64_t version_ = 0;
  std::vector<ServiceSpec> services_;

  bool operator==(const ServicesDocument&) const = default;
};

struct MemberView
{
  NodeId id_;
  std::string address_;
  std::string service_;
  std::string domain_;
  std::string region_;
  MemberState state_ = MemberState::kJoining;
  std::uint64_t configVersion_ = 0;

  bool operator==(const MemberView&) const = default;
};

/** `GET /control/v1/members`. */
struct MembersDocument
{
  std::vector<MemberView> members_;

  bool operator==(const MembersDocument&) const = default;
};

/** `GET /control/v1/config`: the configuration version of the node and its log position. */
struct ConfigDocument
{
  std::uint64_t version_ = 0;
  std::uint64_t nextOffset_ = 0;
  bool complete_ = false;
  /** Peer addresses of the nodes that an operator drains. */
  std::vector<std::string> drained_;

  bool operator==(const ConfigDocument&) const = default;
};

struct ShedCount
{
  std::string service_;
  std::string kind_;
  Importance importance_ = Importance::kNormal;
  Reason reason_ = Reason::kNone;
  /** Since the start of the node. */
  std::uint64_t count_ = 0;
  /** "inbound" for the backend server's node, "outbound" for the entry node of the call. */
  std::string side_;

  bool operator==(const ShedCount&) const = default;
};

/** `GET /control/v1/shed`: the requests that this node refused. */
struct ShedDocument
{
  AdmissionLevel level_;
  std::uint32_t limit_ = 0;
  std::vector<ShedCount> counts_;

  bool operator==(const ShedDocument&) const = default;
};

/** `GET /control/v1/load`. */
struct LoadDocument
{
  /** Concurrency limit in effect. */
  std::uint32_t limit_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  AdmissionLevel level_;
  /** Open caller connections. */
  std::uint32_t connections_ = 0;
  /** Entries in the ticket table. */
  std::uint32_t tickets_ = 0;

  bool operator==(const LoadDocument&) const = default;
};

/** What leaves the failure domain of the node for one service, one destination and one reason. */
struct SpillView
{
  std::string service_;
  std::string domain_;
  std::string reason_;
  /** Since the start of the node. */
  std::uint64_t requests_ = 0;
  std::uint64_t bytes_ = 0;

  bool operator==(const SpillView&) const = default;
};

/** The share of a service's requests that goes to a domain now, in thousandths. */
struct SpillShare
{
  std::string service_;
  std::string domain_;
  std::uint32_t perMille_ = 0;
  /** Requests refused or lost there since the start of the node. */
  std::uint64_t refused_ = 0;

  bool operator==(const SpillShare&) const = default;
};

/** `GET /control/v1/spill`. */
struct SpillDocument
{
  /** Value of --domain-spill-percent; empty when it is not given. */
  std::string maxPercent_;
  std::vector<SpillShare> shares_;
  std::vector<SpillView> counts_;

  bool operator==(const SpillDocument&) const = default;
};

struct AuditLine
{
  /** Wall clock of the node that received the command, milliseconds since 1970. */
  std::uint64_t wallTimeMs_ = 0;
  CommandId commandId_;
  std::string operator_;
  /** The command in the operator language. */
  std::string text_;
  CommandOutcome outcome_ = CommandOutcome::kAccepted;
  std::uint64_t version_ = 0;
  std::uint64_t offset_ = 0;
  std::string detail_;

  bool operator==(const AuditLine&) const = default;
};

/** `GET /control/v1/audit?last=N`, oldest first. */
struct AuditDocument
{
  std::vector<AuditLine> entries_;

  bool operator==(const AuditDocument&) const = default;
};

AuditLine
AuditLineOf(const AuditEntry& aEntry);

/** A decision about one request that belongs to a root request. */
struct RootRequestDecision
{
  /** Time since the first decision about the root request on this node, microseconds. */
  std::uint64_t offsetUs_ = 0;
  std::string service_;
  std::string kind_;
  Verdict verdict_ = Verdict::kNotRun;
  Reason reason_ = Reason::kNone;
  /** Peer address of the node that decided. */
  std::string node_;

  bool operator==(const RootRequestDecision&) const = default;
};

/** `GET /control/v1/why?click=ID`. */
struct WhyDocument
{
  std::string rootRequestId_;
  std::vector<RootRequestDecision> decisions_;

  bool operator==(const WhyDocument&) const = default;
};

struct DomainInForce
{
  std::string domain_;
  std::uint32_t members_ = 0;
  /** Members on which the version or a higher one is in effect. */
  std::uint32_t inForce_ = 0;
  bool reachable_ = false;

  bool operator==(const DomainInForce&) const = default;
};

/** `GET /control/v1/inforce?version=N`. */
struct InForceDocument
{
  std::uint64_t version_ = 0;
  std::vector<DomainInForce> domains_;

  bool operator==(const InForceDocument&) const = default;
};

/** Body of a response with an error status. */
struct ErrorDocument
{
  std::string error_;

  bool operator==(const ErrorDocument&) const = default;
};

} // namespace fulmarway
