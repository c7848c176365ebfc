#include "policy/StoreSync.h"

#include "policy/AccountQuotas.h"
#include "policy/Control.h"

#include <algorithm>
#include <utility>

namespace fulmarway {

namespace {

/** Interval between the ends of the reads of changes of one failure domain. When all connections to
 * the store go dead at once, the first node whose read ends gives the changes to its peers. */
constexpr std::chrono::milliseconds kDomainReadSpacing = std::chrono::seconds(1);
/** Interval between the ends of the reads of one node. */
constexpr std::chrono::milliseconds kMaxReadInterval = std::chrono::seconds(10);
/** A read does not end at the next time of the node if that is closer than this. Otherwise a read
 * that ended slightly early would be repeated at once. */
constexpr std::chrono::milliseconds kMinChangeWait = std::chrono::milliseconds(250);
/** Base of the delay after a failed call; it doubles with each consecutive failure. */
constexpr Duration kBaseRetryDelay = std::chrono::milliseconds(250);
constexpr std::uint32_t kMaxRetryDoublings = 2;
/** Time after which a call counts as failed, in addition to the wait that it requests itself. */
constexpr Duration kCallTimeout = std::chrono::seconds(1);
/** Nodes that start together write their announcements within this time, so a second listing finds
 * those that the first one missed. */
constexpr Duration kSecondListingDelay = std::chrono::milliseconds(1500);
constexpr std::uint32_t kListingsAfterStart = 2;
/** Interval of listings while no live peer is known. */
constexpr Duration kNoPeerListingInterval = std::chrono::seconds(1);
/** Gossip spreads changes among connected nodes. A periodic listing finds nodes that gossip cannot
 * reach, such as a group that started separately. */
constexpr Duration kListingInterval = std::chrono::seconds(30);
/** The announcement is rewritten periodically, because a lost or late write may have removed it. */
constexpr Duration kAnnounceInterval = std::chrono::seconds(60);

/** While a key lease holds, the configuration is read again sooner, so that the lease need not end.
 */
Duration
RetryDelay(const NodeState& aState, ReduceContext& aContext, StoreTask aTask)
{
  const Duration delay =
    kBaseRetryDelay * (1U << std::min(aState.store_.failuresInRow_, kMaxRetryDoublings));
  const bool isUrgent = aTask == StoreTask::kConfiguration && RequiresKeyLease(aState) &&
                        IsHeld(aState.keyLease_, aContext.now_);
  return aContext.random_.Jitter(
    isUrgent ? std::min(delay, LeaseRetryDelay(*aState.settings_.keyRemovalBound_)) : delay);
}

Duration
TimeoutOf(const NodeState& aState, const StoreRequest& aRequest)
{
  Duration timeout = kCallTimeout;
  if (TaskOf(aRequest) == StoreTask::kConfiguration && RequiresKeyLease(aState)) {
    timeout = std::min(timeout, LeaseReadTime(*aState.settings_.keyRemovalBound_));
  }
  const auto* await = std::get_if<AwaitConfiguration>(&aRequest);
  return await == nullptr ? timeout : timeout + await->wait_;
}

bool
HasLivePeer(const NodeState& aState)
{
  const auto members = Members(aState.membership_);
  return std::any_of(members.begin(), members.end(), [](const MemberRecord& aMember) {
    return aMember.state_ <= MemberState::kDraining;
  });
}

/** Position of this node among the live nodes of its failure domain, ordered by id. */
struct DomainPosition
{
  int rank_ = 0;
  int nodes_ = 1;
};

DomainPosition
PositionInDomain(const NodeState& aState)
{
  const NodeIdentity& self = aState.settings_.identity_;
  DomainPosition position;
  for (const MemberRecord& member : Members(aState.membership_)) {
    if (member.state_ <= MemberState::kDraining && member.identity_.domain_ == self.domain_) {
      position.nodes_ += 1;
      position.rank_ += member.identity_.id_ < self.id_ ? 1 : 0;
    }
  }
  return position;
}

/** How long the next read waits for a change. Each node has a time of its own within the interval
 * of its failure domain, by the time of day, at which its reads end. So the ends stay apart
 * whatever made the nodes start their reads together: a change, a restart, an outage. Clocks that
 * differ move the ends of their nodes by the difference. */
Duration
ChangeWait(const NodeState& aState, const ReduceContext& aContext)
{
  const DomainPosition position = PositionInDomain(aState);
  auto interval = std::min(kDomainReadSpacing * position.nodes_, kMaxReadInterval);
  if (RequiresKeyLease(aState)) {
    interval = std::min(interval,
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                          LeaseReadTime(*aState.settings_.keyRemovalBound_)));
  }
  const auto endsAt = interval * position.rank_ / position.nodes_;
  const auto intervalMs = static_cast<std::uint64_t>(interval.count());
  const auto time = std::chrono::milliseconds(aContext.wallTimeMs_ % intervalMs);
  const auto wait = (endsAt - time + interval) % interval;
  if (wait >= kMinChangeWait) {
    return wait;
  }
  // A read that must renew a key lease ends before the next time of the node instead.
  return RequiresKeyLease(aState) ? interval : wait + interval;
}

/** Reads the list of nodes from its first page and writes the announcement of this node again. */
void
RestartListingAndAnnounce(StoreState& aStore, Instant aNow)
{
  aStore.completedListings_ = 0;
  aStore.listAfter_.clear();
  aStore.nextListAt_ = aNow;
  aStore.nextAnnounceAt_ = aNow;
}

void
SetStoreReachable(NodeState& aState,
                  ReduceContext& aContext,
                  StoreTask aTask,
                  bool aReachable,
                  const std::string& aDetail)
{
  StoreState& store = aState.store_;
  store.failuresInRow_ = aReachable ? 0 : store.failuresInRow_ + 1;
  const Duration silence = aContext.now_ - store.lastReplyAt_.value_or(aContext.now_);
  if (aReachable) {
    store.lastReplyAt_ = aContext.now_;
  }
  if (store.reachable_ == aReachable) {
    return;
  }
  store.reachable_ = aReachable;
  if (aReachable) {
    RestartListingAndAnnounce(store, aContext.now_);
  }
  aContext.effects_.push_back(LogLine{ aReachable ? "store_regained" : "store_lost",
                                       { { "task", std::string(ToString(aTask)) },
                                         { "detail", aDetail },
                                         { "since_reply_us", std::to_string(silence.count()) } } });
}

/** Whether the call was started in the era that is known now. A call from before the first answer
 * was.
 */
bool
IsStartedInCurrentEra(const StoreState& aStore, StoreTask aTask)
{
  const auto startedIn = aStore.callEras_.find(aTask);
  return startedIn == aStore.callEras_.end() || !startedIn->second ||
         startedIn->second == aStore.era_;
}

/** Records the era of the store that answered a call. Positions of another era are given out again,
 * so the newest configuration must be read. Announcements may be lost, also that of this node with
 * its departure. */
void
RecordEra(NodeState& aState, ReduceContext& aContext, StoreTask aTask, std::uint64_t aEra)
{
  StoreState& store = aState.store_;
  // A lower era is that of a late answer, unless the call was started after the higher one was
  // seen: then that one was wrong, and would make all later answers count as late.
  const auto startedIn = store.callEras_.find(aTask);
  const bool isStartedLater =
    startedIn != store.callEras_.end() && startedIn->second && startedIn->second == store.era_;
  const bool isLate = store.era_ && aEra < *store.era_ && !isStartedLater;
  if (store.era_ == aEra || isLate) {
    return;
  }
  const auto print = [](const std::optional<std::uint64_t>& aNumber) {
    return aNumber ? std::to_string(*aNumber) : std::string("none");
  };
  aContext.effects_.push_back(
    LogLine{ "store_era",
             { { "era", std::to_string(aEra) },
               { "previous", print(store.era_) },
               { "position", print(store.nextChange_) },
               { "config_version", std::to_string(ConfigOf(aState).version_) } } });
  if (store.era_) {
    RestartListingAndAnnounce(store, aContext.now_);
    store.announcedDeparture_.reset();
  }
  store.era_ = aEra;
  store.nextChange_.reset();
  store.nextPage_ = {};
}

/** Whether the call was started and answered in the current era, so that what it says about the
 * content of the store holds. */
bool
IsOfCurrentEra(const StoreState& aStore, const StoreCallFinished& aEvent)
{
  return IsStartedInCurrentEra(aStore, aEvent.task_) &&
         (!aEvent.era_ || aEvent.era_ == aStore.era_);
}

/** Logs and counts the end of the key lease. */
void
ExpireLease(NodeState& aState, ReduceContext& aContext)
{
  const bool wasHeld = aState.keyLease_.held_;
  aState.keyLease_ = ExpireKeyLease(aState.keyLease_, aContext.now_);
  if (!wasHeld || aState.keyLease_.held_ || !RequiresKeyLease(aState)) {
    return;
  }
  const Duration age = aContext.now_ - *aState.keyLease_.until_;
  aState.counters_.Add(CounterId::kKeyLeasesLost);
  aContext.effects_.push_back(
    LogLine{ "key_lease_lost",
             { { "ended_us_ago", std::to_string(age.count()) },
               { "config_version", std::to_string(ConfigOf(aState).version_) },
               { "store_reachable", aState.store_.reachable_ ? "1" : "0" } } });
}

/** Whether the reply to a read proves that this node has the newest configuration. A reply that
 * names no era proves it only where no other does. */
bool
IsProof(const StoreState& aStore,
        const ConfigurationRead& aReply,
        std::optional<std::uint64_t> aEra)
{
  return aReply.reachesEnd_ && aStore.hasDecodedNewest_ && aEra == aStore.era_;
}

void
RenewLease(NodeState& aState, ReduceContext& aContext)
{
  if (!aState.settings_.keyRemovalBound_) {
    return;
  }
  ExpireLease(aState, aContext);
  const bool hadLease = aState.keyLease_.held_;
  aState.keyLease_ = RenewKeyLease(aState.keyLease_,
                                   aState.store_.configurationReadStartedAt_,
                                   *aState.settings_.keyRemovalBound_,
                                   aContext.now_,
                                   aContext.wallTimeMs_);
  if (aState.keyLease_.held_ && !hadLease && RequiresKeyLease(aState)) {
    const Duration left = *aState.keyLease_.until_ - aContext.now_;
    aContext.effects_.push_back(
      LogLine{ "key_lease_regained",
               { { "left_us", std::to_string(left.count()) },
                 { "config_version", std::to_string(ConfigOf(aState).version_) } } });
  }
}

struct ReplyHandler
{
  NodeState& state_;
  ReduceContext& context_;
  StoreTask task_;
  bool isOfCurrentEra_ = true;
  std::optional<std::uint64_t> era_;

