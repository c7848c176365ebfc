/** \file
 * A non-blocking HTTP/1.1 server. Replies on a connection have the order of its requests. Requests
 * that a client sends before the reply to an earlier one are processed beside it if all of them are
 * repeatable, so that a slow one does not delay the others; otherwise one at a time.
 */
#pragma once

#include "model/Config.h"
#include "model/Ids.h"
#include "node/Poller.h"
#include "node/TcpChannel.h"
#include "wire/HttpFraming.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fulmarway {

/** Address, poll set roles and upper bounds of a server. */
struct HttpServerSettings
{
  Poco::Net::SocketAddress address_;
  SocketRole listenerRole_ = SocketRole::kCallerListener;
  SocketRole connectionRole_ = SocketRole::kCallerConnection;
  std::size_t maxConnections_ = 2000;
  /** Upper bound of CallerLimits::maxBodyBytes_. */
  std::size_t maxBodyBytes_ = 4U << 20;
  /** Whether the owner decides about announced bodies by PermitBody() or Reply(). Otherwise each is
   * permitted at once. */
  bool asksBeforeBody_ = false;
  /** Whether a request may run again after it was cut off. Several such requests of a connection
   * are in progress at once: when an earlier reply closes the connection, the client sends them
   * again. If not set, no request counts as repeatable. */
  std::function<bool(const Poco::Net::HTTPRequest& aHead)> isRepeatable_ = {};
};

/** Requests of one connection in progress at once. */
inline constexpr std::size_t kMaxRequestsOfConnection = 8;
/** No further request of a connection is read while the bodies of those in progress and the replies
 * that wait for an earlier one hold this much: a quarter of the longest body. */
inline constexpr std::size_t kMaxBytesAhead = 1U << 20;
/** Input of a connection that is received while its next request can not be read yet. The reading
 * of the socket pauses above it, so that the client waits. */
inline constexpr std::size_t kMaxInputAhead = 1U << 20;
/** While the connections of a server hold this much together, each receives only the size of one
 * head in place of kMaxInputAhead. */
inline constexpr std::size_t kHeldBytesWithInputAhead = 16U << 20;
/** How long a connection is kept after its last reply if the client has sent more than was read.
 * Closing it at once would reset it, and the client could lose the reply. */
inline constexpr Duration kLingerTime = std::chrono::seconds(2);

/** Upper bound of CallerLimits::maxHeaderBytes_: a request with headers of this size still fits
 * into the frame that forwards it to another node. */
inline constexpr std::size_t kMaxHeaderLimitBytes = 32U << 10;

/** A complete request that waits for Reply(). */
struct ArrivedRequest
{
  ExchangeId exchange_;
  /** IP address of the client, without the port. */
  std::string peer_;
  HttpRequestMessage message_;
};

/** A request whose client waits for PermitBody() before it sends the body. */
struct AnnouncedBody
{
  ExchangeId exchange_;
  /** IP address of the client, without the port. */
  std::string peer_;
  Poco::Net::HTTPRequest head_;
};

/** Requests, disconnections and errors on one connection. */
struct HttpServerEvents
{
  std::vector<AnnouncedBody> announced_;
  std::vector<ArrivedRequest> requests_;
  /** Exchanges whose client disconnected before the reply. */
  std::vector<ExchangeId> disconnected_;
  std::uint64_t invalid_ = 0;
};

class HttpServer
{
public:
  /** Binds and listens. Throws Poco::Exception when the address cannot be used. */
  HttpServer(const HttpServerSettings& aSettings, Poller& aPoller);

  /** Sets the limits, each capped at the upper bound of this server. */
  void SetLimits(const CallerLimits& aLimits);

  /** Accepts pending connections. */
  void Accept(Instant aNow);

  HttpServerEvents HandleReady(const ReadySocket& aReady, Instant aNow);

  /** Tells the client to send its body; ignored if its connection was closed. The request arrives
   * as another exchange. */
  HttpServerEvents PermitBody(ExchangeId aExchange, Instant aNow);

  /** Replies to an exchange; ignored if its connection was closed. Does not read the connection's
   * next request: if the replies to requests that were sent ahead read each other, the stack would
   * grow with the input. A connection whose announced body is refused is closed. */
  HttpServerEvents Reply(ExchangeId aExchange,
                         HttpResponseHead& aHead,
                         std::string_view aBody,
                         Instant aNow);

  /** Connections that may hold a request that was sent ahead. */
  std::size_t ConnectionsWithInputAhead() const { return inputAhead_.size(); }

