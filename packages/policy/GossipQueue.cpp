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
  std::int64_t burstBytes_;
  std::int64_t bytesPerSecond_;
};

/** Limits reconciliation: a joining node needs a burst, the average is low. */
constexpr AllowanceRate kReconciliationRate{ 49'152, 4'096 };
/** Reconciliation starts only if this much of the allowance is left. Otherwise summaries alone
 * would use it up when many nodes start at once. */
constexpr std::int64_t kReconciliationReserveBytes = 12'288;
/** Limits piggybacked changes. Many simultaneous changes spread more slowly instead of using up the
 * budget of 6 KB a second for all control traffic. */
constexpr AllowanceRate kChangeRate{ 8'192, 512 };
/** A node receives the whole table in its first seconds. Its peers have these records already, so
 * the node does not forward them. */
constexpr Duration kStartupQuietPeriod = std::chrono::seconds(10);

// Sizes in the serialized form, which uses fixed-width integers and an 8-byte length prefix.
constexpr std::size_t kLengthBytes = 8;
constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kIncarnationBytes = 16;
constexpr std::size_t kVariantBytes = 4;
/** Generation, sequence, state, epoch, version and successor. */
constexpr std::size_t kRecordNumberBytes = 8 + 4 + 1 + 4 + 8 + kIdBytes;
/** Start, sequence, finality and notice time of a departure. */
constexpr std::size_t kDepartureNumberBytes = 8 + 8 + 1 + 8;
constexpr std::size_t kSummaryBytes = kIdBytes + 8 + 4 + 1;

std::size_t
TextBytes(const std::string& aText)
{
  return kLengthBytes + aText.size();
}

struct BodyBytes
{
  std::size_t operator()(const Probe&) const { return 8 + kIdBytes; }
  std::size_t operator()(const ProbeAck&) const { return 8 + kIdBytes + 1; }
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
  std::size_t operator()(const QuotaHandover&) const { return 4 + 4 + 8 + 4 + 8; }
  std::size_t operator()(const QuotaRequest& aBody) const
  {
    return 8 + TextBytes(aBody.account_) + 4;
  }
  std::size_t operator()(const QuotaGrant& aBody) const
  {
    return 8 + TextBytes(aBody.account_) + 4 + 8;
  }
};

std::uint32_t
TransmitLimit(const MembershipState& aState)
{
  return kTransmitFactor * static_cast<std::uint32_t>(std::bit_width(aState.members_.size() + 1));
}

void
RefillAllowance(ByteAllowance& aAllowance, AllowanceRate aRate, Instant aNow)
{
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aAllowance.refilledAt_);
  const std::int64_t added = elapsed.count() * aRate.bytesPerSecond_ / 1000;
  if (added > 0) {
    aAllowance.bytes_ = std::min(aRate.burstBytes_, aAllowance.bytes_ + added);
    aAllowance.refilledAt_ = aNow;
  }
}

/** Deducts the bytes unless the allowance is used up. The last deduction may overdraw it. */
bool
DeductBytes(ByteAllowance& aAllowance, AllowanceRate aRate, std::size_t aBytes, Instant aNow)
{
  RefillAllowance(aAllowance, aRate, aNow);
  if (aAllowance.bytes_ <= 0) {
    return false;
  }
  aAllowance.bytes_ -= static_cast<std::int64_t>(aBytes);
  return true;
}

/** Adds queued changes until the message is full, those with the most transmissions left first. */
void
AddChanges(MembershipContext& aContext, GossipMessage& aMessage)
{
  MembershipState& state = aContext.state_;
  std::vector<std::pair<std::uint32_t, NodeId>> order;
  for (const auto& [id, remaining] : state.updates_) {
    order.emplace_back(remaining, id);
  }
  std::sort(order.begin(), order.end(), std::greater<>());
  std::size_t bytes = EstimateBytes(aMessage);
  for (const auto& [remaining, id] : order) {
    const auto member = state.members_.find(id);
    if (member == state.members_.end()) {
      state.updates_.erase(id);
      continue;
    }
    const MemberRecord record = CurrentRecord(state, member->second, aContext.now_);
    const std::size_t recordBytes = EstimateBytes(record);
    bytes += recordBytes;
    if (aMessage.updates_.size() >= state.settings_.updatesPerMessage_ ||
        bytes > kMaxDatagramBytes ||
        !DeductBytes(state.changeAllowance_, kChangeRate, recordBytes, aContext.now_)) {
      return;
    }
    aMessage.updates_.push_back(record);
    if (remaining <= 1) {
      state.updates_.erase(id);
    } else {
      state.updates_[id] = remaining - 1;
    }
  }
}

