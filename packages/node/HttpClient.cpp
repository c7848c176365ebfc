#include "node/HttpClient.h"

#include "model/Ids.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <spdlog/spdlog.h>

namespace fulmarway {

namespace {

/** Late answers to earlier requests that are skipped while a request waits for its own. A faulty
 * server may write them without end. */
constexpr std::uint32_t kMaxStaleAnswers = 16;

/** Whether the answer belongs to another request. */
bool
IsStaleAnswer(const std::optional<ExpectedEcho>& aEcho, const HttpResponseHead& aHead)
{
  return aEcho && aHead.has(aEcho->name_) && aHead.get(aEcho->name_) != aEcho->value_;
}

/** Whether the answer may be a second copy of an earlier one on the connection. */
bool
MayBeRepeated(const std::optional<ExpectedEcho>& aEcho,
              const HttpResponseHead& aHead,
              bool aHasAnsweredBefore)
{
  return aEcho && aHasAnsweredBefore && !aHead.has(aEcho->name_);
}

/** With equal hashes of different values, another connection is used, which does no harm. */
bool
HasCarried(const std::vector<std::uint64_t>& aCarried, const std::optional<ExpectedEcho>& aEcho)
{
  return aEcho &&
         std::find(aCarried.begin(), aCarried.end(), StableHash(aEcho->value_)) != aCarried.end();
}

} // namespace

HttpClient::HttpClient(const HttpClientSettings& aSettings, Poller& aPoller)
  : settings_(aSettings)
  , poller_(aPoller)
{
}

std::uint64_t
HttpClient::Connect()
{
  const std::uint64_t id = nextId_++;
  Connection connection{ TcpChannel(settings_.address_), {}, {}, 0, {}, {}, 0, false, {}, {} };
  poller_.Add({ settings_.role_, id }, connection.channel_.Socket());
  connections_.emplace(id, std::move(connection));
  return id;
}

std::optional<std::uint64_t>
HttpClient::PopIdleConnection(const std::optional<ExpectedEcho>& aEcho, Instant aNow)
{
  for (std::size_t next = idle_.size(); next > 0; --next) {
    const auto entry = idle_.begin() + static_cast<std::ptrdiff_t>(next - 1);
    const std::uint64_t id = *entry;
    const auto found = connections_.find(id);
    const bool isUsable = found != connections_.end() && !found->second.token_ &&
                          aNow < found->second.idleSince_ + settings_.maxIdle_;
    if (isUsable && HasCarried(found->second.carriedEchoes_, aEcho)) {
      continue;
    }
    idle_.erase(entry);
    if (isUsable) {
      return id;
    }
  }
  return std::nullopt;
}

void
HttpClient::Send(std::uint64_t aToken,
                 Poco::Net::HTTPRequest& aHead,
                 std::string_view aBody,
                 Instant aNow,
                 Instant aDeadline,
                 std::optional<ExpectedEcho> aEcho)
{
  if (!aHead.has(Poco::Net::HTTPRequest::HOST)) {
    aHead.setHost(settings_.address_.host().toString(), settings_.address_.port());
  }
  aHead.setKeepAlive(true);
  std::uint64_t id = 0;
  try {
    const auto idle = PopIdleConnection(aEcho, aNow);
    id = idle ? *idle : Connect();
  } catch (const Poco::Exception&) {
    results_.push_back({ aToken, ExchangeOutcome::kNotSent, {}, {} });
    return;
  }
  Connection& connection = connections_.at(id);
  connection.token_ = aToken;
  connection.writtenBefore_ = connection.channel_.BytesWritten();
  connection.deadline_ = aDeadline;
  connection.progress_.answersHead_ = aHead.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
  if (aEcho) {
    connection.carriedEchoes_.push_back(StableHash(aEcho->value_));
  }
  connection.echo_ = std::move(aEcho);
  byToken_.insert_or_assign(aToken, id);
  connection.channel_.Queue(FormatHttp(aHead, aBody));
  if (connection.channel_.Flush() == ChannelStatus::kClosed) {
    Fail(id);
    return;
  }
  poller_.SetWantsWrite({ settings_.role_, id }, connection.channel_.WantsWrite());
}

void
HttpClient::Cancel(std::uint64_t aToken)
{
  const auto found = byToken_.find(aToken);
  if (found != byToken_.end()) {
    Close(found->second);
  }
}

void
HttpClient::Close(std::uint64_t aId)
{
  Connection& connection = connections_.at(aId);
  if (connection.token_) {
    byToken_.erase(*connection.token_);
  }
  bufferedBytes_ -= connection.bufferedBytes_;
  poller_.Remove({ settings_.role_, aId });
  connection.channel_.Close();
  connections_.erase(aId);
}

void
HttpClient::Fail(std::uint64_t aId, std::optional<UserError> aInvalidAnswer)
{
  const Connection& connection = connections_.at(aId);
  if (connection.token_) {
    const bool isWritten = connection.channel_.BytesWritten() > connection.writtenBefore_;
    results_.push_back({ *connection.token_,
                         isWritten ? ExchangeOutcome::kLost : ExchangeOutcome::kNotSent,
                         std::nullopt,
                         std::move(aInvalidAnswer) });
  }
  Close(aId);
}

void
HttpClient::HandleReady(const ReadySocket& aReady, Instant aNow)
{
  const std::uint64_t id = aReady.key_.id_;
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  Connection& connection = found->second;
  if (aReady.writable_ && connection.channel_.Flush() == ChannelStatus::kClosed) {
    Fail(id);
    return;
  }
  if (aReady.readable_) {
    const ChannelStatus status = connection.channel_.Read(connection.input_);
    if (connection.token_) {
      ReadResponse(id, aNow);
    }
    if (status == ChannelStatus::kClosed && connections_.contains(id) && connection.token_ &&
        connection.channel_.WasClosedCleanly()) {
      ReadFinalResponse(id);
    }
    // On an idle connection the server may only close; any data violates the protocol.
    if (connections_.contains(id) && (status == ChannelStatus::kClosed || !connection.token_)) {
      if (status == ChannelStatus::kClosed || !connection.input_.empty()) {
        Fail(id);
        return;
      }
    }
  }
  if (connections_.contains(id)) {
    poller_.SetWantsWrite({ settings_.role_, id }, connection.channel_.WantsWrite());
    LimitBufferedBytes(id);
  }
}

void
HttpClient::LimitBufferedBytes(std::uint64_t aId)
{
  Connection& connection = connections_.at(aId);
  bufferedBytes_ -= connection.bufferedBytes_;
  connection.bufferedBytes_ = connection.input_.size() + connection.progress_.body_.size();
  bufferedBytes_ += connection.bufferedBytes_;
  while (bufferedBytes_ > settings_.maxBufferedBytes_) {
    const auto largest = std::max_element(
      connections_.begin(), connections_.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.bufferedBytes_ < aRight.second.bufferedBytes_;
      });
    spdlog::warn("event=answer_dropped buffered_bytes={} of={} limit={}",
                 largest->second.bufferedBytes_,
                 bufferedBytes_,
                 settings_.maxBufferedBytes_);
    Fail(largest->first);
  }
}