  /** Reads the next request of the connection that has waited for this the longest. Call it once
   * for each of ConnectionsWithInputAhead() before other input is read, so that a client that sends
   * ahead does not hold up the others. */
  HttpServerEvents ReadRequestSentAhead(Instant aNow);

  /** Closes each connection after its next reply; new connections are still accepted. */
  void CloseAfterReplies() { closesAfterReply_ = true; }

  /** Closes the listener, and each open connection after its next reply. */
  void StopAccepting();

  /** Closes connections that are idle, send a request too slowly or do not read their reply, after
   * the timeout for each, and those whose client has left while their reading paused. After
   * StopAccepting() it closes idle connections at once. */
  HttpServerEvents CloseIdle(Instant aNow);

  /** The bound address, with the port that the system chose if port 0 was requested. */
  Poco::Net::SocketAddress Address() const { return listener_.address(); }

  /** Memory of the connections: input, decoded bodies, unread replies. */
  std::size_t HeldBytes() const { return heldBytes_; }

  /** Which messages ReleaseMemory() may give up. */
  enum class ReleaseScope
  {
    kLongMessages,
    /** If there is no long one, a short one too: thousands of them are as large. */
    kAllMessages,
  };

  /** Frees memory at the cost of one connection: refuses the request that has been incomplete for
   * the longest time, or closes the connection with the longest unread reply. Returns whether there
   * was one. Requests that were passed on are affected only if they share the connection with that
   * reply. */
  bool ReleaseMemory(Instant aNow, ReleaseScope aScope, HttpServerEvents& aEvents);

  std::size_t ConnectionCount() const { return connections_.size(); }

  /** How often the reading of a connection paused. */
  std::uint64_t Pauses() const { return pauses_; }

  /** Whether replies are still in output buffers. */
  bool HasPendingOutput() const;

private:
  struct WaitingReply
  {
    HttpResponseHead head_;
    std::string body_;
  };

  /** A request that was passed on, and its reply while that to an earlier request is missing. */
  struct Exchange
  {
    ExchangeId id_;
    bool keepAlive_ = true;
    /** The reply has no body. */
    bool isHeadRequest_ = false;
    bool isRepeatable_ = false;
    /** Only the head was passed on, for a decision about the body. */
    bool isAnnounced_ = false;
    std::size_t bodyBytes_ = 0;
    std::optional<WaitingReply> reply_ = {};
  };

  struct Connection
  {
    TcpChannel channel_;
    std::string peer_;
    std::string input_ = {};
    /** In the order of the requests. */
    std::vector<Exchange> exchanges_ = {};
    /** A complete request that is passed on when no other is in progress, since it or one of those
     * in progress is not repeatable. */
    std::optional<HttpRequestMessage> waiting_ = {};
    /** Refusal of the request after those in progress; the connection is closed after it. */
    std::optional<std::string> refusal_ = {};
    bool closing_ = false;
    /** The socket is not polled for reading, since the next request can not be read yet. */
    bool isPaused_ = false;
    /** Input was dropped that came behind the last request that is answered. */
    bool hasDroppedInput_ = false;
    /** The last reply was sent. Input is dropped until this time. */
    std::optional<Instant> lingersUntil_ = {};
    /** The client of the incomplete request was told to send its body. */
    bool isContinued_ = false;
    /** There is input that is still to be parsed by ReadRequestSentAhead(). */
    bool hasInputAhead_ = false;
    Instant lastUsedAt_ = {};
    /** When the first byte of an incomplete or waiting request was received. */
    std::optional<Instant> requestStartedAt_ = {};
    RequestProgress progress_ = {};
    /** Part of heldBytes_. */
    std::size_t heldBytes_ = 0;
  };

