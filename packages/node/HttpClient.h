/** \file
 * A non-blocking HTTP/1.1 client for one server, with a pool of persistent connections.
 */
#pragma once

#include "node/Poller.h"
#include "node/TcpChannel.h"
#include "wire/HttpFraming.h"

#include <Poco/Net/SocketAddress.h>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fulmarway {

enum class ExchangeOutcome : std::uint8_t
{
  kAnswered,
  /** No byte of the request was written. */
  kNotSent,
  /** At least one byte was written, but no complete answer arrived. */
  kLost,
};

struct HttpResult
{
  /** The token passed to Send(). */
  std::uint64_t token_ = 0;
  ExchangeOutcome outcome_ = ExchangeOutcome::kLost;
  /** Set for kAnswered. */
  std::optional<HttpResponseMessage> response_;
  /** What is wrong with the answer of a kLost request, if one arrived. */
  std::optional<UserError> invalidAnswer_;
};

struct HttpClientSettings
{
  Poco::Net::SocketAddress address_;
  SocketRole role_ = SocketRole::kBackendConnection;
  std::size_t maxBodyBytes_ = 4U << 20;
  /** Bound on the incomplete answers of all connections together. Answers without end on as many
   * connections as the server has slots would otherwise take the memory of the VM. */
  std::size_t maxBufferedBytes_ = 32U << 20;
  /** A connection that was idle for this long is not reused, since the server may be closing it. */
  Duration maxIdle_ = std::chrono::seconds(3);
};

/** Requests with an ExpectedEcho that one connection carries before it is replaced. Bounds the
 * memory for their values to 8 KB. */
inline constexpr std::size_t kMaxRequestsPerConnection = 1000;

/** A header field that the server copies from a request into its answer. An answer with another
 * value belongs to an earlier request on the connection. A request that repeats a value is sent on
 * a connection that has not carried it: a late copy of the first answer could not be told from the
 * answer to the repeat. */
struct ExpectedEcho
{
  std::string name_;
  std::string value_;

  bool operator==(const ExpectedEcho&) const = default;
};

class HttpClient
{
public:
  HttpClient(const HttpClientSettings& aSettings, Poller& aPoller);

  /** Sends a request. If no answer arrives by aDeadline, its result is kLost or kNotSent. */
  void Send(std::uint64_t aToken,
            Poco::Net::HTTPRequest& aHead,
            std::string_view aBody,
            Instant aNow,
            Instant aDeadline,
            std::optional<ExpectedEcho> aEcho = std::nullopt);

  /** Aborts a request by closing its connection; no result is reported. */
  void Cancel(std::uint64_t aToken);

  void HandleReady(const ReadySocket& aReady, Instant aNow);

  /** Closes idle connections, for example because another process has taken over the address. */
  void CloseIdle();

  /** Fails requests whose deadline has passed and closes connections idle for maxIdle_. */
  void Advance(Instant aNow);

  /** Returns the results since the last call. */
  std::vector<HttpResult> ExtractResults();

  /** Bytes of the incomplete answers on all connections. */
  std::size_t BufferedBytes() const { return bufferedBytes_; }

  /** Memory of the connections: incomplete answers, and requests that are not completely sent. */
  std::size_t HeldBytes() const;

private:
  struct Connection
  {
    TcpChannel channel_;
    std::string input_;
    /** Token of the current request; nullopt while the connection is idle. */
    std::optional<std::uint64_t> token_;
    /** Bytes that the channel had written before the current request. */
    std::uint64_t writtenBefore_ = 0;
    std::optional<ExpectedEcho> echo_ = {};
    /** Hashes of the echo values of all requests on the connection. */
    std::vector<std::uint64_t> carriedEchoes_ = {};
    /** Answers to other requests that have arrived. After the first one the connection is closed
     * with the current request. */
    std::uint32_t staleAnswers_ = 0;
    /** An earlier request on the connection was answered. */
    bool hasAnswered_ = false;
    Instant deadline_;
    Instant idleSince_;
    ResponseProgress progress_ = {};
    /** Bytes of the incomplete answer at the last read; part of bufferedBytes_. */
    std::size_t bufferedBytes_ = 0;
  };

  std::uint64_t Connect();
  /** Returns the most recently used idle connection, so that surplus ones time out, of those that
   * have not carried a request with this echo. */
  std::optional<std::uint64_t> PopIdleConnection(const std::optional<ExpectedEcho>& aEcho,
                                                 Instant aNow);
  void Close(std::uint64_t aId);
  /** Closes the connection; its current request, if any, ends as kLost or kNotSent. */
  void Fail(std::uint64_t aId, std::optional<UserError> aInvalidAnswer = std::nullopt);
  void ReadResponse(std::uint64_t aId, Instant aNow);
  /** Updates the bytes buffered for the connection. Over the bound, fails the connections that hold
   * most. */
  void LimitBufferedBytes(std::uint64_t aId);
  /** Called after a clean close by the server, which ends an answer without a length. */
  void ReadFinalResponse(std::uint64_t aId);
  void AddAnswer(Connection& aConnection, HttpResponseMessage aMessage);

  HttpClientSettings settings_;
  Poller& poller_;
  std::uint64_t nextId_ = 1;
  std::unordered_map<std::uint64_t, Connection> connections_;
  /** Connections in the order in which they became idle; may include closed ones. */
  std::vector<std::uint64_t> idle_;
  std::unordered_map<std::uint64_t, std::uint64_t> byToken_;
  std::vector<HttpResult> results_;
  /** Sum of Connection::bufferedBytes_. */
  std::size_t bufferedBytes_ = 0;
};

} // namespace fulmarway
