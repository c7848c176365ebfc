/** \file
 * Documents of the admin interface, `/control/v1/...`. Nodes serve them, the operator's client
 * reads them. ControlJson.h in `wire` gives their JSON form.
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
  /** Chosen by the client; repeated when it sends the command again. */
  CommandId commandId_;
  std::string operator_;
  /** The version that the operator saw; 0 for the version that the node has. */
  std::uint64_t baseVersion_ = 0;
  /** One changing statement of the operator language. */
  std::string text_;

  bool operator==(const CommandRequest&) const = default;
};

enum class ReplyOutcome : std::uint8_t
{
  kAccepted,
  kConflict,
  kRejected,
  /** The append was sent and its outcome is not known, or the node knows no such command id. */
  kUnknown,
  /** The command was not appended: the log or this node's view of it is not available. */
  kUnavailable,
  /** The node's own check found a fault, so the command was not appended and is not in the audit
   * trail. */
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
  /** Version after the command; the node's version when the outcome is not final. */
  std::uint64_t version_ = 0;
  /** Offset of the command in the log; 0 when it is not known to be there. */
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

/** `GET /control/v1/config`: how far the node has read. */
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

/** `GET /control/v1/shed`: what this node refused. */
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
  /** Concurrency limit in force. */
  std::uint32_t limit_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  AdmissionLevel level_;
  /** Open connections of callers. */
  std::uint32_t connections_ = 0;
  /** Tickets that are remembered. */
  std::uint32_t tickets_ = 0;

  bool operator==(const LoadDocument&) const = default;
};

struct AuditLine
{
  /** Milliseconds since 1970, by the clock of the node that took the command. */
  std::uint64_t wallTimeMs_ = 0;
  CommandId commandId_;
  std::string operator_;
  /** The command in the words of the operator language. */
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

/** One decision about a request of the click. */
struct ClickDecision
{
  /** Time since the first decision of the click on this node, microseconds. */
  std::uint64_t offsetUs_ = 0;
  std::string service_;
  std::string kind_;
  Verdict verdict_ = Verdict::kNotRun;
  Reason reason_ = Reason::kNone;
  /** Peer address of the node that decided. */
  std::string node_;

  bool operator==(const ClickDecision&) const = default;
};

/** `GET /control/v1/why?click=ID`. */
struct WhyDocument
{
  std::string clickId_;
  std::vector<ClickDecision> decisions_;

  bool operator==(const WhyDocument&) const = default;
};

struct DomainInForce
{
  std::string domain_;
  std::uint32_t members_ = 0;
  /** Members that have the version or a higher one in effect. */
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

/** Body of an answer with an error status. */
struct ErrorDocument
{
  std::string error_;

  bool operator==(const ErrorDocument&) const = default;
};

} // namespace fulmarway