  static std::size_t WaitingBytes(const Connection& aConnection);
  static bool CanReadAhead(const Connection& aConnection);
  static bool IsBodyExpected(const Connection& aConnection);
  /** Whether no further request of the connection is read, so that its input is dropped. */
  static bool IsInputDropped(const Connection& aConnection);
  /** Input of a connection that may be held while its next request can not be read. */
  std::size_t InputLimit(const Connection& aConnection) const;
  /** Writes pending output and reads the next request, if the connection stays open. */
  void FlushAndRead(std::uint64_t aId, Instant aNow, HttpServerEvents& aEvents);
  /** Receives input as far as it may be held, or drops it. */
  ChannelStatus Receive(Connection& aConnection);
  /** Whether there is a request, or a part of one, that was not passed on. */
  static bool HasUnreadRequest(const Connection& aConnection);
  /** For a connection with HasUnreadRequest(): since when, or a later time. */
  static Instant UnreadSince(const Connection& aConnection);
  /** Whether the client is due to send the rest of a request, and nothing delays its reading. */
  static bool IsReceiving(const Connection& aConnection);
  /** Parses the next request once the replies before it are completely written. */
  void ReadRequest(std::uint64_t aId, Instant aNow, HttpServerEvents& aEvents);
  /** Handles the incomplete request of a client that waits before it sends the body. */
  void AnnounceBody(std::uint64_t aId, Connection& aConnection, HttpServerEvents& aEvents);
  /** Tells the client to go on. */
  void Continue(std::uint64_t aId, Connection& aConnection);
  /** Passes the request on. */
  void Start(std::uint64_t aId,
             Connection& aConnection,
             HttpRequestMessage aMessage,
             bool aIsRepeatable,
             HttpServerEvents& aEvents);
  /** A new exchange of the request that is read from the connection. */
  Exchange& OpenExchange(std::uint64_t aId,
                         Connection& aConnection,
                         const Poco::Net::HTTPRequest& aHead);
  /** Ends the exchange. Returns its connection; nullopt if that was closed. */
  std::optional<std::uint64_t> CloseExchange(ExchangeId aExchange);
  /** Ends all exchanges of the connection; those without a reply are reported as disconnected. */
  void DropExchanges(Connection& aConnection, HttpServerEvents& aEvents);
  /** Writes the reply to the first exchange of the connection and removes that. */
  void WriteReply(std::uint64_t aId,
                  Connection& aConnection,
                  HttpResponseHead& aHead,
                  std::string_view aBody,
                  HttpServerEvents& aEvents);
  /** Lets ReadRequestSentAhead() read the connection if there is something to read. */
  void QueueInputAhead(std::uint64_t aId, Connection& aConnection);
  void Write(std::uint64_t aId, Connection& aConnection, std::string aBytes);
  void CloseConnection(std::uint64_t aId, HttpServerEvents& aEvents);
  /** Closes the connection after its last reply. Returns whether it is kept until the client has
   * received that. */
  bool Linger(std::uint64_t aId, Instant aNow, HttpServerEvents& aEvents);
  /** Updates the memory of the connection and whether it is read, if it is still open. */
  void Update(std::uint64_t aId, Instant aNow);
  void UpdateReading(std::uint64_t aId, Connection& aConnection, Instant aNow);
  /** ReleaseMemory() of messages that hold aMinBytes or more. */
  bool ReleaseMessage(Instant aNow, std::size_t aMinBytes, HttpServerEvents& aEvents);
  /** Replies "not run" to an incomplete or waiting request and closes its connection, after the
   * replies before it. */
  void RefuseIncomplete(std::uint64_t aId, Instant aNow);
  /** Makes room for another connection by one that lingers or has been silent within a request.
   * Returns whether there was one. */
  bool EvictSilent(Instant aNow);
  /** Writes buffered output; closes the connection on an error, or when closing_ is set and all
   * output is written. Returns whether the connection is still open. */
  bool Flush(std::uint64_t aId, Instant aNow, HttpServerEvents& aEvents);

  bool IsHeadOverdue(const Connection& aConnection, Instant aNow) const;
  void Refuse(std::uint64_t aId, Connection& aConnection, const InvalidRequest& aInvalid);
  /** Sends the reply, drops what has arrived, and closes the connection once the reply is written.
   */
  void CloseAfter(std::uint64_t aId, Connection& aConnection, std::string aReply);
  /** CloseAfter() the replies to the requests in progress. */
  void RefuseInOrder(std::uint64_t aId, Connection& aConnection, std::string aReply);

  HttpServerSettings settings_;
  CallerLimits limits_;
  Poller& poller_;
  Poco::Net::ServerSocket listener_;
  bool accepting_ = true;
  bool closesAfterReply_ = false;
  std::uint64_t nextId_ = 1;
  std::unordered_map<std::uint64_t, Connection> connections_;
  std::unordered_map<ExchangeId, std::uint64_t> exchanges_;
  /** Connections that may hold a request that was sent ahead; some may be closed. */
  std::deque<std::uint64_t> inputAhead_;
  std::size_t heldBytes_ = 0;
  std::uint64_t pauses_ = 0;
};

} // namespace fulmarway
