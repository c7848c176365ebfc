#include "node/HttpServer.h"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <algorithm>
#include <spdlog/spdlog.h>

namespace fulmarway {

namespace {

constexpr int kListenBacklog = 1024;
constexpr int kMaxAcceptsPerPoll = 256;
/** Limits how long a slow sender can occupy a connection with one request. A body of 4 MiB, the
 * default of maxBodyBytes_, needs 1.1 Mbit/s. */
constexpr Duration kRequestTimeout = std::chrono::seconds(30);

/** Requests and replies below this size are given up for their memory only if no longer ones are
 * left. */
constexpr std::size_t kLongMessageBytes = 64U << 10;
/** Memory of a parsed header field beside its characters: two strings in a list. A field can have
 * four characters. */
constexpr std::size_t kParsedFieldBytes = 2 * sizeof(std::string) + 2 * sizeof(void*);
/** Time without a byte after which an incomplete request gives way to a new connection. A client
 * that sends at all is far from it. */
constexpr Duration kSilenceBeforeEviction = std::chrono::seconds(2);

/** The node has no capacity now, and the request was not run. */
constexpr std::string_view kRefusal = "HTTP/1.1 503 Service Unavailable\r\n"
                                      "Fulmarway-Verdict: not-run\r\n"
                                      "Fulmarway-Reason: shed-by-queue\r\n"
                                      "Retry-After: 1\r\n"
                                      "Content-Length: 0\r\n"
                                      "Connection: close\r\n\r\n";

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

/** Whether the client waits for kContinue before it sends its body. Others, also HTTP/1.0 clients
 * with this field, do not know what it is. */
bool
ExpectsContinue(const Poco::Net::HTTPRequest& aHead)
{
  return aHead.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1 &&
         Poco::icompare(aHead.get("Expect", ""), "100-continue") == 0;
}

/** Refuses a connection above the limit. To the caller this is the same as a full queue. */
void
RefuseConnection(Poco::Net::StreamSocket& aSocket)
{
  try {
    aSocket.setBlocking(false);
    aSocket.sendBytes(kRefusal.data(), static_cast<int>(kRefusal.size()));
    aSocket.shutdownSend();
  } catch (const Poco::Exception&) {
    // The client has already disconnected.
  }
}

} // namespace

HttpServer::HttpServer(const HttpServerSettings& aSettings, Poller& aPoller)
  : settings_(aSettings)
  , poller_(aPoller)
{
  // Without SO_REUSEPORT: a second process on the same address must fail to bind.
  listener_.bind(settings_.address_, true, false);
  listener_.listen(kListenBacklog);
  listener_.setBlocking(false);
  poller_.Add({ settings_.listenerRole_, 0 }, listener_);
  SetLimits({});
}

void
HttpServer::SetLimits(const CallerLimits& aLimits)
{
  limits_ = aLimits;
  limits_.maxHeaderBytes_ = std::min<std::uint64_t>(limits_.maxHeaderBytes_, kMaxHeaderLimitBytes);
  limits_.maxBodyBytes_ = std::min<std::uint64_t>(limits_.maxBodyBytes_, settings_.maxBodyBytes_);
}

void
HttpServer::Accept(Instant aNow)
{
  for (int turn = 0; accepting_ && turn < kMaxAcceptsPerPoll; ++turn) {
    try {
      Poco::Net::SocketAddress peer;
      Poco::Net::StreamSocket socket = listener_.acceptConnection(peer);
      if (connections_.size() >= settings_.maxConnections_ && !EvictSilent(aNow)) {
        RefuseConnection(socket);
        continue;
      }
      const std::uint64_t id = nextId_++;
      Connection connection{
        TcpChannel(socket),         peer.host().toString(),   /* input_ */ {},
        /* exchange_ */ {},         /* keepAlive_ */ true,    /* closing_ */ false,
        /* isHeadRequest_ */ false, /* isContinued_ */ false, /* hasInputAhead_ */ false,
        /* lastUsedAt_ */ aNow
      };
      poller_.Add({ settings_.connectionRole_, id }, socket);
      connections_.emplace(id, std::move(connection));
      Recount(id);
    } catch (const Poco::Exception&) {
      // No more pending connections, or accepting one failed, for example for lack of file
      // descriptors. The poller reports the listener again while connections are pending.
      return;
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
      CloseConnection(id, events);
      return events;
    }
    const bool isBusy =
      connection.exchange_ || connection.hasInputAhead_ || connection.channel_.PendingBytes() > 0;
    if (isBusy && connection.input_.size() > limits_.maxHeaderBytes_) {
      // The client keeps sending without waiting for its reply. This input is only buffered until
      // the reply is written, so it is limited to the size of one head.
      CloseConnection(id, events);
      return events;
    }
  }
  if (Flush(id, events)) {
    ReadRequest(id, aNow, events);
    Flush(id, events);
  }
  Recount(id);
  return events;
}

void
HttpServer::ReadRequest(std::uint64_t aId, Instant aNow, HttpServerEvents& aEvents)
{
  Connection& connection = connections_.at(aId);
  // A client that does not read its replies must not make the node buffer more of them.
  if (connection.exchange_ || connection.closing_ || connection.channel_.PendingBytes() > 0) {
    return;
  }
  auto parsed = ContinueHttpRequest(
    connection.input_, limits_.maxHeaderBytes_, limits_.maxBodyBytes_, connection.progress_);
  if (!parsed) {
    ++aEvents.invalid_;
    Refuse(aId, connection, parsed.error());
    return;
  }
  if (!*parsed) { // The request is not complete yet.
    if (!connection.input_.empty() && !connection.requestStartedAt_) {
      connection.requestStartedAt_ = aNow;
    }
    AnnounceBody(aId, connection, aEvents);
    return;
  }
  connection.requestStartedAt_.reset();
  connection.isContinued_ = false;
  if (connection.input_.empty()) {
    // An idle connection must not keep the memory of its largest request.
    connection.input_.shrink_to_fit();
  }
  const ExchangeId exchange = OpenExchange(aId, connection, (*parsed)->head_);
  aEvents.requests_.push_back({ exchange, connection.peer_, std::move(**parsed) });
}

ExchangeId
HttpServer::OpenExchange(std::uint64_t aId,
                         Connection& aConnection,
                         const Poco::Net::HTTPRequest& aHead)
{
  const ExchangeId exchange{ nextId_++ };
  aConnection.exchange_ = exchange;
  aConnection.keepAlive_ = aHead.getKeepAlive();
  aConnection.isHeadRequest_ = aHead.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
  exchanges_.emplace(exchange, aId);
  return exchange;
}

std::optional<std::uint64_t>
HttpServer::CloseExchange(ExchangeId aExchange)
{
  const auto exchange = exchanges_.find(aExchange);
  if (exchange == exchanges_.end()) {
    return std::nullopt;
  }
  const std::uint64_t id = exchange->second;
  exchanges_.erase(exchange);
  connections_.at(id).exchange_.reset();
  return id;
}

void
HttpServer::AnnounceBody(std::uint64_t aId, Connection& aConnection, HttpServerEvents& aEvents)
{
  // The declared length was checked with the head.
  const auto& head = aConnection.progress_.head_;
  if (aConnection.isContinued_ || !head || !ExpectsContinue(*head)) {
    return;
  }
  if (!settings_.asksBeforeBody_) {
    Continue(aId, aConnection);
    return;
  }
  aEvents.announced_.push_back({ OpenExchange(aId, aConnection, *head), aConnection.peer_, *head });
}

void
HttpServer::Continue(std::uint64_t aId, Connection& aConnection)
{
  aConnection.isContinued_ = true;
  Write(aId, aConnection, std::string(kContinue));
}

HttpServerEvents
HttpServer::PermitBody(ExchangeId aExchange, Instant aNow)
{
  HttpServerEvents events;
  const auto id = CloseExchange(aExchange);
  if (!id) {
    return events;
  }
  Continue(*id, connections_.at(*id));
  if (Flush(*id, events)) {
    // A client that does not wait may have sent the rest, for which no event comes.
    ReadRequest(*id, aNow, events);
    Flush(*id, events);
  }
  Recount(*id);
  return events;
}

void
HttpServer::Refuse(std::uint64_t aId, Connection& aConnection, const InvalidRequest& aInvalid)
{
  HttpResponseHead head(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
  // Replaces the status 400 by that of aInvalid and sets the headers.
  const std::string body = FormatInvalidRequest(aInvalid, head);
  head.setKeepAlive(false);
  CloseAfter(aId, aConnection, FormatHttp(head, body));
}

void
HttpServer::CloseAfter(std::uint64_t aId, Connection& aConnection, std::string aReply)
{
  aConnection.closing_ = true;
  // What has arrived is not parsed any more.
  aConnection.input_ = {};
  aConnection.progress_ = {};
  Write(aId, aConnection, std::move(aReply));
}

HttpServerEvents
HttpServer::Reply(ExchangeId aExchange,
                  HttpResponseHead& aHead,
                  std::string_view aBody,
                  Instant aNow)
{
  HttpServerEvents events;
  const auto exchange = CloseExchange(aExchange);
  if (!exchange) {
    return events;
  }
  const std::uint64_t id = *exchange;
  Connection& connection = connections_.at(id);
  connection.lastUsedAt_ = aNow;
  // Only the head of a request with an announced body has been read.
  const bool isIncomplete = connection.progress_.head_.has_value();
  connection.closing_ = !connection.keepAlive_ || !accepting_ || closesAfterReply_ || isIncomplete;
  aHead.setKeepAlive(!connection.closing_);
  std::string bytes =
    connection.isHeadRequest_ && aBody.empty() ? FormatHttpHead(aHead) : FormatHttp(aHead, aBody);
  if (connection.isHeadRequest_) {
    // The client would parse the body as the start of the next reply.
    bytes.resize(bytes.size() - aBody.size());
  }
  if (isIncomplete) {
    CloseAfter(id, connection, std::move(bytes));
  } else {
    Write(id, connection, std::move(bytes));
  }
  if (Flush(id, events) && !connection.input_.empty()) {
    connection.hasInputAhead_ = true;
    repliedWithInput_.push_back(id);
  }
  Recount(id);
  return events;
}

HttpServerEvents
HttpServer::ReadRequestSentAhead(Instant aNow)
{
  HttpServerEvents events;
  if (repliedWithInput_.empty()) {
    return events;
  }
  const std::uint64_t id = repliedWithInput_.front();
  repliedWithInput_.pop_front();
  const auto found = connections_.find(id);
  if (found != connections_.end()) {
    found->second.hasInputAhead_ = false;
    ReadRequest(id, aNow, events);
    Flush(id, events);
    Recount(id);
  }
  return events;
}

void
HttpServer::Recount(std::uint64_t aId)
{
  const auto found = connections_.find(aId);
  if (found == connections_.end()) {
    return;
  }
  Connection& connection = found->second;
  heldBytes_ -= connection.heldBytes_;
  const auto& head = connection.progress_.head_;
  connection.heldBytes_ = sizeof(Connection) + connection.input_.capacity() +
                          connection.progress_.body_.capacity() + connection.channel_.HeldBytes() +
                          (head ? head->size() * kParsedFieldBytes : 0);
  heldBytes_ += connection.heldBytes_;
}

bool
HttpServer::EvictSilent(Instant aNow)
{
  auto silent = connections_.end();
  for (auto next = connections_.begin(); next != connections_.end(); ++next) {
    const Connection& connection = next->second;
    const bool isSilent =
      connection.requestStartedAt_ && aNow >= connection.lastUsedAt_ + kSilenceBeforeEviction;
    if (isSilent &&
        (silent == connections_.end() || connection.lastUsedAt_ < silent->second.lastUsedAt_)) {
      silent = next;
    }
  }
  if (silent == connections_.end()) {
    return false;
  }
  RefuseIncomplete(silent->first);
  return true;
}

void
HttpServer::RefuseIncomplete(std::uint64_t aId)
{
  HttpServerEvents ignored; // An incomplete request has no exchange.
  CloseAfter(aId, connections_.at(aId), std::string(kRefusal));
  if (Flush(aId, ignored)) {
    // The reply does not fit into the buffer of the socket. Waiting for the client would keep its
    // slot.
    CloseConnection(aId, ignored);
  }
}

bool
HttpServer::ReleaseMemory(Instant aNow, ReleaseScope aScope)
{
  return ReleaseMessage(aNow, kLongMessageBytes) ||
         (aScope == ReleaseScope::kAllMessages && ReleaseMessage(aNow, 1));
}

bool
HttpServer::ReleaseMessage(Instant aNow, std::size_t aMinBytes)
{
  auto incomplete = connections_.end();
  auto unread = connections_.end();
  for (auto next = connections_.begin(); next != connections_.end(); ++next) {
    const Connection& connection = next->second;
    const std::size_t pending = connection.channel_.PendingBytes();
    if (connection.requestStartedAt_ && connection.heldBytes_ >= aMinBytes &&
        (incomplete == connections_.end() ||
         *connection.requestStartedAt_ < *incomplete->second.requestStartedAt_)) {
      incomplete = next;
    }
    if (pending >= aMinBytes &&
        (unread == connections_.end() || pending > unread->second.channel_.PendingBytes())) {
      unread = next;
    }
  }
  if (incomplete != connections_.end()) {
    spdlog::warn("event=incomplete_request_refused held_bytes={} age_us={}",
                 incomplete->second.heldBytes_,
                 (aNow - *incomplete->second.requestStartedAt_).count());
    RefuseIncomplete(incomplete->first);
    return true;
  }
  if (unread == connections_.end()) {
    return false;
  }
  spdlog::warn("event=unread_reply_dropped held_bytes={}", unread->second.heldBytes_);
  HttpServerEvents ignored; // Its exchange ended with the reply.
  CloseConnection(unread->first, ignored);
  return true;
}

void
HttpServer::Write(std::uint64_t aId, Connection& aConnection, std::string aBytes)
{
  aConnection.channel_.Queue(std::move(aBytes));
  poller_.SetWantsWrite({ settings_.connectionRole_, aId }, true);
}

bool
HttpServer::Flush(std::uint64_t aId, HttpServerEvents& aEvents)
{
  const auto found = connections_.find(aId);
  TcpChannel& channel = found->second.channel_;
  const bool isOpen = channel.Flush() == ChannelStatus::kOpen;
  if (!isOpen || (found->second.closing_ && channel.PendingBytes() == 0)) {
    CloseConnection(aId, aEvents);
    return false;
  }
  poller_.SetWantsWrite({ settings_.connectionRole_, aId }, channel.WantsWrite());
  return true;
}

void
HttpServer::CloseConnection(std::uint64_t aId, HttpServerEvents& aEvents)
{
  const auto found = connections_.find(aId);
  if (const auto& exchange = found->second.exchange_) {
    aEvents.disconnected_.push_back(*exchange);
    exchanges_.erase(*exchange);
  }
  heldBytes_ -= found->second.heldBytes_;
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

bool
HttpServer::IsHeadOverdue(const Connection& aConnection, Instant aNow) const
{
  return aConnection.requestStartedAt_ && !aConnection.closing_ &&
         aNow >= *aConnection.requestStartedAt_ + limits_.headerTimeout_ &&
         !aConnection.progress_.head_;
}

void
HttpServer::CloseIdle(Instant aNow)
{
  std::vector<std::uint64_t> idle;
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, connection] : connections_) {
    if (connection.exchange_) {
      continue;
    }
    if (IsHeadOverdue(connection, aNow)) {
      overdue.push_back(id);
      continue;
    }
    // Includes a connection with a partly received request, of which nothing was executed.
    const bool hasNoReplyAtStop = !accepting_ && connection.channel_.PendingBytes() == 0;
    const bool isTooSlow =
      connection.requestStartedAt_ && aNow >= *connection.requestStartedAt_ + kRequestTimeout;
    if (hasNoReplyAtStop || isTooSlow || aNow >= connection.lastUsedAt_ + limits_.idleTimeout_) {
      idle.push_back(id);
    }
  }
  HttpServerEvents ignored; // None of these connections has an open exchange.
  for (const std::uint64_t id : overdue) {
    Refuse(id, connections_.at(id), { 408, { "head", "took longer than the limit" } });
    Flush(id, ignored);
    Recount(id);
  }
  for (const std::uint64_t id : idle) {
    CloseConnection(id, ignored);
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