void
SendLocalRecord(MembershipContext& aContext, const std::string& aAddress)
{
  SendWithChanges(aContext, aAddress, MakeCarrierBody(aContext.state_), &aContext.state_.self_);
}

} // namespace

std::size_t
EstimateBytes(const MemberRecord& aRecord)
{
  const NodeIdentity& identity = aRecord.identity_;
  return kIdBytes + kIncarnationBytes + kRecordNumberBytes + TextBytes(identity.peerAddress_) +
         TextBytes(identity.adminAddress_) + TextBytes(identity.service_) +
         TextBytes(identity.domain_) + TextBytes(identity.region_) +
         (aRecord.departure_ ? kDepartureNumberBytes + TextBytes(aRecord.departure_->instance_)
                             : 0);
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
MakeCarrierBody(const MembershipState& aState)
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
SendMessage(MembershipContext& aContext, const std::string& aAddress, GossipMessage aMessage)
{
  aContext.output_.messages_.push_back({ aAddress, std::move(aMessage) });
}

void
SendWithChanges(MembershipContext& aContext,
                const std::string& aAddress,
                GossipBody aBody,
                const MemberRecord* aFirst)
{
  GossipMessage message = MakeMessage(aContext.state_, std::move(aBody));
  if (aFirst != nullptr) {
    message.updates_.push_back(*aFirst);
  }
  AddChanges(aContext, message);
  SendMessage(aContext, aAddress, std::move(message));
}

void
SendRecords(MembershipContext& aContext,
            const std::string& aAddress,
            const std::vector<MemberRecord>& aRecords)
{
  GossipMessage message = MakeMessage(aContext.state_, RecordsReply{});
  std::size_t bytes = EstimateBytes(message);
  const auto flush = [&] {
    const bool allowed = DeductReconciliationBytes(aContext, bytes);
    if (allowed) {
      SendMessage(aContext, aAddress, message);
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
QueueUpdate(MembershipContext& aContext, NodeId aNode, RecordSource aSource)
{
  MembershipState& state = aContext.state_;
  if (aSource == RecordSource::kReconciliation &&
      aContext.now_ - state.startedAt_ < kStartupQuietPeriod) {
    return;
  }
  if (state.updates_.size() >= kMaxQueuedUpdates && !state.updates_.contains(aNode)) {
    return;
  }
  state.updates_[aNode] = TransmitLimit(state);
}

void
SpreadLocalRecord(MembershipContext& aContext)
{
  for (const MemberEntry* peer :
       Sample(aContext.state_, LocalDomainPeers(aContext.state_), kSpreadPeers)) {
    SendLocalRecord(aContext, peer->record_.identity_.peerAddress_);
  }
}

void
SpreadLocalRecordWidely(MembershipContext& aContext)
{
  MembershipState& state = aContext.state_;
  for (const MemberEntry* peer : Sample(state, LocalDomainPeers(state), kWideSpreadPeers)) {
    SendLocalRecord(aContext, peer->record_.identity_.peerAddress_);
  }
  for (const auto& [domain, reachability] : state.domains_) {
    const std::vector<NodeId> delegates = DelegatesOf(state, domain);
    if (!delegates.empty()) {
      const NodeId delegate = delegates[NextRandom(state) % delegates.size()];
      SendLocalRecord(aContext, state.members_.at(delegate).record_.identity_.peerAddress_);
    }
  }
}

void
ForwardUrgentRecord(MembershipContext& aContext, const MemberEntry& aEntry)
{
  MembershipState& state = aContext.state_;
  for (const MemberEntry* peer : Sample(state, LocalDomainPeers(state), kForwardPeers)) {
    GossipMessage message = MakeMessage(state, MakeCarrierBody(state));
    message.updates_.push_back(CurrentRecord(state, aEntry, aContext.now_));
    SendMessage(aContext, peer->record_.identity_.peerAddress_, std::move(message));
  }
}

bool
DeductReconciliationBytes(MembershipContext& aContext, std::size_t aBytes)
{
  return DeductBytes(
    aContext.state_.reconciliationAllowance_, kReconciliationRate, aBytes, aContext.now_);
}

bool
MayReconcile(MembershipContext& aContext)
{
  RefillAllowance(aContext.state_.reconciliationAllowance_, kReconciliationRate, aContext.now_);
  return aContext.state_.reconciliationAllowance_.bytes_ >= kReconciliationReserveBytes;
}

void
ResetAllowances(MembershipState& aState, Instant aNow)
{
  aState.reconciliationAllowance_ = { kReconciliationRate.burstBytes_, aNow };
  aState.changeAllowance_ = { kChangeRate.burstBytes_, aNow };
}

} // namespace fulmarway
