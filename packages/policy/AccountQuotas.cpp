#include "policy/AccountQuotas.h"

#include "policy/GossipQueue.h"
#include "policy/OutboundCalls.h"
#include "policy/RouteCandidates.h"

#include <algorithm>

namespace fulmarway {

namespace {

/** From the end of the first listing, or the first member, until this node knows all members. */
constexpr Duration kMembershipSettleTime = std::chrono::seconds(2);
/** Without a store, a node that knows no member for this long is taken to be the only one. */
constexpr Duration kAloneTime = std::chrono::seconds(5);
/** Visiting all members at every tick would take 0.5% of a core at 890 nodes. */
constexpr Duration kViewInterval = std::chrono::milliseconds(100);
/** An account is logged as within its quota again when no request was refused for this long. */
constexpr Duration kOverQuotaLogTime = std::chrono::seconds(5);
/** Limit of the nodes listed in the store, as for members. */
constexpr std::size_t kMaxListedNodes = 4096;

QuotaContext
MakeQuotaContext(const NodeState& aState, const ReduceContext& aContext)
{
  const QuotaBounds& bounds = aState.settings_.quota_;
  return { bounds, MakeQuotaTimes(bounds), aContext.now_ };
}

std::optional<Instant>
AccruesFrom(const NodeState& aState)
{
  if (aState.lifecycle_.phase_ == LifecyclePhase::kLeaving) {
    return std::nullopt; // The other nodes share out the rate without this one.
  }
  if (aState.settings_.usesStore_) {
    const auto& listedAt = aState.store_.listedAt_;
    return listedAt ? std::optional(*listedAt + kMembershipSettleTime) : std::nullopt;
  }
  const QuotaState& quota = aState.quota_;
  return quota.firstMemberAt_ ? *quota.firstMemberAt_ + kMembershipSettleTime
                              : *quota.startedAt_ + kAloneTime;
}

void
RefreshView(NodeState& aState, Instant aNow)
{
  QuotaState& quota = aState.quota_;
  quota.viewRefreshedAt_ = aNow;
  if (!quota.firstMemberAt_ && !aState.membership_.members_.empty()) {
    quota.firstMemberAt_ = aNow;
  }
  QuotaView& view = quota.view_;
  view.self_ = aState.settings_.identity_.id_;
  view.nodes_ = CountQuotaNodes(aState, aNow);
  view.accruesFrom_ = AccruesFrom(aState);
  view.live_.clear();
  if (!IsDraining(aState)) {
    view.live_.push_back(view.self_);
  }
  for (const auto& [id, entry] : aState.membership_.members_) {
    const MemberState state = entry.view_.state_;
    if (state == MemberState::kAlive || state == MemberState::kJoining) {
      view.live_.push_back(id);
    }
  }
}

void
LogAccount(ReduceContext& aContext, const char* aEvent, const std::string& aAccount)
{
  aContext.effects_.push_back(LogLine{ aEvent, { { "account", aAccount } } });
}

void
LogRefusal(NodeState& aState, ReduceContext& aContext, const std::string& aAccount, Reason aReason)
{
  QuotaState& quota = aState.quota_;
  const bool isOver = aReason == Reason::kOverQuota;
  if ((isOver ? quota.overQuota_ : quota.unavailable_).insert(aAccount).second) {
    LogAccount(aContext, isOver ? "account_over_quota" : "account_quota_unavailable", aAccount);
  }
}

void
LogRecoveries(NodeState& aState, ReduceContext& aContext)
{
  QuotaState& quota = aState.quota_;
  const auto find = [&](const std::string& aAccount) -> const AccountTokens* {
    const auto found = quota.tokens_.accounts_.find(aAccount);
    return found == quota.tokens_.accounts_.end() ? nullptr : &found->second;
  };
  std::erase_if(quota.overQuota_, [&](const std::string& aAccount) {
    const AccountTokens* account = find(aAccount);
    const bool isOver = account != nullptr && account->overQuotaAt_ &&
                        aContext.now_ - *account->overQuotaAt_ < kOverQuotaLogTime;
    if (!isOver) {
      LogAccount(aContext, "account_within_quota", aAccount);
    }
    return !isOver;
  });
  std::erase_if(quota.unavailable_, [&](const std::string& aAccount) {
    const AccountTokens* account = find(aAccount);
    const bool isUnavailable = account != nullptr && account->unavailableAt_.has_value();
    if (!isUnavailable) {
      LogAccount(aContext, "account_quota_available", aAccount);
    }
    return !isUnavailable;
  });
}

/** Sends or refuses the call that waited for a token. */
void
ApplyOutcome(NodeState& aState, ReduceContext& aContext, const TokenOutcome& aOutcome)
{
  const auto found = aState.outbound_.calls_.find(aOutcome.call_);
  if (found == aState.outbound_.calls_.end()) {
    if (aOutcome.token_) {
      ReturnQuotaToken(aState, aContext, *aOutcome.token_);
    }
    return; // The call ended while it waited.
  }
  OutboundCall& call = found->second;
  call.waitsForToken_ = false;
  if (!aOutcome.token_) {
    LogRefusal(aState, aContext, call.request_.routed_->account_, aOutcome.refusal_.reason_);
    ReplyRefusal(aState, aContext, aOutcome.call_, aOutcome.refusal_);
    return;
  }
  aState.counters_.Add(CounterId::kQuotaTokensUsed);
  call.token_ = aOutcome.token_;
  if (aContext.now_ >= call.deadline_) {
    ReplyRefusal(
      aState, aContext, aOutcome.call_, { Verdict::kNotRun, Reason::kDeadline, std::nullopt });
    return;
  }
  TryTarget(aState, aContext, aOutcome.call_);
}

/** Sends the messages and applies the outcomes. aReplyTo and aReplyAddress name the sender of the
 * message that was handled, which may be no member yet. */
void
FinishQuotaStep(NodeState& aState,
                ReduceContext& aContext,
                QuotaContext& aQuota,
                NodeId aReplyTo = {},
                const std::string& aReplyAddress = "")
{
  for (QuotaMessage& message : aQuota.messages_) {
    const std::string address =
      message.to_ == aReplyTo ? aReplyAddress : PeerAddressOf(aState, message.to_);
    if (address.empty()) {
      continue;
    }
    aState.counters_.Add(CounterId::kGossipSent);
    aState.counters_.Add(CounterId::kQuotaMessagesSent);
    aContext.effects_.push_back(
      SendGossip{ address, MakeMessage(aState.membership_, std::move(message.body_)) });
  }
  for (const TokenOutcome& outcome : aQuota.outcomes_) {
    ApplyOutcome(aState, aContext, outcome);
  }
}

bool
IsQuotaMessage(const GossipBody& aBody)
{
  return std::holds_alternative<QuotaHandover>(aBody) ||
         std::holds_alternative<QuotaRequest>(aBody) || std::holds_alternative<QuotaGrant>(aBody);
}

} // namespace

void
TakeQuotaToken(NodeState& aState, ReduceContext& aContext, CallId aCall)
{
  OutboundCall& call = aState.outbound_.calls_.at(aCall);
  const std::string account = call.request_.routed_->account_;
  if (call.origin_.fromBackend_ || !aState.quota_.quotas_.contains(account)) {
    TryTarget(aState, aContext, aCall);
    return;
  }
  call.waitsForToken_ = true;
  QuotaContext quota = MakeQuotaContext(aState, aContext);
  TakeAccountToken(aState.quota_, quota, account, aCall);
  FinishQuotaStep(aState, aContext, quota);
}

void
ReturnQuotaToken(NodeState& aState, ReduceContext& aContext, const TakenToken& aToken)
{
  aState.counters_.Add(CounterId::kQuotaTokensReturned);
  QuotaContext quota = MakeQuotaContext(aState, aContext);
  ReturnAccountToken(aState.quota_, quota, aToken);
}

void
HandleQuotaGossip(NodeState& aState, ReduceContext& aContext, const GossipMessage& aMessage)
{
  if (!IsQuotaMessage(aMessage.body_) || aState.quota_.quotas_.empty()) {
    return;
  }
  aState.counters_.Add(CounterId::kQuotaMessagesReceived);
  QuotaContext quota = MakeQuotaContext(aState, aContext);
  ReceiveQuotaMessage(aState.quota_, quota, aMessage.sender_, aMessage.body_);
  FinishQuotaStep(aState, aContext, quota, aMessage.sender_, aMessage.senderAddress_);
}

void
RecordListedNode(NodeState& aState, const MemberRecord& aRecord, Instant aNow)
{
  auto& listed = aState.quota_.listed_;
  const NodeId id = aRecord.identity_.id_;
  const bool hasLeft =
    aRecord.state_ == MemberState::kLeft || (aRecord.departure_ && aRecord.departure_->final_);
  if (id != aState.settings_.identity_.id_ && !hasLeft && listed.size() < kMaxListedNodes) {
    listed.emplace(id, aNow);
  }
}

std::uint32_t
CountQuotaNodes(const NodeState& aState, Instant aNow)
{
  const MembershipState& membership = aState.membership_;
  std::uint32_t count = 1;
  for (const auto& [id, entry] : membership.members_) {
    count += entry.record_.state_ != MemberState::kLeft ? 1 : 0;
  }
  for (const auto& [id, listedAt] : aState.quota_.listed_) {
    const bool isRecent = aNow - listedAt < membership.settings_.recordRetention_;
    count += isRecent && !membership.members_.contains(id) ? 1 : 0;
  }
  return count;
}

void
AdvanceAccountQuotas(NodeState& aState, ReduceContext& aContext)
{
  QuotaState& quota = aState.quota_;
  quota.startedAt_ = quota.startedAt_.value_or(aContext.now_);
  const bool hadQuotas = !quota.quotas_.empty();
  if (quota.version_ != ConfigOf(aState).version_) {
    quota.version_ = ConfigOf(aState).version_;
    quota.quotas_ = MakeAccountQuotas(ConfigOf(aState));
  }
  if (quota.quotas_.empty() && !hadQuotas) {
    return;
  }
  if (!hadQuotas || aContext.now_ - quota.viewRefreshedAt_ >= kViewInterval) {
    RefreshView(aState, aContext.now_);
    LogRecoveries(aState, aContext);
  }
  QuotaContext context = MakeQuotaContext(aState, aContext);
  if (quota.quotas_.empty()) {
    quota.view_.accruesFrom_.reset();
  }
  AdvanceQuotas(quota, context);
  if (!quota.hasAccrued_ && quota.accrual_.accrued_ > Duration{ 0 }) {
    quota.hasAccrued_ = true;
    aContext.effects_.push_back(
      LogLine{ "quota_accrual_started", { { "nodes", std::to_string(quota.view_.nodes_) } } });
  }
  FinishQuotaStep(aState, aContext, context);
}

} // namespace fulmarway
