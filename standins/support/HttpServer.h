/** \file
 * An HTTP/1.1 server on the event loop. A connection serves one exchange (request and response) at
 * a time.
 */
#pragma once

#include "support/Connection.h"
#include "support/HttpMessage.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace fulmarway::standins {

class HttpServer
{
public:
  using ExchangeId = std::uint64_t;
  struct Handlers
  {
    std::function<void(ExchangeId, HttpMessage)> onRequest_;
    /** The client closed the connection before the response. */
    std::function<void(ExchangeId)> onAbandoned_;
  };

  HttpServer(EventLoop& aLoop, const Poco::Net::SocketAddress& aAddress, Handlers aHandlers);
  ~HttpServer();

  /** Does nothing when the client has closed the connection. */
  void Respond(ExchangeId aExchange, const HttpMessage& aResponse);
  /** Sends an interim response (1xx), after which the exchange goes on. */
  void SendInterim(ExchangeId aExchange, int aStatus);
  /** Closes the connection of an exchange without a response. */
  void Drop(ExchangeId aExchange);

private:
  struct Client
  {
    std::unique_ptr<Connection> connection_;
    /** 0 while no request is in flight. */
    ExchangeId exchange_ = 0;
  };

  void Accept();
  void HandleInput(std::uint64_t aClient, bool aClosed);
  /** Starts the next exchange when a complete request has arrived and none is in flight. */
  void StartExchange(std::uint64_t aClient);
  void Remove(std::uint64_t aClient);

  EventLoop& loop_;
  Poco::Net::ServerSocket socket_;
  Handlers handlers_;
  std::uint64_t nextId_ = 1;
  std::unordered_map<std::uint64_t, Client> clients_;
  std::unordered_map<ExchangeId, std::uint64_t> clientOfExchange_;
};

} // namespace fulmarway::standins
