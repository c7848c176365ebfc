#include "policy/TicketTable.h"

#include <utility>

namespace fulmarway {

namespace {

TicketDecision
MakeRefusal(Verdict aVerdict, Reason aReason)
{
  TicketDecision decision;
  decision.refusal_ = { aVerdict, aReason, std::nullopt };
  return decision;
}

TicketDecision
MakeDecision(TicketAction aAction)
{
  TicketDecision decision;
  decision.action_ = aAction;
  return decision;
}

AnswerCacheLimits
CacheLimitsOf(const TicketSettings& aSettings)
{
  return { aSettings.maxAnswerBytes_, aSettings.maxBodyBytes_ };
}

ExecutorKey
LocalExecutorKey(const TicketTable& aTable)
{
  return { aTable.self_, aTable.incarnation_ };
}

ExecutorTickets*
FindExecutor(TicketTable& aTable, const Ticket& aTicket)
{
  const auto found = aTable.executors_.find(ExecutorOf(aTicket));
  return found == aTable.executors_.end() ? nullptr : &found->second;
}

TicketEntry*
FindEntry(TicketTable& aTable, const Ticket& aTicket)
{
  ExecutorTickets* executor = FindExecutor(aTable, aTicket);
  return executor == nullptr ? nullptr : FindEntry(*executor, aTicket);
}

bool
IsRunning(TicketTable& aTable, const Ticket& aTicket)
{
  const TicketEntry* entry = FindEntry(aTable, aTicket);
  return entry != nullptr && entry->phase_ == TicketPhase::kRunning;
}

TicketDecision
JoinExecution(TicketTable& aTable, const Ticket& aTicket, RequestId aRequester)
{
  return AddWaiter(aTable.unfinished_[aTicket], aRequester)
           ? MakeDecision(TicketAction::kJoined)
           : MakeRefusal(Verdict::kMayHaveRun, Reason::kRepeatLimit);
}

TicketDecision
DecideFinished(const TicketTable& aTable, const TicketEntry& aEntry)
{
  switch (aEntry.finalState_) {
    case TicketFinalState::kClosed:
      return MakeRefusal(Verdict::kNotRun, aEntry.reason_);
    case TicketFinalState::kMayHaveRun:
      return MakeRefusal(Verdict::kMayHaveRun, aEntry.reason_);
    case TicketFinalState::kAnswered:
    case TicketFinalState::kAnsweredNotCached:
      break;
  }
  TicketDecision decision = MakeRefusal(Verdict::kRan, Reason::kAnswerNotKept);
  if (auto answer = FindCachedAnswer(aTable.answerCache_, aEntry.answer_)) {
    decision = MakeDecision(TicketAction::kReplay);
    decision.answer_ = std::move(answer);
  }
  return decision;
}

TicketDecision
DecideRetry(TicketTable& aTable,
            const TicketEntry& aEntry,
            const Ticket& aTicket,
            std::uint64_t aDigest,
            RequestId aRequester)
{
  const bool finished = aEntry.phase_ == TicketPhase::kFinished;
  if (aEntry.digest_ != aDigest) {
    const bool closed = finished && aEntry.finalState_ == TicketFinalState::kClosed;
    return MakeRefusal(closed ? Verdict::kNotRun : Verdict::kMayHaveRun, Reason::kRequestMismatch);
  }
  return finished ? DecideFinished(aTable, aEntry) : JoinExecution(aTable, aTicket, aRequester);
}

/** Removes expired tickets of all executors, at most kMaxExpirationsPerEvent. */
void
ExpireTickets(TicketTable& aTable)
{
  std::size_t budget = kMaxExpirationsPerEvent;
  for (auto& [key, tickets] : aTable.executors_) {
    const std::size_t expired =
      ExpireTickets(tickets, aTable.answerCache_, aTable.settings_.windowEpochs_, budget);
    budget -= expired;
    aTable.ticketCount_ -= expired;
  }
}

/** Whether the table is full even after the removal of expired tickets. */
bool
IsFull(TicketTable& aTable)
{
  if (aTable.ticketCount_ >= aTable.settings_.maxTickets_) {
    ExpireTickets(aTable);
  }
  return aTable.ticketCount_ >= aTable.settings_.maxTickets_;
}

TicketDecision
DecideNew(TicketTable& aTable,
          ExecutorTickets& aExecutor,
          const Ticket& aTicket,
          std::uint64_t aDigest,
          RequestId aRequester)
{
  if (IsExpired(aTicket.epoch_, aExecutor.latestEpoch_, aTable.settings_.windowEpochs_)) {
    return MakeRefusal(Verdict::kMayHaveRun, Reason::kTicketExpired);
  }
  if (aTicket.epoch_ > std::uint64_t{ aExecutor.latestEpoch_ } + 1) {
    return MakeRefusal(Verdict::kMayHaveRun, Reason::kTicketInvalid);
  }
  const std::uint64_t bucket = BucketOf(KeyOf(aTicket));
  if (IsFull(aTable)) {
    aExecutor.epochs_[aTicket.epoch_].closedBuckets_ |= bucket;
  }
  if ((aExecutor.epochs_[aTicket.epoch_].closedBuckets_ & bucket) != 0) {
    return MakeRefusal(Verdict::kNotRun, Reason::kTicketTableFull);
  }
  AddEntry(aExecutor, aTicket, aDigest);
  ++aTable.ticketCount_;
  AddWaiter(aTable.unfinished_[aTicket], aRequester);
  return MakeDecision(TicketAction::kExecute);
}

/** Finishes a queued or running ticket and returns its waiters. */
Waiters
FinishTicket(TicketTable& aTable,
             const Ticket& aTicket,
             TicketFinalState aFinalState,
             Reason aReason)
{
  TicketEntry& entry = *FindEntry(aTable, aTicket);
  entry.phase_ = TicketPhase::kFinished;
  entry.finalState_ = aFinalState;
  entry.reason_ = aReason;
  auto unfinished = aTable.unfinished_.extract(aTicket);
  return std::move(unfinished.mapped().waiters_);
}

/** Adds the tickets of one executor that were handed over to this node. */
void
AddHandedTable(TicketTable& aTable, const HandoverTable& aHanded, Instant aNow)
{
  aTable.ticketCount_ += aHanded.tickets_.size();
  aTable.executors_.emplace(
    ExecutorKey{ aHanded.executor_, aHanded.incarnation_ },
    FromHandoverTable(aHanded, aTable.answerCache_, CacheLimitsOf(aTable.settings_), aNow));
}

bool
CanAddHandedTables(const TicketTable& aTable, const std::vector<HandoverTable>& aTables)
{
  std::size_t tickets = aTable.ticketCount_;
  for (const HandoverTable& table : aTables) {
    tickets += table.tickets_.size();
    if (aTable.executors_.contains({ table.executor_, table.incarnation_ })) {
      return false;
    }
  }
  return tickets <= aTable.settings_.maxTickets_ &&
         aTable.executors_.size() + aTables.size() <= kMaxExecutorsPerNode &&
         aTable.received_.accepted_.size() < kMaxAcceptedHandovers;
}

} // namespace

TicketTable
MakeTicketTable(const TicketSettings& aSettings,
                NodeId aSelf,
                Incarnation aIncarnation,
                Instant aNow)
{
  TicketTable table;
  table.settings_ = aSettings;
  table.self_ = aSelf;
  table.incarnation_ = aIncarnation;
  table.startedAt_ = aNow;
  table.executors_[LocalExecutorKey(table)].baseTime_ = aNow;
  return table;
}

std::uint32_t
CurrentEpoch(const TicketTable& aTable, Instant aNow)
{
  return EpochAt(
    aTable.executors_.at(LocalExecutorKey(aTable)), aTable.settings_.epochLength_, aNow);
}

Step<TicketTable, TicketDecision>
PresentTicket(TicketTable aTable,
              const Ticket& aTicket,
              std::uint64_t aDigest,
              RequestId aRequester,
              Instant aNow)
{
  if (aTable.successor_) {
    TicketDecision moved = MakeRefusal(Verdict::kMayHaveRun, Reason::kTicketMoved);
    moved.successor_ = aTable.successor_->executor_;
    return { std::move(aTable), moved };
  }
  ExecutorTickets* executor = FindExecutor(aTable, aTicket);
  if (executor == nullptr) {
    return { std::move(aTable), MakeRefusal(Verdict::kMayHaveRun, Reason::kTicketOfLostExecutor) };
  }
  executor->latestEpoch_ = EpochAt(*executor, aTable.settings_.epochLength_, aNow);
  const TicketEntry* entry = FindEntry(*executor, aTicket);
  TicketDecision decision = entry != nullptr
                              ? DecideRetry(aTable, *entry, aTicket, aDigest, aRequester)
                              : DecideNew(aTable, *executor, aTicket, aDigest, aRequester);
  return { std::move(aTable), std::move(decision) };
}

Step<TicketTable, bool>
StartTicket(TicketTable aTable, const Ticket& aTicket)
{
  TicketEntry* entry = aTable.successor_ ? nullptr : FindEntry(aTable, aTicket);
  const bool canStart = entry != nullptr && entry->phase_ == TicketPhase::kQueued;
  if (canStart) {
    entry->phase_ = TicketPhase::kRunning;
  }
  return { std::move(aTable), canStart };
}

TicketTable
RevertStart(TicketTable aTable, const Ticket& aTicket)
{
  TicketEntry* entry = FindEntry(aTable, aTicket);
  if (entry != nullptr && entry->phase_ == TicketPhase::kRunning) {
    entry->phase_ = TicketPhase::kQueued;
  }
  return aTable;
}

Step<TicketTable, Waiters>
CompleteTicket(TicketTable aTable, const Ticket& aTicket, const Answer& aAnswer)
{
  TicketEntry* entry = FindEntry(aTable, aTicket);
  if (entry == nullptr || entry->phase_ != TicketPhase::kRunning) {
    return { std::move(aTable), {} };
  }
  entry->answer_ = CacheAnswer(aTable.answerCache_, aAnswer, CacheLimitsOf(aTable.settings_));
  Waiters waiters = FinishTicket(aTable,
                                 aTicket,
                                 entry->answer_ == kNoAnswer ? TicketFinalState::kAnsweredNotCached
                                                             : TicketFinalState::kAnswered,
                                 Reason::kNone);
  return { std::move(aTable), std::move(waiters) };
}

Step<TicketTable, Waiters>
CloseTicket(TicketTable aTable, const Ticket& aTicket, Reason aReason)
{
  const TicketEntry* entry = FindEntry(aTable, aTicket);
  if (entry == nullptr || entry->phase_ != TicketPhase::kQueued) {
    return { std::move(aTable), {} };
  }
  Waiters waiters = FinishTicket(aTable, aTicket, TicketFinalState::kClosed, aReason);
  return { std::move(aTable), std::move(waiters) };
}

Step<TicketTable, Waiters>
AbandonTicket(TicketTable aTable, const Ticket& aTicket, Reason aReason)
{
  const TicketEntry* entry = FindEntry(aTable, aTicket);
  if (entry == nullptr || entry->phase_ == TicketPhase::kFinished) {
    return { std::move(aTable), {} };
  }
  Waiters waiters = FinishTicket(aTable, aTicket, TicketFinalState::kMayHaveRun, aReason);
  return { std::move(aTable), std::move(waiters) };
}

Step<TicketTable, std::size_t>
RemoveTicketWaiter(TicketTable aTable, const Ticket& aTicket, RequestId aRequester)
{
  const auto unfinished = aTable.unfinished_.find(aTicket);
  if (unfinished == aTable.unfinished_.end()) {
    return { std::move(aTable), 0 };
  }
  Waiters& waiters = unfinished->second.waiters_;
  std::erase(waiters, aRequester);
  const std::size_t remaining = waiters.size();
  return { std::move(aTable), remaining };
}

TicketTable
AdvanceTickets(TicketTable aTable, Instant aNow)
{
  ExpireIncompleteHandovers(aTable.received_, aNow);
  if (aTable.successor_) {
    // Another call of BeginHandover() must return the same parts, so the tables must not change.
    return aTable;
  }
  for (auto& [key, tickets] : aTable.executors_) {
    tickets.latestEpoch_ = EpochAt(tickets, aTable.settings_.epochLength_, aNow);
  }
  ExpireTickets(aTable);
  std::erase_if(aTable.executors_, [&aTable](const auto& aItem) {
    return aItem.first != LocalExecutorKey(aTable) &&
           AllTicketsExpired(aItem.second, aTable.settings_.windowEpochs_);
  });
  return aTable;
}

std::size_t
CountUnfinishedTickets(const TicketTable& aTable)
{
  return aTable.unfinished_.size();
}

std::size_t
TicketCount(const TicketTable& aTable)
{
  return aTable.ticketCount_;
}

Step<TicketTable, std::optional<Ticket>>
FindOrInsertChildTicket(TicketTable aTable, const ChildTicketRequest& aRequest)
{
  if (!IsRunning(aTable, aRequest.parent_)) {
    return { std::move(aTable), std::nullopt };
  }
  const std::optional<Ticket> child = FindOrInsertChild(
    aTable.unfinished_.at(aRequest.parent_), aRequest.callIndex_, aRequest.proposed_);
  return { std::move(aTable), child };
}

TicketTable
ReleaseChildTicket(TicketTable aTable,
                   const Ticket& aParent,
                   std::uint32_t aCallIndex,
                   const Ticket& aRefused)
{
  const auto parent = aTable.unfinished_.find(aParent);
  if (parent != aTable.unfinished_.end()) {
    ReleaseChild(parent->second, aCallIndex, aRefused);
  }
  return aTable;
}

Step<TicketTable, std::vector<Handover>>
BeginHandover(TicketTable aTable,
              NodeId aSuccessor,
              Incarnation aSuccessorIncarnation,
              Instant aNow)
{
  const ExecutorKey successor{ aSuccessor, aSuccessorIncarnation };
  if (!aTable.unfinished_.empty() || aSuccessor == NodeId{} || aSuccessor == aTable.self_ ||
      (aTable.successor_ && *aTable.successor_ != successor)) {
    return { std::move(aTable), {} };
  }
  if (!aTable.successor_) {
    aTable.successor_ = successor;
    aTable.received_.incomplete_.clear();
    for (auto& [key, tickets] : aTable.executors_) {
      tickets.latestEpoch_ = EpochAt(tickets, aTable.settings_.epochLength_, aNow);
    }
  }
  std::vector<Handover> parts = MakeHandoverParts(LocalExecutorKey(aTable),
                                                  successor,
                                                  aTable.executors_,
                                                  aTable.answerCache_,
                                                  aTable.settings_.maxHandoverPartBytes_);
  return { std::move(aTable), std::move(parts) };
}

Step<TicketTable, std::optional<bool>>
ReceiveHandoverPart(TicketTable aTable, const Handover& aPart, Instant aNow)
{
  const ExecutorKey from{ aPart.from_, aPart.incarnation_ };
  const ExecutorKey successor{ aPart.successor_, aPart.successorIncarnation_ };
  if (successor != LocalExecutorKey(aTable)) {
    return { std::move(aTable), std::nullopt };
  }
  if (aTable.received_.accepted_.contains(from)) {
    return { std::move(aTable), true };
  }
  if (aTable.successor_) {
    return { std::move(aTable), std::nullopt };
  }
  const HandoverLimits limits{ aTable.settings_.maxTickets_, aTable.settings_.maxAnswerBytes_ };
  const PartOutcome outcome = CollectPart(aTable.received_, aPart, limits, aNow);
  if (outcome == PartOutcome::kRefused) {
    return { std::move(aTable), std::nullopt };
  }
  if (outcome == PartOutcome::kMissingParts) {
    return { std::move(aTable), false };
  }
  const std::vector<HandoverTable> tables = ExtractTables(aTable.received_, from);
  if (!CanAddHandedTables(aTable, tables)) {
    return { std::move(aTable), std::nullopt };
  }
  for (const HandoverTable& table : tables) {
    AddHandedTable(aTable, table, aNow);
  }
  aTable.received_.accepted_.insert(from);
  return { std::move(aTable), true };
}

Step<TicketTable, bool>
ConfirmHandover(TicketTable aTable, const HandoverAccepted& aAccepted)
{
  const bool isFirstConfirmation =
    aTable.successor_ && !aTable.handoverConfirmed_ &&
    ExecutorKey{ aAccepted.from_, aAccepted.incarnation_ } == LocalExecutorKey(aTable);
  aTable.handoverConfirmed_ = aTable.handoverConfirmed_ || isFirstConfirmation;
  return { std::move(aTable), isFirstConfirmation };
}

bool
HoldsTickets(const TicketTable& aTable, const ExecutorKey& aExecutor)
{
  return aTable.executors_.contains(aExecutor);
}

NodeId
SuccessorOf(const TicketTable& aTable)
{
  return aTable.successor_ ? aTable.successor_->executor_ : NodeId{};
}

} // namespace fulmarway
