#include "policy/QuotaTokens.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fulmarway {

namespace {

/** Start of each stage of a round, and the end of the last. Several round trips between regions. */
constexpr Duration kAskAgainAfter = std::chrono::milliseconds(40);
constexpr Duration kAskSecondAfter = std::chrono::milliseconds(100);
constexpr Duration kGiveUpAfter = std::chrono::milliseconds(200);
/** Tokens are asked for this much of the demand. Below their lifetime, so that few expire. */
constexpr double kAskedDemandSeconds = 0.2;
/** Time over which the demand is averaged. */
constexpr Duration kDemandTime = std::chrono::milliseconds(500);
/** A pool that was empty is asked again after this time at the earliest. Bounds the messages of an
 * account that sends many times its quota. */
constexpr Duration kRefuseTime = std::chrono::milliseconds(40);
/** Times between which callers come back that no pool node answered. Membership replaces a pool
 * node after about 3 s. */
constexpr Duration kMinUnavailableRetry = std::chrono::milliseconds(500);
constexpr Duration kUnavailableRetrySpread = std::chrono::milliseconds(1500);

void
RecordArrival(AccountTokens& aAccount, Instant aNow)
{
  const double elapsed = std::chrono::duration<double>(aNow - aAccount.demandAt_).count();
  const double window = std::chrono::duration<double>(kDemandTime).count();
  aAccount.demand_ = aAccount.demand_ * std::exp(-elapsed / window) + 1 / window;
  aAccount.demandAt_ = aNow;
}

void
RemoveExpired(AccountTokens& aAccount, const TokenContext& aContext)
{
  std::erase_if(aAccount.batches_, [&](const TokenBatch& aBatch) {
    return aBatch.count_ == 0 || aBatch.expiresAt_ <= aContext.now_;
  });
  std::erase_if(aAccount.asks_, [&](const auto& aAsk) {
    return aAsk.second.at_ + aContext.times_.tokenLifetime_ <= aContext.now_;
  });
}

/** Takes the token that expires first. */
std::optional<Instant>
TakeFromBatches(AccountTokens& aAccount, Instant aNow)
{
  TokenBatch* first = nullptr;
  for (TokenBatch& batch : aAccount.batches_) {
    const bool isUsable = batch.count_ > 0 && batch.expiresAt_ > aNow;
    if (isUsable && (first == nullptr || batch.expiresAt_ < first->expiresAt_)) {
      first = &batch;
    }
  }
  if (first == nullptr) {
    return std::nullopt;
  }
  --first->count_;
  return first->expiresAt_;
}

/** Sends the request of a stage. The first node gets the same request each time, so that the round
 * takes its tokens once. */
void
Ask(QuotaTokens& aState,
    TokenContext& aContext,
    const std::string& aName,
    AccountTokens& aAccount,
    AskStage aStage)
{
  aAccount.stage_ = aStage;
  const bool isRepetition = aStage == AskStage::kFirstNodeAgain;
  if (!isRepetition) {
    const auto demand = static_cast<std::uint32_t>(aAccount.demand_ * kAskedDemandSeconds);
    const auto waiting = static_cast<std::uint32_t>(aAccount.waiting_.size());
    // A pool node may still know numbers of an earlier process.
    const auto clock = static_cast<std::uint64_t>(aContext.now_.time_since_epoch().count());
    const std::uint64_t number = std::max(aState.nextNumber_, clock);
    aState.nextNumber_ = number + 1;
    const QuotaRequest request{ number, aName, std::max({ 1U, demand, waiting }) };
    aAccount.asks_[request.number_] = { aContext.now_, request.tokens_ };
    aContext.asks_.push_back({ aStage, request });
    if (aStage == AskStage::kFirstNode) {
      aAccount.firstRequest_ = request;
    }
  }
  if (aStage != AskStage::kFirstNode) {
    // With 2.5% of datagrams lost, 1 round in 400 would fail if this were sent only twice.
    aContext.asks_.push_back({ AskStage::kFirstNode, aAccount.firstRequest_ });
  }
}

/** Begins a round if requests wait and none is in progress. */
void
AskIfNeeded(QuotaTokens& aState,
            TokenContext& aContext,
            const std::string& aName,
            AccountTokens& aAccount)
{
  if (!aAccount.waiting_.empty() && aAccount.stage_ == AskStage::kNone) {
    aAccount.roundStartedAt_ = aContext.now_;
    Ask(aState, aContext, aName, aAccount, AskStage::kFirstNode);
  }
}

/** Gives tokens to waiting requests, the longest wait first. */
void
ServeWaiting(TokenContext& aContext, const std::string& aName, AccountTokens& aAccount)
{
  while (!aAccount.waiting_.empty()) {
    const auto expiresAt = TakeFromBatches(aAccount, aContext.now_);
    if (!expiresAt) {
      return;
    }
    ++aAccount.used_;
    aContext.outcomes_.push_back(
      { aAccount.waiting_.front(), TakenToken{ aName, *expiresAt }, {} });
    aAccount.waiting_.pop_front();
  }
  aAccount.stage_ = AskStage::kNone;
}

/** Refuses with the next time that is reserved for this node. */
void
RefuseOverQuota(TokenContext& aContext,
                const std::string& aName,
                AccountTokens& aAccount,
                CallId aCall)
{
  const double rate = aContext.quotas_.find(aName)->second.ratePerSecond_;
  const Duration wait = std::max(aAccount.nextReservedAt_ - aContext.now_, Duration{ 1 });
  aAccount.nextReservedAt_ +=
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(1 / rate, 4.0)));
  --aAccount.reservedLeft_;
  ++aAccount.refused_;
  aAccount.overQuotaAt_ = aContext.now_;
  aContext.outcomes_.push_back(
    { aCall, std::nullopt, { Verdict::kNotRun, Reason::kOverQuota, wait } });
}