  void operator()(const ConfigurationRead& aReply) const
  {
    StoreState& store = state_.store_;
    SetStoreReachable(state_, context_, task_, true, "");
    store.readingConfiguration_ = false;
    store.nextChange_ = isOfCurrentEra_ && !aReply.continue_ ? aReply.next_ : std::nullopt;
    store.nextPage_ =
      isOfCurrentEra_ ? aReply.continue_.value_or(ReadConfiguration{}) : ReadConfiguration{};
    store.nextConfigurationReadAt_ = context_.now_;
    if (aReply.undecodable_ > 0) {
      context_.effects_.push_back(LogLine{ "store_records_unreadable",
                                           { { "count", std::to_string(aReply.undecodable_) } } });
    }
    if (aReply.configuration_) {
      AdoptConfiguration(state_, context_, *aReply.configuration_);
    }
    if (aReply.newest_ != NewestRecord::kNotIncluded) {
      store.hasDecodedNewest_ = aReply.newest_ == NewestRecord::kDecoded;
    }
    if (isOfCurrentEra_ && IsProof(store, aReply, era_)) {
      RenewLease(state_, context_);
    }
  }

  void operator()(const AnnouncementsListed& aReply) const
  {
    StoreState& store = state_.store_;
    SetStoreReachable(state_, context_, task_, true, "");
    store.listing_ = false;
    for (const MemberRecord& member : aReply.members_) {
      RecordListedNode(state_, member, context_.now_);
      ApplyGossipOutput(
        state_,
        context_,
        Apply(state_.membership_,
              HandleAnnouncement(std::move(state_.membership_), member, context_.now_)));
    }
    if (!isOfCurrentEra_) {
      return; // RecordEra() has made a listing due that starts at the first page.
    }
    store.listAfter_ = aReply.continueAfter_.value_or("");
    if (aReply.continueAfter_) {
      store.nextListAt_ = context_.now_;
      return;
    }
    store.completedListings_ += 1;
    store.listedAt_ = store.listedAt_.value_or(context_.now_);
    store.lastListingAt_ = context_.now_;
    const Duration delay =
      store.completedListings_ < kListingsAfterStart ? kSecondListingDelay : kListingInterval;
    store.nextListAt_ = context_.now_ + context_.random_.Jitter(delay);
  }

