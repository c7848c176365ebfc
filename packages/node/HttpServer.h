/** \file
 * A non-blocking HTTP/1.1 server. A connection carries one request at a time.
 */
#pragma once

#include "model/Config.h"
#include "model/Ids.h"
#include "node/Poller.h"
#include "node/TcpChannel.h"
#include "wire/HttpFraming.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fulmarway {

/** Where a server stands in the poll set, and its bounds. */
struct HttpServerSettings
{
  Poco::Net::SocketAddress address_;
  SocketRole listenerRole_ = SocketRole::kCallerListener;
  SocketRole connectionRole_ = SocketRole::kCallerConnection;
  std::size_t maxConnections_ = 2000;
  /** Upper bound for the body in the limits. */
  std::size_t maxBodyBytes_ = 4U << 20;
};

/** Upper bound for the headers in the limits: with them a request still fits into the frame that
 * passes it on. */
inline constexpr std::size_t kMaxHeaderLimitBytes = 32U << 10;

/** A whole request that waits for Reply(). */
struct ArrivedRequest
{
  ExchangeId exchange_;
  /** IP number without the port. */
  std::string peer_;
  HttpRequestMessage message_;
};

/** What happened on one connection. */
struct HttpServerEvents
{
  std::vector<ArrivedRequest> requests_;
  /** Exchanges whose client went away before the reply. */
  std::vector<ExchangeId> disconnected_;
  std::uint64_t invalid_ = 0;
};

class HttpServer
{
public:
  /** Binds and listens. Throws Poco::Exception when the address cannot be used. */
  HttpServer(const HttpServerSettings& aSettings, Poller& aPoller);

  /** Limits above the upper bounds of this server are lowered to them. */
  void SetLimits(const CallerLimits& aLimits);

  /** Accepts waiting connections. */
  void Accept(Instant aNow);

  HttpServerEvents HandleReady(const ReadySocket& aReady, Instant aNow);

  /** Answers an exchange; one that is gone is ignored. May read the connection's next request. */
  HttpServerEvents Reply(ExchangeId aExchange,
                         Poco::Net::HTTPResponse& aHead,
                         std::string_view aBody,
                         Instant aNow);

  /** Open connections end after their next reply; new ones are still taken. */
  void CloseAfterReplies() { closesAfterReply_ = true; }

  /** Closes the listener; open connections end after their next reply. */
  void StopAccepting();

  /** Closes connections that have sent no request for a long time, send one too slowly, or do not
   * read their reply. */
  void CloseIdle(Instant aNow);

  /** The bound address, with the port that was chosen for port 0. */
  Poco::Net::SocketAddress Address() const { return listener_.address(); }

  std::size_t ConnectionCount() const { return connections_.size(); }

  /** Whether replies are still in output buffers. */
  bool HasPendingOutput() const;

private:
  struct Connection
  {
    TcpChannel channel_;
    std::string peer_;
    std::string input_;
    std::optional<ExchangeId> exchange_;
    bool keepAlive_ = true;
    bool closing_ = false;
    /** The request has no reply body. */
    bool isHead_ = false;
    Instant lastUsedAt_;
    /** When the first byte of an incomplete request was seen. */
    std::optional<Instant> requestSince_ = {};
  };

  /** Takes the next request once the reply to the one before is written. */
  void ReadRequest(std::uint64_t aId, Instant aNow, HttpServerEvents& aEvents);
  void Write(std::uint64_t aId, Connection& aConnection, std::string aBytes);
  void Drop(std::uint64_t aId, HttpServerEvents& aEvents);
  /** Sends what is buffered; drops the connection when that fails or it is done. Returns whether
   * the connection is still there. */
  bool Flush(std::uint64_t aId, HttpServerEvents& aEvents);

  bool IsHeadOverdue(const Connection& aConnection, Instant aNow) const;
  void Refuse(std::uint64_t aId, Connection& aConnection, const InvalidRequest& aInvalid);

  HttpServerSettings settings_;
  CallerLimits limits_;
  Poller& poller_;
  Poco::Net::ServerSocket listener_;
  bool accepting_ = true;
  bool closesAfterReply_ = false;
  std::uint64_t nextId_ = 1;
  std::unordered_map<std::uint64_t, Connection> connections_;
  std::unordered_map<ExchangeId, std::uint64_t> exchanges_;
};

} // namespace fulmarway
