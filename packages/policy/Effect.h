/** \file
 * Everything a node can do to the world. The event loop carries the effects out in order.
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

/** Closes the connection on which the backend server works on the request. */
struct CancelBackend
{
  RequestId request_;

  bool operator==(const CancelBackend&) const = default;
};

/** Closes idle connections to the own backend server, since another run has its address. */
struct ForgetBackendConnections
{
  bool operator==(const ForgetBackendConnections&) const = default;
};

/** Comes back in StoreAnswered. */
struct AskStore
{
  StoreRequest request_;

  bool operator==(const AskStore&) const = default;
};

struct ReadLog
{
  std::uint64_t from_ = 0;

  bool operator==(const ReadLog&) const = default;
};

struct AppendLog
{
  /** Comes back in AppendFinished. */
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

/** A change of state worth a log line. */
struct LogLine
{
  std::string event_;
  std::vector<std::pair<std::string, std::string>> fields_;

  bool operator==(const LogLine&) const = default;
};

/** What callers may send from now on, and how long they may take. */
struct SetCallerLimits
{
  CallerLimits limits_;

  bool operator==(const SetCallerLimits&) const = default;
};

/** Caller connections that are open close after their next reply; new ones are still taken. */
struct CloseAfterReplies
{
  bool operator==(const CloseAfterReplies&) const = default;
};

/** No new caller connections; those that are open close after their next reply. */
struct StopAccepting
{
  bool operator==(const StopAccepting&) const = default;
};

struct ExitProcess
{
  bool operator==(const ExitProcess&) const = default;
};

using Effect = std::variant<ReplyToCaller,
                            SendToPeer,
                            SendToLink,
                            SendGossip,
                            CallBackend,
                            CancelBackend,
                            ForgetBackendConnections,
                            AskStore,
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