  void operator()(const AnnouncementWritten&) const
  {
    StoreState& store = state_.store_;
    SetStoreReachable(state_, context_, task_, true, "");
    store.announcing_ = false;
    if (!isOfCurrentEra_) {
      return; // RecordEra() has made another announcement due.
    }
    store.announcedDeparture_ = store.announcingDeparture_;
    store.nextAnnounceAt_ =
      context_.now_ +
      (IsDepartureStored(state_) ? context_.random_.Jitter(kAnnounceInterval) : Duration(0));
  }

  void operator()(const StoreFailed& aReply) const
  {
    StoreState& store = state_.store_;
    SetStoreReachable(state_, context_, task_, false, aReply.detail_);
    const Instant next = context_.now_ + RetryDelay(state_, context_, task_);
    switch (task_) {
      case StoreTask::kConfiguration:
        store.readingConfiguration_ = false;
        // The store may have returned from a copy, and a read from a position that it has given out
        // again waits without an answer that names the era.
        store.nextChange_.reset();
        store.nextPage_ = {};
        store.nextConfigurationReadAt_ = next;
        break;
      case StoreTask::kListing:
        store.listing_ = false;
        store.nextListAt_ = next;
        break;
      case StoreTask::kAnnouncement:
        store.announcing_ = false;
        store.nextAnnounceAt_ = next;
        break;
    }
  }
};

void
StartStoreCall(NodeState& aState, ReduceContext& aContext, StoreRequest aRequest)
{
  aState.store_.callEras_[TaskOf(aRequest)] = aState.store_.era_;
  const Duration timeout = TimeoutOf(aState, aRequest);
  aContext.effects_.push_back(CallStore{ std::move(aRequest), timeout });
}

/** A node that knows no live peer does not wait for the next regular listing. */
bool
IsListingDue(const NodeState& aState, const ReduceContext& aContext)
{
  const StoreState& store = aState.store_;
  if (aContext.now_ >= store.nextListAt_) {
    return true;
  }
  return store.reachable_ && aContext.now_ >= store.lastListingAt_ + kNoPeerListingInterval &&
         !HasLivePeer(aState);
}

} // namespace

