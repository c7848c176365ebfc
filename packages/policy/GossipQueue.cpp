#include "policy/GossipQueue.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace fulmarway {

namespace {

constexpr std::size_t kMaxQueuedUpdates = 64;
constexpr std::uint32_t kTransmitFactor = 2;
constexpr std::size_t kSpreadPeers = 3;
/** An update that each receiver immediately forwards to four others reaches 98% of the peers. */
constexpr std::size_t kForwardPeers = 4;
constexpr std::size_t kWideSpreadPeers = 8;

struct AllowanceRate
{
  std::int64_t burst_;
  std::int64_t bytesPerSecond_;
};

/** Limits reconciliation: a joining node needs a burst, the average is low. */
constexpr AllowanceRate kTableRate{ 49'152, 4'096 };
/** Reconciliation starts only if this much of the allowance is left. Otherwise summaries alone
 * would use it up when many nodes start at once. */
constexpr std::int64_t kTableReserve = 12'288;
/** Limits piggybacked changes. Many simultaneous changes spread more slowly instead of using up the
 * budget of 6 KB a second for all control traffic. */
constexpr AllowanceRate kChangeRate{ 8'192, 512 };
/** A node receives the whole table in its first seconds. Its peers have these records already, so
 * the node does not forward them. */
constexpr Duration kQuietStart = std::chrono::seconds(10);

// Sizes in the serialized form, which uses fixed-width integers and an 8-byte length prefix.
constexpr std::size_t kLengthBytes = 8;
constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kIncarnationBytes = 16;
constexpr std::size_t kVariantBytes = 4;
/** Generation, sequence, state, epoch, version and successor. */
constexpr std::size_t kRecordNumbers = 8 + 4 + 1 + 4 + 8 + kIdBytes;
constexpr std::size_t kSummaryBytes = kIdBytes + 8 + 4 + 1;

std::size_t
TextBytes(const std::string& aText)
{
  return kLengthBytes + aText.size();
}

struct BodyBytes
{
  std::size_t operator()(const Probe&) const { return 8 + kIdBytes; }
  std::size_t operator()(const ProbeAck&) const { return 8 + kIdBytes; }
  std::size_t operator()(const ProbeRequest&) const { return 8 + kIdBytes; }
  std::size_t operator()(const DigestExchange& aBody) const
  {
    std::size_t bytes = kLengthBytes;
    for (const DomainDigest& digest : aBody.digests_) {
      bytes += TextBytes(digest.domain_) + 8;
    }
    return bytes;
  }
  std::size_t operator()(const SummaryExchange& aBody) const
  {
    return kLengthBytes + kSummaryBytes * aBody.summaries_.size();
  }
  std::size_t operator()(const RecordsRequest& aBody) const
  {
    return kLengthBytes + kIdBytes * aBody.nodes_.size();
  }
  std::size_t operator()(const RecordsReply&) const { return 0; }
};

std::uint32_t
TransmitLimit(const MembershipState& aState)
{
  return kTransmitFactor * static_cast<std::uint32_t>(std::bit_width(aState.members_.size() + 1));
}

void
Earn(ByteAllowance& aAllowance, AllowanceRate aRate, Instant aNow)
{
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aAllowance.countedAt_);
  const std::int64_t earned = elapsed.count() * aRate.bytesPerSecond_ / 1000;
  if (earned > 0) {
    aAllowance.bytes_ = std::min(aRate.burst_, aAllowance.bytes_ + earned);
    aAllowance.countedAt_ = aNow;
  }
}

/** Deducts the bytes unless the allowance is used up. The last deduction may overdraw it. */
bool
Take(ByteAllowance& aAllowance, AllowanceRate aRate, std::size_t aBytes, Instant aNow)
{
  Earn(aAllowance, aRate, aNow);
  if (aAllowance.bytes_ <= 0) {
    return false;
  }
  aAllowance.bytes_ -= static_cast<std::int64_t>(aBytes);
  return true;
}

/** Adds queued changes until the message is full, those with the most transmissions left first. */
void
AddChanges(MembershipTurn& aTurn, GossipMessage& aMessage)
{
  MembershipState& state = aTurn.state_;
  std::vector<std::pair<std::uint32_t, NodeId>> order;
  for (const auto& [id, left] : state.updates_) {
    order.emplace_back(left, id);
  }
  std::sort(order.begin(), order.end(), std::greater<>());
  std::size_t bytes = EstimateBytes(aMessage);
  for (const auto& [left, id] : order) {
    const auto member = state.members_.find(id);
    if (member == state.members_.end()) {
      state.updates_.erase(id);
      continue;
    }
    const MemberRecord record = CurrentRecord(state, member->second, aTurn.now_);
    const std::size_t recordBytes = EstimateBytes(record);
    bytes += recordBytes;
    if (aMessage.updates_.size() >= state.settings_.updatesPerMessage_ ||
        bytes > kMaxDatagramBytes ||
        !Take(state.changeBytes_, kChangeRate, recordBytes, aTurn.now_)) {
      return;
    }
    aMessage.updates_.push_back(record);
    if (left <= 1) {
      state.updates_.erase(id);
    } else {
      state.updates_[id] = left - 1;
    }
  }
}

void
SendOwnRecord(MembershipTurn& aTurn, const std::string& aAddress)
{
  SendWithChanges(aTurn, aAddress, CarrierOf(aTurn.state_), &aTurn.state_.self_);
}

} // namespace

