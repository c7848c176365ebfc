/** \file
 * The configuration that operators declare, the commands that change it, and the log records.
 */
#pragma once

#include "model/Ids.h"
#include "model/Importance.h"
#include "model/Member.h"
#include "model/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace fulmarway {

/** A request kind of a service. */
struct KindSpec
{
  std::string name_;
  Importance importance_ = Importance::kNormal;
  /** Whether a request may be executed more than once; if not, it needs a ticket. */
  bool idempotent_ = true;
  /** Extra attempts that one root request may spend, summed over its whole call chain. */
  std::uint32_t extraAttempts_ = 2;
  /** Default for requests without a deadline. */
  Duration deadline_ = std::chrono::seconds(2);
  /** Long requests are limited to a share of the slots, see ServiceSpec::longSharePercent_. */
  bool longRunning_ = false;

  auto operator<=>(const KindSpec&) const = default;
};

/** A service and the capacity of each of its backend servers and nodes. */
struct ServiceSpec
{
  std::string name_;
  /** Maximum number of requests that one backend server executes concurrently. */
  std::uint32_t slots_ = 16;
  /** Maximum number of caller connections of one node. */
  std::uint32_t connections_ = 1000;
  /** Upper bound of the concurrency limit, set by an operator; 0 for none. */
  std::uint32_t limit_ = 0;
  /** Maximum share of the slots that long requests may occupy, in percent. */
  std::uint32_t longSharePercent_ = 25;
  std::map<std::string, KindSpec> kinds_;

  auto operator<=>(const ServiceSpec&) const = default;
};

/** A service that receives a share of the requests of a route. */
struct RoutePart
{
  std::string service_;
  /** The share is proportional to this weight among all parts of the route. */
  std::uint32_t weight_ = 1;

  auto operator<=>(const RoutePart&) const = default;
};

/** A route: selects the requests to one host below one path prefix. */
struct RouteSpec
{
  std::string host_;
  /** Begins and ends with a slash. */
  std::string prefix_;
  /** The kind of these requests. Its deadline is also the upper bound for callers' deadlines. */
  KindSpec kind_;
  /** Latency within which an answer has its full value to the caller. */
  Duration targetLatency_ = std::chrono::seconds(1);
  /** At least one. */
  std::vector<RoutePart> parts_;
  /** Whether requests need no key of a client account. */
  bool public_ = false;

  auto operator<=>(const RouteSpec&) const = default;
};

/** A client account: the party that callers' requests belong to. */
struct AccountSpec
{
  std::string name_;
  /** Each key identifies the account. Secret; never logged or forwarded. */
  std::vector<std::string> keys_;
  /** Takes precedence over the importance of the route; nullopt for none. */
  std::optional<Importance> importance_;
  /** Quota over all nodes together: requests per second, and requests beyond that rate; a rate of 0
   * means no limit. */
  double ratePerSecond_ = 0;
  double burst_ = 0;

  auto operator<=>(const AccountSpec&) const = default;
};

/** Size and time limits of caller connections. The defaults apply until an operator sets others. */
struct CallerLimits
{
  std::uint64_t maxHeaderBytes_ = 16U << 10;
  std::uint64_t maxBodyBytes_ = 4U << 20;
  /** From the first byte of a request to the end of its headers. */
  Duration headerTimeout_ = std::chrono::seconds(30);
  /** Idle connections are closed after this time and not earlier, because callers reuse connections
   * that were idle for less. */
  Duration idleTimeout_ = std::chrono::seconds(120);

  auto operator<=>(const CallerLimits&) const = default;
};

/** The configuration in effect. */
struct Configuration
{
  /** Number of accepted changes; never decreases. */
  std::uint64_t version_ = 0;
  std::map<std::string, ServiceSpec> services_;
  /** Peer addresses of the nodes that an operator drains. */
  std::set<std::string> drained_;
  /** Ordered by host, then prefix. */
  std::vector<RouteSpec> routes_;
  CallerLimits callerLimits_;
  /** nullopt when requests belong to no account and need no key. With an empty list, no request on
   * a route that is not public is accepted. */
  std::optional<std::vector<AccountSpec>> accounts_;

  auto operator<=>(const Configuration&) const = default;
};

/** Declares a service or changes its capacity; keeps its kinds and limit. */
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

/** Key of the object that a command changes. Concurrent commands conflict if their subjects are
 * equal.
 */
std::string
SubjectOf(const Command& aCommand);

/** The command as one line of the operator language. */
std::string
FormatCommand(const Command& aCommand);

/** An operator's command as stored in the log. */
struct CommandRecord
{
  CommandId id_;
  std::string operatorName_;
  /** The version that the operator saw. */
  std::uint64_t baseVersion_ = 0;
  /** Wall clock of the receiving node, milliseconds since 1970; for display only. */
  std::uint64_t wallTimeMs_ = 0;
  Command command_;

  auto operator<=>(const CommandRecord&) const = default;
};

enum class CommandOutcome : std::uint8_t
{
  kAccepted,
  /** The subject had changed after the command's base version. */
  kConflict,
  /** The command refers to an undeclared object or contains a value out of range. */
  kRejected,
};

std::string_view
ToString(CommandOutcome aOutcome);

/** An entry of the audit trail. */
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

/** The result of applying all records up to an offset; identical on all nodes that have read up to
 * the same offset. */
struct ConfigState
{
  Configuration config_;
  /** Offset of the next record to apply. */
  std::uint64_t nextOffset_ = 0;
  /** Version at which each subject last changed. */
  std::map<std::string, std::uint64_t> subjectVersions_;
  /** The most recent commands, oldest first; at most kMaxAuditEntries. */
  std::vector<AuditEntry> audit_;

  auto operator<=>(const ConfigState&) const = default;
};

inline constexpr std::size_t kMaxAuditEntries = 1000;

/** A copy of the state. It is appended again before the log service expires the records that it
 * covers. */
struct SnapshotRecord
{
  ConfigState state_;

  auto operator<=>(const SnapshotRecord&) const = default;
};

/** Announcement of a starting node. */
struct AnnouncementRecord
{
  MemberRecord member_;

  auto operator<=>(const AnnouncementRecord&) const = default;
};

/** Placeholder for a record that could not be decoded. Readers continue at the offset after it. */
struct UnreadableRecord
{
  auto operator<=>(const UnreadableRecord&) const = default;
};

using LogRecord = std::variant<CommandRecord, SnapshotRecord, AnnouncementRecord, UnreadableRecord>;

/** A record and the offset that the log service assigned to it. */
struct OffsetRecord
{
  std::uint64_t offset_ = 0;
  LogRecord record_;

  auto operator<=>(const OffsetRecord&) const = default;
};

} // namespace fulmarway
