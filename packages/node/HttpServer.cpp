#include "node/HttpServer.h"

#include <Poco/Exception.h>

namespace fulmarway {

namespace {

constexpr int kBacklog = 1024;
constexpr int kMaxAcceptsInTurn = 256;
constexpr Duration kIdleTimeout = std::chrono::seconds(120);

void
RefuseConnection(Poco::Net::StreamSocket& aSocket)
{
  static const std::string kRefusal = "HTTP/1.1 503 Service Unavailable\r\n"
                                      "Fulmarway-Verdict: not-run\r\n"
                                      "Fulmarway-Reason: shed-by-queue\r\n"
                                      "Retry-After: 1\r\n"
                                      "Content-Length: 0\r\n"
                                      "Connection: close\r\n\r\n";
  try {
    aSocket.setBlocking(false);
    aSocket.sendBytes(kRefusal.data(), static_cast<int>(kRefusal.size()));
    aSocket.shutdownSend();
  } catch (const Poco::Exception&) {
    // The client is gone already.
  }
}

} // namespace

HttpServer::HttpServer(const HttpServerSettings& aSettings, Poller& aPoller)
  : settings_(aSettings)
  , poller_(aPoller)
{
  // Without SO_REUSEPORT: a second process on the same address must fail.
  listener_.bind(settings_.address_, true, false);
  listener_.listen(kBacklog);
  listener_.setBlocking(false);
  poller_.Add({ settings_.listenerRole_, 0 }, listener_);
}

void
HttpServer::Accept(Instant aNow)
{
  for (int turn = 0; accepting_ && turn < kMaxAcceptsInTurn; ++turn) {
    try {
      Poco::Net::SocketAddress peer;
      Poco::Net::StreamSocket socket = listener_.acceptConnection(peer);
      if (connections_.size() >= settings_.maxConnections_) {
        RefuseConnection(socket);
        continue;
      }
      const std::uint64_t id = nextId_++;
      Connection connection{
        TcpChannel(socket), peer.host().toString(), {}, {}, true, false, aNow
      };
      poller_.Add({ settings_.connectionRole_, id }, socket);
      connections_.emplace(id, std::move(connection));
    } catch (const Poco::Exception&) {
      return; // No more connections wait.
    }
  }
}

HttpServerEvents
HttpServer::HandleReady(const ReadySocket& aReady, Instant aNow)
{
  HttpServerEvents events;
  const std::uint64_t id = aReady.key_.id_;
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return events;
  }
  Connection& connection = found->second;
  connection.lastUsedAt_ = aNow;
  if (aReady.readable_) {
    if (connection.channel_.Read(connection.input_) == ChannelStatus::kClosed) {
      Drop(id, events);
      return events;
    }
    if (connection.exchange_ && connection.input_.size() > kMaxHeaderBytes) {
      // The client sends on without waiting for its reply.
      Drop(id, events);
      return events;
    }
    ReadRequest(id, connection, events);
  }
  Flush(id, events);
  return events;
}

void
HttpServer::ReadRequest(std::uint64_t aId, Connection& aConnection, HttpServerEvents& aEvents)
{
  if (aConnection.exchange_ || aConnection.closing_) {
    return;
  }
  auto taken = TakeHttpRequest(aConnection.input_, settings_.maxBodyBytes_);
  if (!taken) {
    ++aEvents.invalid_;
    Poco::Net::HTTPResponse head(Poco::Net::HTTPMessage::HTTP_1_1,
                                 Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
    const std::string body = FormatInvalidRequest(taken.error(), head);
    head.setKeepAlive(false);
    aConnection.closing_ = true;
    Write(aId, aConnection, FormatHttp(head, body));
    return;
  }
  if (!*taken) {
    return;
  }
  const ExchangeId exchange{ nextId_++ };
  aConnection.exchange_ = exchange;
  aConnection.keepAlive_ = (*taken)->head_.getKeepAlive() && accepting_;
  exchanges_.emplace(exchange, aId);
  aEvents.requests_.push_back({ exchange, aConnection.peer_, std::move(**taken) });
}

HttpServerEvents
HttpServer::Reply(ExchangeId aExchange,
                  Poco::Net::HTTPResponse& aHead,
                  std::string_view aBody,
                  Instant aNow)
{
  HttpServerEvents events;
  const auto exchange = exchanges_.find(aExchange);
  if (exchange == exchanges_.end()) {
    return events;
  }
  const std::uint64_t id = exchange->second;
  exchanges_.erase(exchange);
  Connection& connection = connections_.at(id);
  connection.exchange_.reset();
  connection.lastUsedAt_ = aNow;
  connection.closing_ = !connection.keepAlive_ || !accepting_;
  aHead.setKeepAlive(!connection.closing_);
  Write(id, connection, FormatHttp(aHead, aBody));
  ReadRequest(id, connection, events);
  Flush(id, events);
  return events;
}

void
HttpServer::Write(std::uint64_t aId, Connection& aConnection, std::string aBytes)
{
  aConnection.channel_.Queue(std::move(aBytes));
  poller_.SetWantsWrite({ settings_.connectionRole_, aId }, true);
}

void
HttpServer::Flush(std::uint64_t aId, HttpServerEvents& aEvents)
{
  const auto found = connections_.find(aId);
  if (found == connections_.end()) {
    return;
  }
  TcpChannel& channel = found->second.channel_;
  const bool isOpen = channel.Flush() == ChannelStatus::kOpen;
  if (!isOpen || (found->second.closing_ && channel.PendingBytes() == 0)) {
    Drop(aId, aEvents);
    return;
  }
  poller_.SetWantsWrite({ settings_.connectionRole_, aId }, channel.WantsWrite());
}

void
HttpServer::Drop(std::uint64_t aId, HttpServerEvents& aEvents)
{
  const auto found = connections_.find(aId);
  if (const auto& exchange = found->second.exchange_) {
    aEvents.disconnected_.push_back(*exchange);
    exchanges_.erase(*exchange);
  }
  poller_.Remove({ settings_.connectionRole_, aId });
  found->second.channel_.Close();
  connections_.erase(found);
}

void
HttpServer::StopAccepting()
{
  if (accepting_) {
    accepting_ = false;
    poller_.Remove({ settings_.listenerRole_, 0 });
    listener_.close();
  }
}

void
HttpServer::CloseIdle(Instant aNow)
{
  std::vector<std::uint64_t> idle;
  for (const auto& [id, connection] : connections_) {
    const bool isUnused = !connection.exchange_ && connection.channel_.PendingBytes() == 0;
    if (isUnused && (!accepting_ || aNow >= connection.lastUsedAt_ + kIdleTimeout)) {
      idle.push_back(id);
    }
  }
  HttpServerEvents ignored;
  for (const std::uint64_t id : idle) {
    Drop(id, ignored);
  }
}

bool
HttpServer::HasPendingOutput() const
{
  for (const auto& [id, connection] : connections_) {
    if (connection.channel_.PendingBytes() > 0) {
      return true;
    }
  }
  return false;
}

} // namespace fulmarway
