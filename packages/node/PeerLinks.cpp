#include "node/PeerLinks.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <spdlog/spdlog.h>

namespace fulmarway {

namespace {

constexpr int kListenBacklog = 1024;
constexpr int kMaxAcceptsPerPoll = 64;
/** Enough to keep the socket busy; more would delay urgent frames behind parts. */
constexpr std::size_t kOutputBufferTargetBytes = 64U << 10;
constexpr std::size_t kMaxAcceptedLinks = 4096;
/** Largest first frame of an accepted link, its Hello. Until then anybody may have opened it. */
constexpr std::size_t kMaxHelloBytes = 1024;

/** The attempt that a message belongs to; zero for none. */
AttemptId
AttemptOf(const PeerMessage& aMessage)
{
  return std::visit(
    [](const auto& aBody) {
      if constexpr (requires { aBody.attempt_; }) {
        return aBody.attempt_;
      } else {
        return AttemptId{};
      }
    },
    aMessage);
}

/** Whether the message is a request other than a call, so that the peer replies to it. */
bool
IsOtherRequest(const PeerMessage& aMessage)
{
  return std::holds_alternative<ConfigRequest>(aMessage) ||
         std::holds_alternative<Handover>(aMessage) || std::holds_alternative<Ping>(aMessage);
}

} // namespace

void
FrameQueue::Push(AttemptId aAttempt, bool aIsPart, std::string aFrame)
{
  bytes_ += aFrame.size();
  if (aIsPart) {
    parts_[aAttempt].push_back(std::move(aFrame));
  } else {
    urgent_.push_back(std::move(aFrame));
  }
}

void
FrameQueue::Fill(TcpChannel& aChannel)
{
  while (aChannel.PendingBytes() < kOutputBufferTargetBytes && !IsEmpty()) {
    if (!urgent_.empty()) {
      bytes_ -= urgent_.front().size();
      aChannel.Queue(std::move(urgent_.front()));
      urgent_.pop_front();
      continue;
    }
    auto next = parts_.upper_bound(lastAttempt_);
    if (next == parts_.end()) {
      next = parts_.begin();
    }
    lastAttempt_ = next->first;
    bytes_ -= next->second.front().size();
    aChannel.Queue(std::move(next->second.front()));
    next->second.pop_front();
    if (next->second.empty()) {
      parts_.erase(next);
    }
  }
}

PeerLinks::PeerLinks(const Poco::Net::SocketAddress& aListen,
                     const NodeIdentity& aSelf,
                     const ClusterKey& aKey,
                     Poller& aPoller)
  : self_(aSelf)
  , key_(aKey)
  , poller_(aPoller)
{
  // Without SO_REUSEPORT: a second process on the same address must fail to bind.
  listener_.bind(aListen, true, false);
  listener_.listen(kListenBacklog);
  listener_.setBlocking(false);
  poller_.Add({ SocketRole::kPeerListener, 0 }, listener_);
}

PeerLinks::PeerLink*
PeerLinks::OpenLink(NodeId aPeer, const std::string& aAddress, Instant aNow)
{
  if (const auto found = byPeer_.find(aPeer); found != byPeer_.end()) {
    return &peers_.at(found->second);
  }
  try {
    const Poco::Net::SocketAddress address(aAddress);
    const std::uint64_t id = nextId_++;
    PeerLink link{ aPeer, TcpChannel(address), {}, { aNow, std::nullopt }, {}, 0, 0 };
    poller_.Add({ SocketRole::kPeerLink, id }, link.channel_.Socket());
    byPeer_.emplace(aPeer, id);
    PeerLink& opened = peers_.emplace(id, std::move(link)).first->second;
    Queue(id, opened, Hello{ self_.id_, self_.incarnation_ });
    return &opened;
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

void
PeerLinks::SendToPeer(NodeId aPeer,
                      const std::string& aAddress,
                      const PeerMessage& aMessage,
                      Instant aNow)
{
  if (std::holds_alternative<CallCancelled>(aMessage) && !byPeer_.contains(aPeer)) {
    return; // The link that carried the call was closed, which ended the call.
  }
  PeerLink* link = OpenLink(aPeer, aAddress, aNow);
  if (link == nullptr) {
    if (std::holds_alternative<CallRequest>(aMessage)) {
      events_.push_back(PeerLost{ aPeer, { AttemptOf(aMessage) }, {} });
    }
    return;
  }
  if (link->attempts_.empty() && link->pendingOtherRequests_ == 0) {
    link->health_ = RecordLinkUse(link->health_, aNow);
  }
  const std::uint64_t id = byPeer_.at(aPeer);
  if (std::holds_alternative<CallRequest>(aMessage)) {
    link->attempts_.emplace(AttemptOf(aMessage), AttemptInFlight{ link->queuedBytes_ });
  } else if (std::holds_alternative<CallCancelled>(aMessage)) {
    link->attempts_.erase(AttemptOf(aMessage));
  }
  Queue(id, *link, aMessage);
  Flush(id);
}

void
PeerLinks::Queue(std::uint64_t aId, PeerLink& aLink, const PeerMessage& aMessage)
{
  std::string frame = EncodeFrame(key_, aMessage);
  aLink.queuedBytes_ += frame.size();
  aLink.pendingOtherRequests_ += IsOtherRequest(aMessage) ? 1 : 0;
  aLink.channel_.Queue(std::move(frame));
  poller_.SetWantsWrite({ SocketRole::kPeerLink, aId }, true);
}

void
PeerLinks::Flush(std::uint64_t aId)
{
  PeerLink& link = peers_.at(aId);
  if (link.channel_.Flush() == ChannelStatus::kClosed) {
    ClosePeerLink(aId);
    return;
  }
  poller_.SetWantsWrite({ SocketRole::kPeerLink, aId }, link.channel_.WantsWrite());
}

void
PeerLinks::ClosePeerLink(std::uint64_t aId)
{
  PeerLink& link = peers_.at(aId);
  PeerLost lost{ link.peer_, {}, {} };
  for (const auto& [attempt, inFlight] : link.attempts_) {
    const bool isWritten = link.channel_.BytesWritten() > inFlight.start_;
    (isWritten ? lost.written_ : lost.unwritten_).push_back(attempt);
  }
  if (!link.attempts_.empty()) {
    events_.push_back(std::move(lost));
  }
  poller_.Remove({ SocketRole::kPeerLink, aId });
  link.channel_.Close();
  byPeer_.erase(link.peer_);
  peers_.erase(aId);
}

void
PeerLinks::RemoveAnsweredRequest(PeerLink& aLink, const PeerMessage& aMessage)
{
  const bool isOther = std::holds_alternative<ConfigReply>(aMessage) ||
                       std::holds_alternative<HandoverAccepted>(aMessage) ||
                       std::holds_alternative<Pong>(aMessage);
  if (isOther) {
    aLink.pendingOtherRequests_ -= aLink.pendingOtherRequests_ > 0 ? 1 : 0;
  }
  const auto attempt = aLink.attempts_.find(AttemptOf(aMessage));
  if (attempt == aLink.attempts_.end()) {
    return;
  }
  bool hasEnded = std::holds_alternative<CallRefused>(aMessage);
  if (const auto* answer = std::get_if<CallAnswer>(&aMessage)) {
    attempt->second.bodyBytes_ = answer->bodyBytes_;
    hasEnded = answer->answer_.body_.size() == answer->bodyBytes_;
  } else if (const auto* part = std::get_if<CallAnswerPart>(&aMessage)) {
    hasEnded = part->offset_ + part->bytes_.size() >= attempt->second.bodyBytes_;
  }
  if (hasEnded) {
    aLink.attempts_.erase(attempt);
  }
}

void
PeerLinks::ReadPeerLink(std::uint64_t aId, Instant aNow)
{
  PeerLink& link = peers_.at(aId);
  std::string input;
  const ChannelStatus status = link.channel_.Read(input);
  if (!input.empty()) {
    link.health_ = RecordLinkByte(link.health_, aNow);
  }
  auto messages = DecodeFrames(key_, link.input_, input);
  if (!messages) {
    ++invalidMessages_;
    ClosePeerLink(aId);
    return;
  }
  for (PeerMessage& message : *messages) {
    RemoveAnsweredRequest(link, message);
    events_.push_back(PeerMessageArrived{ link.peer_, std::move(message) });
  }
  if (status == ChannelStatus::kClosed) {
    ClosePeerLink(aId);
  }
}

void
PeerLinks::SendToLink(LinkId aLink, const PeerMessage& aMessage)
{
  const auto found = accepted_.find(aLink);
  if (found == accepted_.end()) {
    return;
  }
  found->second.output_.Push(AttemptOf(aMessage),
                             std::holds_alternative<CallAnswerPart>(aMessage),
                             EncodeFrame(key_, aMessage));
  FlushAcceptedLink(aLink);
}

void
PeerLinks::FlushAcceptedLink(LinkId aLink)
{
  AcceptedLink& link = accepted_.at(aLink);
  link.output_.Fill(link.channel_);
  if (link.channel_.Flush() == ChannelStatus::kClosed) {
    CloseAcceptedLink(aLink);
    return;
  }
  link.output_.Fill(link.channel_);
  poller_.SetWantsWrite({ SocketRole::kAcceptedLink, aLink.value_ }, link.channel_.WantsWrite());
}

void
PeerLinks::CloseAcceptedLink(LinkId aLink)
{
  AcceptedLink& link = accepted_.at(aLink);
  poller_.Remove({ SocketRole::kAcceptedLink, aLink.value_ });
  link.channel_.Close();
  accepted_.erase(aLink);
  events_.push_back(LinkClosed{ aLink });
}

void
PeerLinks::ReadAcceptedLink(LinkId aLink)
{
  AcceptedLink& link = accepted_.at(aLink);
  std::string input;
  const ChannelStatus status = link.channel_.Read(input);
  const std::size_t maxFirst = link.from_ == NodeId{} ? kMaxHelloBytes : kMaxFrameBytes;
  auto messages = DecodeFrames(key_, link.input_, input, maxFirst);
  if (!messages) {
    ++invalidMessages_;
    CloseAcceptedLink(aLink);
    return;
  }
  for (PeerMessage& message : *messages) {
    if (const auto* hello = std::get_if<Hello>(&message)) {
      link.from_ = hello->node_;
    } else if (const auto* ping = std::get_if<Ping>(&message)) {
      link.output_.Push({}, false, EncodeFrame(key_, Pong{ ping->number_ }));
    } else if (link.from_ != NodeId{}) {
      events_.push_back(LinkMessageArrived{ aLink, link.from_, std::move(message) });
    }
  }
  if (status == ChannelStatus::kClosed) {
    CloseAcceptedLink(aLink);
    return;
  }
  FlushAcceptedLink(aLink);
}

void
PeerLinks::Accept()
{
  for (int turn = 0; turn < kMaxAcceptsPerPoll; ++turn) {
    try {
      Poco::Net::StreamSocket socket = listener_.acceptConnection();
      if (accepted_.size() >= kMaxAcceptedLinks) {
        spdlog::warn(
          "event=peer_link_refused accepted={} limit={}", accepted_.size(), kMaxAcceptedLinks);
        continue;
      }
      const LinkId id{ nextId_++ };
      poller_.Add({ SocketRole::kAcceptedLink, id.value_ }, socket);
      accepted_.emplace(id, AcceptedLink{ TcpChannel(socket), {}, {}, {} });
    } catch (const Poco::Exception&) {
      return; // No more pending connections.
    }
  }
}

void
PeerLinks::HandleReady(const ReadySocket& aReady, Instant aNow)
{
  const std::uint64_t id = aReady.key_.id_;
  if (aReady.key_.role_ == SocketRole::kPeerLink) {
    if (aReady.writable_ && peers_.contains(id)) {
      Flush(id);
    }
    if (aReady.readable_ && peers_.contains(id)) {
      ReadPeerLink(id, aNow);
    }
    return;
  }
  if (aReady.writable_ && accepted_.contains(LinkId{ id })) {
    FlushAcceptedLink(LinkId{ id });
  }
  if (aReady.readable_ && accepted_.contains(LinkId{ id })) {
    ReadAcceptedLink(LinkId{ id });
  }
}

void
PeerLinks::Advance(Instant aNow)
{
  std::vector<std::uint64_t> ids;
  for (const auto& [id, link] : peers_) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    PeerLink& link = peers_.at(id);
    const bool hasOutstanding = !link.attempts_.empty() || link.pendingOtherRequests_ > 0;
    switch (CheckLink(link.health_, hasOutstanding, aNow)) {
      case LinkAction::kPing:
        link.health_ = RecordLinkPing(link.health_, aNow);
        Queue(id, link, Ping{ nextId_++ });
        Flush(id);
        break;
      case LinkAction::kAbandon:
      case LinkAction::kCloseIdle:
        ClosePeerLink(id);
        break;
      case LinkAction::kNone:
        break;
    }
  }
}

std::vector<EventBody>
PeerLinks::ExtractEvents()
{
  return std::exchange(events_, {});
}

std::size_t
PeerLinks::AttemptsInFlight() const
{
  std::size_t attempts = 0;
  for (const auto& [id, link] : peers_) {
    attempts += link.attempts_.size();
  }
  return attempts;
}

std::size_t
PeerLinks::HeldBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [id, link] : peers_) {
    bytes += link.input_.bytes_.capacity() + link.channel_.HeldBytes();
  }
  for (const auto& [id, link] : accepted_) {
    bytes += link.input_.bytes_.capacity() + link.channel_.HeldBytes() + link.output_.HeldBytes();
  }
  return bytes;
}

bool
PeerLinks::HasPendingOutput() const
{
  for (const auto& [id, link] : accepted_) {
    if (link.channel_.PendingBytes() > 0 || !link.output_.IsEmpty()) {
      return true;
    }
  }
  return false;
}

} // namespace fulmarway