void
HandleStoreCallFinished(NodeState& aState, ReduceContext& aContext, const StoreCallFinished& aEvent)
{
  if (aEvent.era_) {
    RecordEra(aState, aContext, aEvent.task_, *aEvent.era_);
  }
  const bool isOfCurrentEra = IsOfCurrentEra(aState.store_, aEvent);
  aState.store_.callEras_.erase(aEvent.task_);
  std::visit(ReplyHandler{ aState, aContext, aEvent.task_, isOfCurrentEra, aEvent.era_ },
             aEvent.reply_);
}

bool
IsDepartureStored(const NodeState& aState)
{
  return !aState.settings_.usesStore_ ||
         aState.store_.announcedDeparture_ == aState.membership_.self_.departure_;
}

void
AdvanceStore(NodeState& aState, ReduceContext& aContext)
{
  if (!aState.settings_.usesStore_) {
    return;
  }
  ExpireLease(aState, aContext);
  StoreState& store = aState.store_;
  if (!store.readingConfiguration_ && aContext.now_ >= store.nextConfigurationReadAt_) {
    store.readingConfiguration_ = true;
    if (store.nextChange_ || store.nextPage_.pagesBefore_ == 0) {
      store.configurationReadStartedAt_ = aContext.now_;
    }
    if (store.nextChange_) {
      StartStoreCall(
        aState, aContext, AwaitConfiguration{ *store.nextChange_, ChangeWait(aState, aContext) });
    } else {
      store.hasDecodedNewest_ = false;
      StartStoreCall(aState, aContext, store.nextPage_);
    }
  }
  // The first announcement replaces that of the previous process, whose departure must be read
  // before. A draining node announces nothing else, so that a late write does not bring it back.
  const bool mayAnnounce = store.listedAt_ && (!IsDraining(aState) || !IsDepartureStored(aState));
  if (!store.announcing_ && aContext.now_ >= store.nextAnnounceAt_ && mayAnnounce) {
    store.announcing_ = true;
    store.announcingDeparture_ = aState.membership_.self_.departure_;
    StartStoreCall(aState, aContext, WriteAnnouncement{ aState.membership_.self_ });
  }
  if (!store.listing_ && IsListingDue(aState, aContext)) {
    store.listing_ = true;
    StartStoreCall(aState, aContext, ListAnnouncements{ store.listAfter_ });
  }
}

} // namespace fulmarway