std::size_t
EstimateBytes(const MemberRecord& aRecord)
{
  const NodeIdentity& identity = aRecord.identity_;
  return kIdBytes + kIncarnationBytes + kRecordNumbers + TextBytes(identity.peerAddress_) +
         TextBytes(identity.adminAddress_) + TextBytes(identity.service_) +
         TextBytes(identity.domain_) + TextBytes(identity.region_);
}

std::size_t
EstimateBytes(const GossipMessage& aMessage)
{
  std::size_t bytes = kMacBytes + kIdBytes + kIncarnationBytes +
                      TextBytes(aMessage.senderAddress_) + 8 + kVariantBytes +
                      std::visit(BodyBytes{}, aMessage.body_) + kLengthBytes;
  for (const MemberRecord& record : aMessage.updates_) {
    bytes += EstimateBytes(record);
  }
  return bytes;
}

ProbeAck
CarrierOf(const MembershipState& aState)
{
  return { 0, aState.self_.identity_.id_ };
}

GossipMessage
MakeMessage(const MembershipState& aState, GossipBody aBody)
{
  const NodeIdentity& self = aState.self_.identity_;
  return { self.id_,          self.incarnation_,
           self.peerAddress_, aState.self_.configVersion_,
           std::move(aBody),  {} };
}

void
SendMessage(MembershipTurn& aTurn, const std::string& aAddress, GossipMessage aMessage)
{
  aTurn.output_.messages_.push_back({ aAddress, std::move(aMessage) });
}

void
SendWithChanges(MembershipTurn& aTurn,
                const std::string& aAddress,
                GossipBody aBody,
                const MemberRecord* aFirst)
{
  GossipMessage message = MakeMessage(aTurn.state_, std::move(aBody));
  if (aFirst != nullptr) {
    message.updates_.push_back(*aFirst);
  }
  AddChanges(aTurn, message);
  SendMessage(aTurn, aAddress, std::move(message));
}

void
SendRecords(MembershipTurn& aTurn,
            const std::string& aAddress,
            const std::vector<MemberRecord>& aRecords)
{
  GossipMessage message = MakeMessage(aTurn.state_, RecordsReply{});
  std::size_t bytes = EstimateBytes(message);
  const auto flush = [&] {
    const bool allowed = TakeTableBytes(aTurn, bytes);
    if (allowed) {
      SendMessage(aTurn, aAddress, message);
    }
    message.updates_.clear();
    bytes = EstimateBytes(message);
    return allowed;
  };
  for (const MemberRecord& record : aRecords) {
    if (bytes + EstimateBytes(record) > kMaxDatagramBytes && !flush()) {
      return;
    }
    bytes += EstimateBytes(record);
    message.updates_.push_back(record);
  }
  if (!message.updates_.empty()) {
    flush();
  }
}

void
QueueUpdate(MembershipTurn& aTurn, NodeId aNode, RecordSource aSource)
{
  MembershipState& state = aTurn.state_;
  if (aSource == RecordSource::kTable && aTurn.now_ - state.startedAt_ < kQuietStart) {
    return;
  }
  if (state.updates_.size() >= kMaxQueuedUpdates && !state.updates_.contains(aNode)) {
    return;
  }
  state.updates_[aNode] = TransmitLimit(state);
}

void
SpreadOwnRecord(MembershipTurn& aTurn)
{
  for (const MemberEntry* peer : Sample(aTurn.state_, OwnDomainPeers(aTurn.state_), kSpreadPeers)) {
    SendOwnRecord(aTurn, peer->record_.identity_.peerAddress_);
  }
}

void
SpreadOwnRecordWidely(MembershipTurn& aTurn)
{
  MembershipState& state = aTurn.state_;
  for (const MemberEntry* peer : Sample(state, OwnDomainPeers(state), kWideSpreadPeers)) {
    SendOwnRecord(aTurn, peer->record_.identity_.peerAddress_);
  }
  for (const auto& [domain, reach] : state.domains_) {
    const std::vector<NodeId> delegates = DelegatesOf(state, domain);
    if (!delegates.empty()) {
      const NodeId delegate = delegates[NextRandom(state) % delegates.size()];
      SendOwnRecord(aTurn, state.members_.at(delegate).record_.identity_.peerAddress_);
    }
  }
}

void
ForwardUrgent(MembershipTurn& aTurn, const MemberEntry& aEntry)
{
  MembershipState& state = aTurn.state_;
  for (const MemberEntry* peer : Sample(state, OwnDomainPeers(state), kForwardPeers)) {
    GossipMessage message = MakeMessage(state, CarrierOf(state));
    message.updates_.push_back(CurrentRecord(state, aEntry, aTurn.now_));
    SendMessage(aTurn, peer->record_.identity_.peerAddress_, std::move(message));
  }
}

bool
TakeTableBytes(MembershipTurn& aTurn, std::size_t aBytes)
{
  return Take(aTurn.state_.tableBytes_, kTableRate, aBytes, aTurn.now_);
}

bool
MayReconcile(MembershipTurn& aTurn)
{
  Earn(aTurn.state_.tableBytes_, kTableRate, aTurn.now_);
  return aTurn.state_.tableBytes_.bytes_ >= kTableReserve;
}

void
FillAllowances(MembershipState& aState, Instant aNow)
{
  aState.tableBytes_ = { kTableRate.burst_, aNow };
  aState.changeBytes_ = { kChangeRate.burst_, aNow };
}

} // namespace fulmarway
