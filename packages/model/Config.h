/** \file
 * The configuration that operators declare, the commands that change it and its log records.
 */
#pragma once

#include "model/Ids.h"
#include "model/Importance.h"
#include "model/Member.h"
#include "model/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace fulmarway {

/** One kind of request of a service. */
struct KindSpec
{
  std::string name_;
  Importance importance_ = Importance::kNormal;
  /** Whether a request may be repeated; a request that may not needs a ticket. */
  bool idempotent_ = true;
  /** Attempts beyond the first that one click may spend over the whole call chain. */
  std::uint32_t extraAttempts_ = 2;
  /** Used when the caller sends no deadline. */
  Duration deadline_ = std::chrono::seconds(2);
  /** Long requests share a part of the slots, see ServiceSpec::longSharePercent_. */
  bool longRunning_ = false;

  auto operator<=>(const KindSpec&) const = default;
};

/** A service and the sizes of each of its backend servers. */
struct ServiceSpec
{
  std::string name_;
  /** Requests that one backend server can work on at the same time. */
  std::uint32_t slots_ = 16;
  /** Caller connections that one node holds. */
  std::uint32_t connections_ = 1000;
  /** Operator's upper bound for the concurrency limit; 0 for none. */
  std::uint32_t limit_ = 0;
  /** Largest share of the slots for long requests, percent. */
  std::uint32_t longSharePercent_ = 25;
  std::map<std::string, KindSpec> kinds_;

  auto operator<=>(const ServiceSpec&) const = default;
};

/** A service that takes a share of the requests of a route. */
struct RoutePart
{
  std::string service_;
  /** Share in proportion to the weights of the other parts. */
  std::uint32_t weight_ = 1;

  auto operator<=>(const RoutePart&) const = default;
};

/** Requests of one host below one path prefix. */
struct RouteSpec
{
  std::string host_;
  /** Begins and ends with a slash. */
  std::string prefix_;
  /** The kind of these requests; its deadline is the longest time that a request is kept waiting.
   */
  KindSpec kind_;
  /** Latency within which an answer has its full value to the caller. */
  Duration targetLatency_ = std::chrono::seconds(1);
  /** At least one. */
  std::vector<RoutePart> parts_;

  auto operator<=>(const RouteSpec&) const = default;
};

/** What callers may send, and how long they may take. The defaults hold without an operator's word.
 */
struct CallerLimits
{
  std::uint64_t maxHeaderBytes_ = 16U << 10;
  std::uint64_t maxBodyBytes_ = 4U << 20;
  /** From the first byte of a request to the end of its headers. */
  Duration headerTimeout_ = std::chrono::seconds(30);
  /** How long a connection may be unused. Callers send on connections that were idle for less. */
  Duration idleTimeout_ = std::chrono::seconds(120);

  auto operator<=>(const CallerLimits&) const = default;
};

/** The configuration in force. */
struct Configuration
{
  /** Number of accepted changes; never falls. */
  std::uint64_t version_ = 0;
  std::map<std::string, ServiceSpec> services_;
  /** Nodes that an operator drains, by peer address. */
  std::set<std::string> drained_;
  /** Ordered by host, then prefix. */
  std::vector<RouteSpec> routes_;
  CallerLimits callerLimits_;

  auto operator<=>(const Configuration&) const = default;
};

/** Declares a service or changes its sizes; keeps its kinds and limit. */
struct DeclareService
{
  std::string service_;
  std::uint32_t slots_ = 0;
  std::uint32_t connections_ = 0;
  std::uint32_t longSharePercent_ = 0;

  auto operator<=>(const DeclareService&) const = default;
};

/** Declares a kind of request or replaces its declaration. */
struct DeclareKind
{
  std::string service_;
  KindSpec kind_;

  auto operator<=>(const DeclareKind&) const = default;
};

struct SetPriority
{
  std::string service_;
  std::string kind_;
  Importance importance_ = Importance::kNormal;

  auto operator<=>(const SetPriority&) const = default;
};

/** Sets the upper bound of the concurrency limit of each backend server; 0 removes it. */
struct SetLimit
{
  std::string service_;
  std::uint32_t limit_ = 0;

  auto operator<=>(const SetLimit&) const = default;
};

struct SetDrain
{
  std::string peerAddress_;
  bool draining_ = true;

  auto operator<=>(const SetDrain&) const = default;
};

using Command = std::variant<DeclareService, DeclareKind, SetPriority, SetLimit, SetDrain>;

/** What a command changes. Two commands conflict when they change the same subject. */
std::string
SubjectOf(const Command& aCommand);

/** One line in the words of the operator language. */
std::string
Describe(const Command& aCommand);

/** An operator's command as it is kept in the log. */
struct CommandRecord
{
  CommandId id_;
  std::string operatorName_;
  /** The version that the operator saw. */
  std::uint64_t baseVersion_ = 0;
  /** Wall clock of the node that took the command, milliseconds since 1970; for display only. */
  std::uint64_t wallTimeMs_ = 0;
  Command command_;

  auto operator<=>(const CommandRecord&) const = default;
};

enum class CommandOutcome : std::uint8_t
{
  kAccepted,
  /** The subject had changed after the command's base version. */
  kConflict,
  /** It names something that does not exist, or a value out of range. */
  kRejected,
};

std::string_view
ToString(CommandOutcome aOutcome);

/** One line of the audit trail. */
struct AuditEntry
{
  CommandRecord record_;
  std::uint64_t offset_ = 0;
  /** Version after the command. */
  std::uint64_t version_ = 0;
  CommandOutcome outcome_ = CommandOutcome::kAccepted;
  std::string detail_;

  auto operator<=>(const AuditEntry&) const = default;
};

/** The fold of all records up to an offset; equal on every node that has read as far. */
struct ConfigState
{
  Configuration config_;
  /** Offset of the next record to apply. */
  std::uint64_t nextOffset_ = 0;
  /** Version at which each subject last changed. */
  std::map<std::string, std::uint64_t> subjectVersions_;
  /** The latest commands, oldest first; at most kMaxAuditEntries. */
  std::vector<AuditEntry> audit_;

  auto operator<=>(const ConfigState&) const = default;
};

inline constexpr std::size_t kMaxAuditEntries = 1000;

/** A copy of the state, appended again before the records it covers expire. */
struct SnapshotRecord
{
  ConfigState state_;

  auto operator<=>(const SnapshotRecord&) const = default;
};

/** A node that starts makes itself known in the log. */
struct AnnounceRecord
{
  MemberRecord member_;

  auto operator<=>(const AnnounceRecord&) const = default;
};

/** A record that could not be decoded. It keeps its offset, so that a reader gets past it. */
struct UnreadableRecord
{
  auto operator<=>(const UnreadableRecord&) const = default;
};

using LogRecord = std::variant<CommandRecord, SnapshotRecord, AnnounceRecord, UnreadableRecord>;

/** A record with the place that the log service gave it. */
struct OffsetRecord
{
  std::uint64_t offset_ = 0;
  LogRecord record_;

  auto operator<=>(const OffsetRecord&) const = default;
};

} // namespace fulmarway
