#include "support/HttpServer.h"

#include <Poco/Net/NetException.h>
#include <sys/epoll.h>

namespace fulmarway::standins {

namespace {

constexpr int kListenBacklog = 1024;

} // namespace

HttpServer::HttpServer(EventLoop& aLoop,
                       const Poco::Net::SocketAddress& aAddress,
                       Handlers aHandlers)
  : loop_(aLoop)
  , handlers_(std::move(aHandlers))
{
  socket_.bind(aAddress, true);
  socket_.listen(kListenBacklog);
  socket_.setBlocking(false);
  loop_.Watch(socket_.impl()->sockfd(), EPOLLIN, [this](std::uint32_t) { Accept(); });
}

HttpServer::~HttpServer()
{
  loop_.Unwatch(socket_.impl()->sockfd());
}

void
HttpServer::Accept()
{
  try {
    Poco::Net::StreamSocket socket = socket_.acceptConnection();
    socket.setBlocking(false);
    const std::uint64_t id = nextId_++;
    clients_[id].connection_ = std::make_unique<Connection>(
      loop_, socket, [this, id](bool aClosed) { HandleInput(id, aClosed); });
  } catch (const Poco::Exception&) {
    // The client closed the connection before it was accepted.
  }
}

void
HttpServer::HandleInput(std::uint64_t aClient, bool aClosed)
{
  if (!aClosed) {
    StartExchange(aClient);
    return;
  }
  const ExchangeId exchange = clients_.at(aClient).exchange_;
  Remove(aClient);
  if (exchange != 0) {
    handlers_.onAbandoned_(exchange);
  }
}

void
HttpServer::StartExchange(std::uint64_t aClient)
{
  Client& client = clients_.at(aClient);
  if (client.exchange_ != 0) {
    return;
  }
  auto extracted = ExtractRequest(client.connection_->Input());
  if (!extracted) {
    Remove(aClient);
    return;
  }
  if (*extracted) {
    const ExchangeId exchange = nextId_++;
    client.exchange_ = exchange;
    clientOfExchange_[exchange] = aClient;
    handlers_.onRequest_(exchange, std::move(**extracted));
  }
}

void
HttpServer::Respond(ExchangeId aExchange, const HttpMessage& aResponse)
{
  const auto found = clientOfExchange_.find(aExchange);
  if (found == clientOfExchange_.end()) {
    return;
  }
  const std::uint64_t id = found->second;
  clientOfExchange_.erase(found);
  Client& client = clients_.at(id);
  client.exchange_ = 0;
  client.connection_->Write(FormatResponse(aResponse));
  if (!client.connection_->Input().empty()) {
    StartExchange(id);
  }
}

void
HttpServer::SendInterim(ExchangeId aExchange, int aStatus)
{
  const auto found = clientOfExchange_.find(aExchange);
  if (found != clientOfExchange_.end()) {
    clients_.at(found->second)
      .connection_->Write("HTTP/1.1 " + std::to_string(aStatus) + " Interim\r\n\r\n");
  }
}

void
HttpServer::Drop(ExchangeId aExchange)
{
  const auto found = clientOfExchange_.find(aExchange);
  if (found != clientOfExchange_.end()) {
    Remove(found->second);
  }
}

void
HttpServer::Remove(std::uint64_t aClient)
{
  const auto found = clients_.find(aClient);
  clientOfExchange_.erase(found->second.exchange_);
  clients_.erase(found);
}

} // namespace fulmarway::standins