void
RefuseUnavailable(TokenContext& aContext, AccountTokens& aAccount)
{
  // Spread evenly over the requests that are refused together.
  const auto count = static_cast<Duration::rep>(aAccount.waiting_.size());
  for (Duration::rep index = 0; !aAccount.waiting_.empty(); ++index) {
    const Duration wait = kMinUnavailableRetry + kUnavailableRetrySpread * index / count;
    aContext.outcomes_.push_back({ aAccount.waiting_.front(),
                                   std::nullopt,
                                   { Verdict::kNotRun, Reason::kQuotaUnavailable, wait } });
    aAccount.waiting_.pop_front();
  }
  aAccount.stage_ = AskStage::kNone;
  aAccount.unavailableAt_ = aContext.now_;
}

/** The node that was asked keeps no pool of the account: it has just become the pool node, or was
 * asked because another one did not answer. */
void
HandleNoPool(QuotaTokens& aState,
             TokenContext& aContext,
             const std::string& aName,
             AccountTokens& aAccount)
{
  if (aAccount.stage_ == AskStage::kFirstNode || aAccount.stage_ == AskStage::kFirstNodeAgain) {
    Ask(aState, aContext, aName, aAccount, AskStage::kSecondNode);
  }
}

} // namespace

void
TakeToken(QuotaTokens& aState, TokenContext& aContext, const std::string& aAccount, CallId aCall)
{
  AccountTokens& account = aState.accounts_[aAccount];
  RecordArrival(account, aContext.now_);
  account.waiting_.push_back(aCall);
  if (account.waiting_.size() == 1) {
    ServeWaiting(aContext, aAccount, account);
    if (!account.waiting_.empty() && account.stage_ == AskStage::kNone &&
        aContext.now_ < account.refuseUntil_ && account.reservedLeft_ > 0) {
      account.waiting_.pop_front();
      RefuseOverQuota(aContext, aAccount, account, aCall);
    }
  }
  AskIfNeeded(aState, aContext, aAccount, account);
}

void
ReturnToken(QuotaTokens& aState, TokenContext& aContext, const TakenToken& aToken)
{
  const auto found = aState.accounts_.find(aToken.account_);
  if (found == aState.accounts_.end()) {
    return;
  }
  AccountTokens& account = found->second;
  account.used_ -= std::min<std::uint64_t>(account.used_, 1);
  if (aToken.expiresAt_ > aContext.now_) {
    account.batches_.push_back({ 1, aToken.expiresAt_ });
  }
}

void
ReceiveGrant(QuotaTokens& aState, TokenContext& aContext, const QuotaGrant& aGrant)
{
  const auto found = aState.accounts_.find(aGrant.account_);
  if (found == aState.accounts_.end()) {
    return;
  }
  AccountTokens& account = found->second;
  RemoveExpired(account, aContext);
  const auto asked = account.asks_.find(aGrant.number_);
  if (asked == account.asks_.end()) {
    return; // Late, or a copy of a datagram.
  }
  const SentAsk ask = asked->second;
  const std::uint32_t granted = std::min(aGrant.tokens_, ask.tokens_);
  if (granted == 0 && aGrant.roomIn_ <= Duration{ 0 }) {
    HandleNoPool(aState, aContext, found->first, account);
    return;
  }
  account.asks_.erase(asked);
  account.unavailableAt_.reset();
  if (granted > 0) {
    account.batches_.push_back({ granted, ask.at_ + aContext.times_.tokenLifetime_ });
  }
  ServeWaiting(aContext, found->first, account);
  if (granted < ask.tokens_ && aContext.quotas_.contains(aGrant.account_)) {
    account.reservedLeft_ = ask.tokens_ - granted;
    account.nextReservedAt_ = aContext.now_ + std::max(aGrant.roomIn_, Duration{ 1 });
    account.refuseUntil_ = aContext.now_ + std::min(kRefuseTime, aGrant.roomIn_);
    while (!account.waiting_.empty() && account.reservedLeft_ > 0) {
      const CallId call = account.waiting_.front();
      account.waiting_.pop_front();
      RefuseOverQuota(aContext, found->first, account, call);
    }
  }
  account.stage_ = AskStage::kNone;
  AskIfNeeded(aState, aContext, found->first, account);
}

void
AdvanceTokens(QuotaTokens& aState, TokenContext& aContext)
{
  for (auto& [name, account] : aState.accounts_) {
    RemoveExpired(account, aContext);
    if (!aContext.quotas_.contains(name)) {
      // The account has no quota any more.
      for (const CallId call : std::exchange(account.waiting_, {})) {
        aContext.outcomes_.push_back({ call, TakenToken{ name, aContext.now_ }, {} });
      }
      continue;
    }
    ServeWaiting(aContext, name, account);
    const Duration since = aContext.now_ - account.roundStartedAt_;
    if (account.stage_ == AskStage::kNone) {
      continue;
    }
    if (since >= kGiveUpAfter) {
      RefuseUnavailable(aContext, account);
    } else if (since >= kAskSecondAfter && account.stage_ != AskStage::kSecondNode) {
      Ask(aState, aContext, name, account, AskStage::kSecondNode);
    } else if (since >= kAskAgainAfter && account.stage_ == AskStage::kFirstNode) {
      Ask(aState, aContext, name, account, AskStage::kFirstNodeAgain);
    }
  }
  std::erase_if(aState.accounts_,
                [&](const auto& aEntry) { return !aContext.quotas_.contains(aEntry.first); });
}

} // namespace fulmarway
