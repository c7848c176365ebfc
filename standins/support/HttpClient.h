/** \file
 * An HTTP/1.1 client on the event loop with a pool of persistent connections.
 */
#pragma once

#include "support/Connection.h"
#include "support/HttpMessage.h"

#include <Poco/Net/SocketAddress.h>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fulmarway::standins {

enum class CallFailure : std::uint8_t
{
  kNone,
  /** The connection could not be opened: nothing was sent. */
  kNotConnected,
  /** The connection closed before the first byte of the response. */
  kLost,
  /** The connection closed within the response, or the response is malformed. */
  kTruncated,
  kTimeout,
};

struct CallResult
{
  CallFailure failure_ = CallFailure::kNone;
  /** Set when there was no failure. */
  std::optional<HttpMessage> response_;
};

/** A callback must not destroy the client. */
class HttpClient
{
public:
  using CallId = std::uint64_t;
  using Callback = std::function<void(CallResult)>;
  struct Limits
  {
    /** Further calls to the same address wait for a connection; the wait counts towards their
     * timeout. */
    std::size_t connectionsPerAddress_ = 1000;
  };

  HttpClient(EventLoop& aLoop, Limits aLimits);

  /** aCallback is never called from inside Send(). */
  CallId Send(const Poco::Net::SocketAddress& aAddress,
              HttpMessage aRequest,
              EventLoop::Clock::duration aTimeout,
              Callback aCallback);
  /** Closes the connection of a call without calling its callback. */
  void Cancel(CallId aCall);

private:
  struct Call
  {
    Poco::Net::SocketAddress address_;
    HttpMessage request_;
    Callback callback_;
    EventLoop::TimerId timer_;
    /** 0 while the call waits for a connection. */
    std::uint64_t connection_ = 0;
  };
  struct PooledConnection
  {
    Poco::Net::SocketAddress address_;
    std::unique_ptr<Connection> connection_;
    /** 0 while the connection is idle. */
    CallId call_ = 0;
  };
  struct Target
  {
    std::size_t connections_ = 0;
    std::vector<std::uint64_t> idle_;
    std::deque<CallId> waiting_;
  };

  void Dispatch(const Poco::Net::SocketAddress& aAddress);
  /** Returns the id of the new connection; 0 when it cannot be opened. */
  std::uint64_t Open(const Poco::Net::SocketAddress& aAddress);
  void HandleInput(std::uint64_t aConnection, bool aClosed);
  void Finish(CallId aCall, CallResult aResult);
  void Remove(CallId aCall);
  void CloseConnection(std::uint64_t aConnection);

  EventLoop& loop_;
  Limits limits_;
  std::uint64_t nextId_ = 1;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<std::uint64_t, PooledConnection> connections_;
  std::map<Poco::Net::SocketAddress, Target> targets_;
};

} // namespace fulmarway::standins