std::size_t
HttpClient::HeldBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [id, connection] : connections_) {
    bytes += connection.input_.capacity() + connection.progress_.body_.capacity() +
             connection.channel_.HeldBytes();
  }
  return bytes;
}

void
HttpClient::ReadResponse(std::uint64_t aId, Instant aNow)
{
  Connection& connection = connections_.at(aId);
  ResponseProgress& progress = connection.progress_;
  auto parsed = ContinueHttpResponse(connection.input_, settings_.maxBodyBytes_, progress);
  while (parsed && *parsed && IsStaleAnswer(connection.echo_, (*parsed)->head_)) {
    if (++connection.staleAnswers_ > kMaxStaleAnswers) {
      spdlog::warn("event=answers_to_other_requests count={}", connection.staleAnswers_);
      Fail(aId);
      return;
    }
    parsed = ContinueHttpResponse(connection.input_, settings_.maxBodyBytes_, progress);
  }
  if (!parsed) {
    Fail(aId, std::move(parsed.error()));
    return;
  }
  if (!*parsed) {
    return;
  }
  if (MayBeRepeated(connection.echo_, (*parsed)->head_, connection.hasAnswered_)) {
    spdlog::warn("event=answer_unattributed status={}", (*parsed)->head_.Status());
    Fail(aId);
    return;
  }
  const bool keepsAlive = (*parsed)->head_.getKeepAlive() && connection.input_.empty() &&
                          connection.channel_.PendingBytes() == 0 &&
                          connection.staleAnswers_ == 0 &&
                          connection.carriedEchoes_.size() < kMaxRequestsPerConnection;
  AddAnswer(connection, std::move(**parsed));
  connection.idleSince_ = aNow;
  if (keepsAlive) {
    idle_.push_back(aId);
  } else {
    Close(aId);
  }
}

void
HttpClient::ReadFinalResponse(std::uint64_t aId)
{
  Connection& connection = connections_.at(aId);
  if (connection.input_.empty()) {
    Fail(aId); // Closed without an answer.
    return;
  }
  auto parsed = ParseCloseDelimitedResponse(connection.input_, settings_.maxBodyBytes_);
  if (!parsed) {
    Fail(aId, std::move(parsed.error()));
    return;
  }
  if (IsStaleAnswer(connection.echo_, parsed->head_) ||
      MayBeRepeated(connection.echo_, parsed->head_, connection.hasAnswered_)) {
    Fail(aId);
    return;
  }
  AddAnswer(connection, std::move(*parsed));
  Close(aId);
}

void
HttpClient::AddAnswer(Connection& aConnection, HttpResponseMessage aMessage)
{
  results_.push_back({ *aConnection.token_, ExchangeOutcome::kAnswered, std::move(aMessage), {} });
  byToken_.erase(*aConnection.token_);
  aConnection.token_.reset();
  aConnection.hasAnswered_ = true;
}

void
HttpClient::CloseIdle()
{
  std::vector<std::uint64_t> idle;
  for (const auto& [id, connection] : connections_) {
    if (!connection.token_) {
      idle.push_back(id);
    }
  }
  for (const std::uint64_t id : idle) {
    Close(id);
  }
}

void
HttpClient::Advance(Instant aNow)
{
  std::vector<std::uint64_t> expired;
  std::vector<std::uint64_t> idle;
  for (const auto& [id, connection] : connections_) {
    if (connection.token_ && aNow >= connection.deadline_) {
      expired.push_back(id);
    } else if (!connection.token_ && aNow >= connection.idleSince_ + settings_.maxIdle_) {
      idle.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) {
    Fail(id);
  }
  for (const std::uint64_t id : idle) {
    Close(id);
  }
  if (!expired.empty()) {
    // What made the server or its connections silent may have reached the idle ones too.
    CloseIdle();
  }
}

std::vector<HttpResult>
HttpClient::ExtractResults()
{
  return std::exchange(results_, {});
}

} // namespace fulmarway
