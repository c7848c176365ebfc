/** \file
 * Outputs of the reducer. The event loop executes them in order.
 */
#pragma once

#include "model/CallerRequest.h"
#include "model/Config.h"
#include "model/ControlDocuments.h"
#include "model/PeerMessage.h"
#include "model/Store.h"
#include "policy/Event.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace fulmarway {

struct ReplyToCaller
{
  ExchangeId exchange_;
  CallerReply reply_;

  bool operator==(const ReplyToCaller&) const = default;
};

/** Permits a caller to send the body that it has announced. */
struct PermitBody
{
  ExchangeId exchange_;

  bool operator==(const PermitBody&) const = default;
};

/** Sends on the connection that this node opens to the peer. */
struct SendToPeer
{
  NodeId peer_;
  std::string address_;
  PeerMessage message_;

  bool operator==(const SendToPeer&) const = default;
};

/** Sends on a connection that the peer opened. */
struct SendToLink
{
  LinkId link_;
  PeerMessage message_;

  bool operator==(const SendToLink&) const = default;
};

struct SendGossip
{
  std::string address_;
  GossipMessage message_;

  bool operator==(const SendGossip&) const = default;
};

struct CallBackend
{
  BackendRequest request_;

  bool operator==(const CallBackend&) const = default;
};

/** Cancels the request by closing the connection on which it was sent to the backend server. */
struct CancelBackend
{
  RequestId request_;

  bool operator==(const CancelBackend&) const = default;
};

/** Closes idle connections to the local backend server, whose address a new incarnation took. */
struct CloseIdleBackendConnections
{
  bool operator==(const CloseIdleBackendConnections&) const = default;
};

/** Acknowledges a heartbeat or a leave of the local backend server. */
struct AcknowledgeNotice
{
  ExchangeId exchange_;

  bool operator==(const AcknowledgeNotice&) const = default;
};

/** Calls the store; the result arrives in StoreCallFinished. */
struct CallStore
{
  StoreRequest request_;
  /** Time after which the call counts as failed. */
  Duration timeout_{ 0 };

  bool operator==(const CallStore&) const = default;
};

struct ReadLog
{
  std::uint64_t from_ = 0;

  bool operator==(const ReadLog&) const = default;
};

struct AppendLog
{
  /** Returned in AppendFinished. */
  std::uint64_t token_ = 0;
  LogRecord record_;

  bool operator==(const AppendLog&) const = default;
};

struct ReplyToCommand
{
  ExchangeId exchange_;
  CommandReply reply_;

  bool operator==(const ReplyToCommand&) const = default;
};

struct ReplyInForce
{
  ExchangeId exchange_;
  InForceDocument document_;

  bool operator==(const ReplyInForce&) const = default;
};

/** Writes a structured log line for a change of state. */
struct LogLine
{
  std::string event_;
  std::vector<std::pair<std::string, std::string>> fields_;

  bool operator==(const LogLine&) const = default;
};

/** Sets the sizes and timeouts that apply to callers' requests from now on. */
struct SetCallerLimits
{
  CallerLimits limits_;

  bool operator==(const SetCallerLimits&) const = default;
};

/** Closes open caller connections after their next reply; new ones are still accepted. */
struct CloseAfterReplies
{
  bool operator==(const CloseAfterReplies&) const = default;
};

/** Accepts no new caller connections; open ones are closed after their next reply. */
struct StopAccepting
{
  bool operator==(const StopAccepting&) const = default;
};

struct ExitProcess
{
  bool operator==(const ExitProcess&) const = default;
};

using Effect = std::variant<ReplyToCaller,
                            PermitBody,
                            SendToPeer,
                            SendToLink,
                            SendGossip,
                            CallBackend,
                            CancelBackend,
                            CloseIdleBackendConnections,
                            AcknowledgeNotice,
                            CallStore,
                            ReadLog,
                            AppendLog,
                            ReplyToCommand,
                            ReplyInForce,
                            LogLine,
                            SetCallerLimits,
                            CloseAfterReplies,
                            StopAccepting,
                            ExitProcess>;

using Effects = std::vector<Effect>;

} // namespace fulmarway
