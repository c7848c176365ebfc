/** \file
 * Inputs of the reducer. The event loop creates them from sockets and timers, tests directly.
 */
#pragma once

#include "model/BackendHeartbeat.h"
#include "model/BackendLoad.h"
#include "model/BackendSignals.h"
#include "model/CallerRequest.h"
#include "model/Config.h"
#include "model/PeerMessage.h"
#include "model/Store.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fulmarway {

/** A connection that another node opened to this one. Zero denotes this node itself. */
using LinkId = Id<struct LinkIdTag>;

struct CallerRequestArrived
{
  ExchangeId exchange_;
  CallerRequest request_;

  bool operator==(const CallerRequestArrived&) const = default;
};

/** A caller waits for the permission to send the body of its request. */
struct CallerBodyAnnounced
{
  ExchangeId exchange_;
  /** Without the body. */
  CallerRequest request_;
  /** Declared length; 0 if the caller does not declare one. */
  std::size_t bodyBytes_ = 0;

  bool operator==(const CallerBodyAnnounced&) const = default;
};

/** The caller closed its connection before it received a reply. */
struct CallerDisconnected
{
  ExchangeId exchange_;

  bool operator==(const CallerDisconnected&) const = default;
};

/** A message on a connection that the other node opened. */
struct LinkMessageArrived
{
  LinkId link_;
  NodeId from_;
  PeerMessage message_;

  bool operator==(const LinkMessageArrived&) const = default;
};

struct LinkClosed
{
  LinkId link_;

  bool operator==(const LinkClosed&) const = default;
};

/** A message on a connection that this node opened. */
struct PeerMessageArrived
{
  NodeId from_;
  PeerMessage message_;

  bool operator==(const PeerMessageArrived&) const = default;
};

/** A connection that this node opened was lost, or could not be opened. */
struct PeerLost
{
  NodeId peer_;
  /** Attempts of which no byte was written; their requests did not run. */
  std::vector<AttemptId> unwritten_;
  /** Attempts of which at least one byte was written; their requests may have run. */
  std::vector<AttemptId> written_;

  bool operator==(const PeerLost&) const = default;
};

struct BackendAnswered
{
  RequestId request_;
  Answer answer_;
  /** The backend server reports that it refused the request without executing it. */
  bool refused_ = false;
  /** Reported with the answer; nullopt when there is no valid report. */
  std::optional<BackendLoad> load_;
  BackendSignals signals_;

  bool operator==(const BackendAnswered&) const = default;
};

struct BackendFailed
{
  RequestId request_;
  /** Whether at least one byte of the request was written; if so, it may have run. */
  bool written_ = false;

  bool operator==(const BackendFailed&) const = default;
};

struct BackendHealthChanged
{
  bool healthy_ = false;

  bool operator==(const BackendHealthChanged&) const = default;
};

/** A heartbeat of the local backend server, acknowledged with AcknowledgeNotice. */
struct BackendHeartbeatReceived
{
  BackendHeartbeat heartbeat_;
  ExchangeId exchange_ = {};

  bool operator==(const BackendHeartbeatReceived&) const = default;
};

/** Acknowledged with AcknowledgeNotice. */
struct BackendLeft
{
  BackendLeave leave_;
  ExchangeId exchange_ = {};

  bool operator==(const BackendLeft&) const = default;
};

/** A call to the store ended, with a result or an error. */
struct StoreCallFinished
{
  StoreTask task_ = StoreTask::kConfiguration;
  StoreReply reply_;
  /** Era of the store that answered. It rises when the store returns from an older copy and has
   * lost what it acknowledged since. nullopt without an answer, or if the answer names no era. */
  std::optional<std::uint64_t> era_ = {};

  bool operator==(const StoreCallFinished&) const = default;
};

struct GossipArrived
{
  GossipMessage message_;

  bool operator==(const GossipArrived&) const = default;
};

struct LogRecordsRead
{
  std::uint64_t earliest_ = 0;
  std::uint64_t latest_ = 0;
  /** Offset after the last record of the response; 0 when there is none. */
  std::uint64_t next_ = 0;
  std::vector<OffsetRecord> records_;

  bool operator==(const LogRecordsRead&) const = default;
};

struct LogReadFailed
{
  bool operator==(const LogReadFailed&) const = default;
};

enum class AppendResult : std::uint8_t
{
  kAppended,
  /** Not written; the append may be retried. */
  kRefused,
  /** The response was lost; the record may be in the log. */
  kUnknown,
};

struct AppendFinished
{
  std::uint64_t token_ = 0;
  AppendResult result_ = AppendResult::kUnknown;

  bool operator==(const AppendFinished&) const = default;
};

/** An operator's command, parsed but not yet checked against the configuration. */
struct CommandArrived
{
  ExchangeId exchange_;
  CommandId id_;
  std::string operatorName_;
  /** 0 denotes the version that is in effect on this node. */
  std::uint64_t baseVersion_ = 0;
  Command command_;

  bool operator==(const CommandArrived&) const = default;
};

/** An operator queries on how many nodes a version is in effect. */
struct InForceQueried
{
  ExchangeId exchange_;
  std::uint64_t version_ = 0;

  bool operator==(const InForceQueried&) const = default;
};

struct StopRequested
{
  bool operator==(const StopRequested&) const = default;
};

/** Occurs every kTickInterval. */
struct Tick
{
  /** Replies to callers or to other nodes are not completely written yet. */
  bool hasUnwrittenReplies_ = false;

  bool operator==(const Tick&) const = default;
};

inline constexpr Duration kTickInterval = std::chrono::milliseconds(20);

using EventBody = std::variant<CallerRequestArrived,
                               CallerBodyAnnounced,
                               CallerDisconnected,
                               LinkMessageArrived,
                               LinkClosed,
                               PeerMessageArrived,
                               PeerLost,
                               BackendAnswered,
                               BackendFailed,
                               BackendHealthChanged,
                               BackendHeartbeatReceived,
                               BackendLeft,
                               StoreCallFinished,
                               GossipArrived,
                               LogRecordsRead,
                               LogReadFailed,
                               AppendFinished,
                               CommandArrived,
                               InForceQueried,
                               StopRequested,
                               Tick>;

struct Event
{
  Instant now_;
  std::uint64_t entropy_ = 0;
  /** Wall clock in milliseconds since 1970. Used for the audit trail only. */
  std::uint64_t wallTimeMs_ = 0;
  EventBody body_;
  /** Bytes that the process may still take for long requests, and for short ones, see HasRoomFor().
   */
  std::size_t freeBytes_ = std::numeric_limits<std::size_t>::max();
  std::size_t freeBytesWithReserve_ = std::numeric_limits<std::size_t>::max();

  bool operator==(const Event&) const = default;
};

} // namespace fulmarway
