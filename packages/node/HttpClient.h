/** \file
 * A non-blocking HTTP/1.1 client of one server with a pool of kept-alive connections.
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
  /** At least one byte was written, and no whole answer came. */
  kLost,
};

struct HttpResult
{
  /** The token of Send(). */
  std::uint64_t token_ = 0;
  ExchangeOutcome outcome_ = ExchangeOutcome::kLost;
  /** Set for kAnswered. */
  std::optional<HttpResponseMessage> response_;
};

struct HttpClientSettings
{
  Poco::Net::SocketAddress address_;
  SocketRole role_ = SocketRole::kBackendConnection;
  std::size_t maxBodyBytes_ = 4U << 20;
  /** An unused connection older than this is not used again, since the server may be closing it. */
  Duration maxIdle_ = std::chrono::seconds(3);
};

/** A header field that the answer repeats from its request. An answer with another value belongs to
 * an earlier request on the connection. */
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

  /** Sends a request. Without an answer until aDeadline it ends as kLost or kNotSent. */
  void Send(std::uint64_t aToken,
            Poco::Net::HTTPRequest& aHead,
            std::string_view aBody,
            Instant aNow,
            Instant aDeadline,
            std::optional<ExpectedEcho> aEcho = std::nullopt);

  /** Closes the connection of a request; no result follows. */
  void Cancel(std::uint64_t aToken);

  void HandleReady(const ReadySocket& aReady, Instant aNow);

  /** Closes the connections without a request, for example when another process has the address. */
  void CloseIdle();

  /** Ends requests whose deadline has passed and closes idle connections. */
  void Advance(Instant aNow);

  /** The results since the last call. */
  std::vector<HttpResult> TakeResults();

private:
  struct Connection
  {
    TcpChannel channel_;
    std::string input_;
    /** nullopt while the connection is idle. */
    std::optional<std::uint64_t> token_;
    /** Bytes that the channel had written before the current request. */
    std::uint64_t writtenBefore_ = 0;
    std::optional<ExpectedEcho> echo_ = {};
    /** An answer to an earlier request came late; the connection is closed after this request. */
    bool sentForeignAnswer_ = false;
    Instant deadline_;
    Instant idleSince_;
  };

  std::uint64_t Connect();
  /** The idle connection that was used last, so that the others can end. */
  std::optional<std::uint64_t> TakeIdle(Instant aNow);
  void Close(std::uint64_t aId);
  /** Ends the current request without an answer and closes the connection. */
  void Fail(std::uint64_t aId);
  void TakeResponse(std::uint64_t aId, Instant aNow);
  /** The server closed the connection in order: what is left may be an answer without a length. */
  void TakeLastResponse(std::uint64_t aId);
  void AddAnswer(Connection& aConnection, HttpResponseMessage aMessage);

  HttpClientSettings settings_;
  Poller& poller_;
  std::uint64_t nextId_ = 1;
  std::unordered_map<std::uint64_t, Connection> connections_;
  /** Connections in the order in which they became idle; may hold some that are gone. */
  std::vector<std::uint64_t> idle_;
  std::unordered_map<std::uint64_t, std::uint64_t> byToken_;
  std::vector<HttpResult> results_;
};

} // namespace fulmarway
