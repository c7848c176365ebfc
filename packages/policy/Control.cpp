#include "policy/Control.h"

#include "policy/CommandFlow.h"
#include "policy/Inbound.h"

#include <algorithm>

namespace fulmarway {

namespace {

constexpr Duration kLogReadRetryDelay = std::chrono::seconds(1);
constexpr Duration kAnnounceRetryDelay = std::chrono::seconds(2);
constexpr Duration kConfigFetchInterval = std::chrono::milliseconds(200);
/** How long an in-force query waits for responses to its probes. */
constexpr Duration kInForceQueryTimeout = std::chrono::milliseconds(800);
/** A snapshot is due after this fraction of the retention time. Nodes with a higher rank wait
 * longer, so that usually only one writes it. */
constexpr int kSnapshotsPerRetention = 4;
constexpr int kMaxSnapshotRank = 5;

/** Indexes the keys of the accounts. The seed is drawn only where there are accounts, so that other
 * deployments draw the same random numbers as without this feature. */
void
IndexAccountKeys(NodeState& aState, ReduceContext& aContext)
{
  const auto& accounts = ConfigOf(aState).accounts_;
  aState.accountKeys_ =
    accounts ? MakeAccountKeys(*accounts, aContext.random_.Next()) : AccountKeys{};
  for (const std::size_t account : aState.accountKeys_.accountsWithTakenKeys_) {
    aContext.effects_.push_back(
      LogLine{ "account_key_taken", { { "account", (*accounts)[account].name_ } } });
  }
  if (accounts) {
    aContext.effects_.push_back(
      LogLine{ "accounts_in_force",
               { { "accounts", std::to_string(accounts->size()) },
                 { "keys", std::to_string(aState.accountKeys_.byHash_.size()) } } });
  }
}

/** Propagates a change of the configuration to the other modules. aSource names where it came from,
 * for the log. */
void
ApplyConfiguration(NodeState& aState, ReduceContext& aContext, const char* aSource)
{
  const Configuration& config = ConfigOf(aState);
  aState.outbound_.candidatesStale_ = true;
  IndexAccountKeys(aState, aContext);
  aContext.effects_.push_back(SetCallerLimits{ config.callerLimits_ });
  aState.outbound_.splits_ =
    RemoveUnconfiguredRoutes(std::move(aState.outbound_.splits_), config.routes_);
  const auto localService = config.services_.find(aState.settings_.identity_.service_);
  if (localService != config.services_.end()) {
    const ServiceSpec& service = localService->second;
    const AdmissionSettings settings{ service.slots_, service.limit_, service.longSharePercent_ };
    ApplyAdmission(
      aState,
      aContext,
      Apply(aState.admission_, Configure(std::move(aState.admission_), settings, aContext.now_)));
  }
  const std::uint32_t epoch = CurrentEpoch(aState.tickets_, aContext.now_);
  ApplyGossipOutput(aState,
                    aContext,
                    Apply(aState.membership_,
                          SetLocalVersions(std::move(aState.membership_),
                                           config.version_,
                                           epoch,
                                           aContext.random_.Next(),
                                           aContext.now_)));
  aContext.effects_.push_back(LogLine{
    "config_in_force", { { "version", std::to_string(config.version_) }, { "source", aSource } } });
}

/** Applies aChange to the reader, then the configuration when its version has risen. */
template<typename Change>
auto
ChangeReader(NodeState& aState, ReduceContext& aContext, const char* aSource, Change aChange)
{
  const std::uint64_t before = ConfigOf(aState).version_;
  auto result = Apply(aState.log_, aChange(std::move(aState.log_)));
  if (ConfigOf(aState).version_ > before) {
    ApplyConfiguration(aState, aContext, aSource);
  }
  return result;
}

/** Whether this node polls the log: as a delegate, while a command is pending, or while it has no
 * configuration. */
bool
ShouldPollLog(const NodeState& aState)
{
  return IsDelegate(aState.membership_) || !aState.control_.commands_.empty() ||
         ConfigOf(aState).version_ == 0;
}

void
PollLog(NodeState& aState, ReduceContext& aContext)
{
  ControlState& control = aState.control_;
  if (control.reading_ || aContext.now_ < control.nextReadAt_ || !ShouldPollLog(aState)) {
    return;
  }
  control.reading_ = true;
  aState.counters_.Add(CounterId::kLogReads);
  aContext.effects_.push_back(ReadLog{ NextReadOffset(aState.log_) });
}

void
AppendAnnouncement(NodeState& aState, ReduceContext& aContext)
{
  ControlState& control = aState.control_;
  if (control.announced_ || control.announcing_ || aContext.now_ < control.nextAnnounceAt_) {
    return;
  }
  control.announcing_ = true;
  aState.counters_.Add(CounterId::kLogAppends);
  aContext.effects_.push_back(
    AppendLog{ kAnnounceToken, AnnouncementRecord{ aState.membership_.self_ } });
}

/** Rank of this node among all live members, ordered by id. */
int
LiveRank(const NodeState& aState)
{
  int rank = 0;
  for (const MemberRecord& member : Members(aState.membership_)) {
    const bool isLive = member.state_ <= MemberState::kSuspect;
    rank += isLive && member.identity_.id_ < aState.settings_.identity_.id_ ? 1 : 0;
  }
  return rank;
}

void
AppendSnapshotIfDue(NodeState& aState, ReduceContext& aContext)
{
  ControlState& control = aState.control_;
  const Duration interval = aState.settings_.logRetention_ / kSnapshotsPerRetention;
  if (control.snapshotting_ || ConfigOf(aState).version_ == 0 || !IsDelegate(aState.membership_) ||
      aContext.now_ < control.lastSnapshotAt_ + interval) {
    return;
  }
  const Duration rankDelay =
    interval * std::min(LiveRank(aState), kMaxSnapshotRank) / kMaxSnapshotRank;
  if (aContext.now_ < control.lastSnapshotAt_ + interval + rankDelay) {
    return;
  }
  auto snapshot = MakeSnapshot(aState.log_);
  if (!snapshot) {
    return;
  }
  control.snapshotting_ = true;
  aState.counters_.Add(CounterId::kLogAppends);
  aContext.effects_.push_back(AppendLog{ kSnapshotToken, std::move(*snapshot) });
}

/** Counts the members of each failure domain, and those on which the version is in effect. */
std::vector<DomainInForce>
CountInForce(const NodeState& aState, const PendingInForce& aQuery)
{
  std::map<std::string, DomainInForce> domains;
  const auto count = [&](const MemberRecord& aMember, std::optional<std::uint64_t> aVersion) {
    DomainInForce& domain = domains[aMember.identity_.domain_];
    domain.domain_ = aMember.identity_.domain_;
    ++domain.members_;
    domain.reachable_ = domain.reachable_ || aVersion.has_value();
    domain.inForce_ += aVersion && *aVersion >= aQuery.version_ ? 1 : 0;
  };
  count(aState.membership_.self_, ConfigOf(aState).version_);
  for (const MemberRecord& member : Members(aState.membership_)) {
    if (member.state_ == MemberState::kLeft) {
      continue;
    }
    const auto answer = aQuery.answers_.find(member.identity_.id_);
    const bool hasAnswer = answer != aQuery.answers_.end();
    if (member.state_ == MemberState::kDead && !hasAnswer) {
      // A dead node is not counted, but its failure domain is listed even when no node there
      // responds.
      DomainInForce& domain = domains[member.identity_.domain_];
      domain.domain_ = member.identity_.domain_;
      continue;
    }
    count(member, hasAnswer ? std::optional(answer->second) : std::nullopt);
  }
  std::vector<DomainInForce> result;
  for (auto& [name, domain] : domains) {
    result.push_back(std::move(domain));
  }
  return result;
}

/** Whether every member that is not dead has responded. */
bool
HasAllResponses(const NodeState& aState, const PendingInForce& aQuery)
{
  for (const MemberRecord& member : Members(aState.membership_)) {
    if (member.state_ < MemberState::kDead && !aQuery.answers_.contains(member.identity_.id_)) {
      return false;
    }
  }
  return true;
}

void
AnswerInForceQueries(NodeState& aState, ReduceContext& aContext)
{
  auto& queries = aState.control_.inForce_;
  for (auto query = queries.begin(); query != queries.end();) {
    if (aContext.now_ < query->deadline_ && !HasAllResponses(aState, *query)) {
      ++query;
      continue;
    }
    aContext.effects_.push_back(
      ReplyInForce{ query->exchange_, { query->version_, CountInForce(aState, *query) } });
    query = queries.erase(query);
  }
}

bool
HasSnapshot(const std::vector<OffsetRecord>& aRecords)
{
  return std::any_of(aRecords.begin(), aRecords.end(), [](const OffsetRecord& aRecord) {
    return std::holds_alternative<SnapshotRecord>(aRecord.record_);
  });
}

void
SetLogReachable(NodeState& aState, ReduceContext& aContext, bool aReachable)
{
  if (aState.control_.logReachable_ != aReachable) {
    aState.control_.logReachable_ = aReachable;
    aContext.effects_.push_back(LogLine{ aReachable ? "log_service_up" : "log_service_down", {} });
  }
}

} // namespace

void
HandleLogRecordsRead(NodeState& aState, ReduceContext& aContext, const LogRecordsRead& aEvent)
{
  ControlState& control = aState.control_;
  control.reading_ = false;
  SetLogReachable(aState, aContext, true);
  if (HasSnapshot(aEvent.records_)) {
    control.lastSnapshotAt_ = aContext.now_;
  }
  const ReadResult result = ChangeReader(aState, aContext, "log", [&](LogReader aReader) {
    return ReadBatch(std::move(aReader), aEvent.earliest_, aEvent.records_);
  });
  for (const MemberRecord& member : result.announced_) {
    ApplyGossipOutput(
      aState,
      aContext,
      Apply(aState.membership_,
            HandleAnnouncement(std::move(aState.membership_), member, aContext.now_)));
  }
  CompleteCommands(aState, aContext, result.applied_);
  const bool hasMore = !aEvent.records_.empty() && aEvent.next_ < aEvent.latest_;
  control.nextReadAt_ = hasMore ? aContext.now_ : aContext.now_ + ReadInterval(aState);
}

void
HandleLogReadFailed(NodeState& aState, ReduceContext& aContext)
{
  aState.control_.reading_ = false;
  aState.control_.nextReadAt_ = aContext.now_ + aContext.random_.Jitter(kLogReadRetryDelay);
  aState.counters_.Add(CounterId::kLogReadFailures);
  SetLogReachable(aState, aContext, false);
}

void
HandleAppendFinished(NodeState& aState, ReduceContext& aContext, const AppendFinished& aEvent)
{
  ControlState& control = aState.control_;
  if (aEvent.result_ != AppendResult::kAppended) {
    aState.counters_.Add(CounterId::kLogAppendFailures);
  }
  if (aEvent.token_ == kAnnounceToken) {
    control.announcing_ = false;
    control.announced_ = aEvent.result_ == AppendResult::kAppended;
    control.nextAnnounceAt_ = aContext.now_ + aContext.random_.Jitter(kAnnounceRetryDelay);
  } else if (aEvent.token_ == kSnapshotToken) {
    control.snapshotting_ = false;
    control.lastSnapshotAt_ = aContext.now_;
  } else {
    RecordCommandAppend(aState, aContext, aEvent);
  }
}

void
HandleInForceQuery(NodeState& aState, ReduceContext& aContext, const InForceQueried& aEvent)
{
  PendingInForce query{
    aEvent.exchange_, aEvent.version_, aContext.now_ + kInForceQueryTimeout, {}
  };
  for (const MemberRecord& member : Members(aState.membership_)) {
    if (member.state_ == MemberState::kLeft) {
      continue;
    }
    GossipMessage message;
    message.sender_ = aState.settings_.identity_.id_;
    message.incarnation_ = aState.settings_.identity_.incarnation_;
    message.senderAddress_ = aState.settings_.identity_.peerAddress_;
    message.configVersion_ = ConfigOf(aState).version_;
    message.body_ = Probe{ aContext.random_.Next(), {} };
    aContext.effects_.push_back(SendGossip{ member.identity_.peerAddress_, std::move(message) });
  }
  aState.control_.inForce_.push_back(std::move(query));
}

void
HandleGossipVersion(NodeState& aState, ReduceContext& aContext, const GossipMessage& aMessage)
{
  ControlState& control = aState.control_;
  for (PendingInForce& query : control.inForce_) {
    query.answers_[aMessage.sender_] = aMessage.configVersion_;
  }
  if (aMessage.configVersion_ <= ConfigOf(aState).version_ ||
      aContext.now_ < control.nextFetchAt_) {
    return;
  }
  control.nextFetchAt_ = aContext.now_ + kConfigFetchInterval;
  aState.counters_.Add(CounterId::kConfigFetches);
  aContext.effects_.push_back(
    SendToPeer{ aMessage.sender_,
                aMessage.senderAddress_,
                ConfigRequest{ aState.settings_.usesStore_ ? 0 : aState.log_.state_.nextOffset_,
                               ConfigOf(aState).version_ } });
}

void
AdoptConfiguration(NodeState& aState, ReduceContext& aContext, Configuration aConfiguration)
{
  if (aConfiguration.version_ <= ConfigOf(aState).version_) {
    return;
  }
  ChangeReader(aState, aContext, "store", [&](LogReader aReader) {
    // Peers compare offsets, so without a log the version serves as the offset.
    aReader.state_.nextOffset_ = aConfiguration.version_;
    aReader.state_.config_ = std::move(aConfiguration);
    aReader.complete_ = true;
    return Step<LogReader, bool>{ std::move(aReader), true };
  });
}

void
HandleConfigRequest(NodeState& aState,
                    ReduceContext& aContext,
                    LinkId aLink,
                    const ConfigRequest& aRequest)
{
  aContext.effects_.push_back(SendToLink{ aLink, MakeConfigReply(aState.log_, aRequest) });
}

void
HandleConfigReply(NodeState& aState, ReduceContext& aContext, const ConfigReply& aReply)
{
  ChangeReader(aState, aContext, "peer", [&](LogReader aReader) {
    return ApplyConfigReply(std::move(aReader), aReply);
  });
  aState.control_.nextFetchAt_ = aContext.now_;
}

void
AdvanceControl(NodeState& aState, ReduceContext& aContext)
{
  AdvanceCommands(aState, aContext);
  if (!aState.settings_.usesStore_) {
    AppendAnnouncement(aState, aContext);
    PollLog(aState, aContext);
    AppendSnapshotIfDue(aState, aContext);
  }
  AnswerInForceQueries(aState, aContext);
}

} // namespace fulmarway
