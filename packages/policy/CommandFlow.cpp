#include "policy/CommandFlow.h"

#include "policy/Control.h"

namespace fulmarway {

namespace {

constexpr Duration kCommandTimeout = std::chrono::seconds(5);
constexpr Duration kCommandAppendRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kCommandReadInterval = std::chrono::milliseconds(50);

void
Reply(ReduceContext& aContext, ExchangeId aExchange, const AuditEntry& aEntry)
{
  aContext.effects_.push_back(ReplyToCommand{
    aExchange,
    { ReplyOutcomeOf(aEntry.outcome_), aEntry.version_, aEntry.offset_, aEntry.detail_ } });
}

void
Append(NodeState& aState, ReduceContext& aContext, std::uint64_t aToken, PendingCommand& aCommand)
{
  aCommand.appending_ = true;
  aState.counters_.Add(CounterId::kLogAppends);
  aContext.effects_.push_back(AppendLog{ aToken, aCommand.record_ });
}

CommandReply
TimedOutReply(std::uint64_t aVersion, bool aMayTakeEffect)
{
  if (aMayTakeEffect) {
    return { ReplyOutcome::kUnknown,
             aVersion,
             0,
             "the command may still take effect; query its outcome by its id" };
  }
  return { ReplyOutcome::kUnavailable,
           aVersion,
           0,
           "the log service does not accept appends; the command has no effect, retry it" };
}

} // namespace

Duration
ReadInterval(const NodeState& aState)
{
  return aState.control_.commands_.empty() ? aState.settings_.logPollInterval_
                                           : kCommandReadInterval;
}

void
HandleCommand(NodeState& aState, ReduceContext& aContext, const CommandArrived& aEvent)
{
  if (const AuditEntry* applied = FindCommand(aState.log_.state_, aEvent.id_)) {
    Reply(aContext, aEvent.exchange_, *applied);
    return;
  }
  const std::uint64_t version = ConfigOf(aState).version_;
  const auto error = CheckCommand(ConfigOf(aState), aEvent.command_);
  if (error) {
    aContext.effects_.push_back(
      ReplyToCommand{ aEvent.exchange_, { ReplyOutcome::kInvalid, version, 0, *error } });
    return;
  }
  ControlState& control = aState.control_;
  if (control.commands_.size() >= kMaxPendingCommands) {
    aContext.effects_.push_back(ReplyToCommand{
      aEvent.exchange_,
      { ReplyOutcome::kUnavailable, version, 0, "too many pending commands; retry later" } });
    return;
  }
  PendingCommand command;
  command.exchange_ = aEvent.exchange_;
  command.record_ = { aEvent.id_,
                      aEvent.operatorName_,
                      aEvent.baseVersion_ == 0 ? version : aEvent.baseVersion_,
                      aContext.wallTimeMs_,
                      aEvent.command_ };
  command.deadline_ = aContext.now_ + kCommandTimeout;
  const std::uint64_t token = control.nextToken_++;
  Append(aState, aContext, token, control.commands_.emplace(token, command).first->second);
}

void
CompleteCommands(NodeState& aState,
                 ReduceContext& aContext,
                 const std::vector<AuditEntry>& aApplied)
{
  auto& commands = aState.control_.commands_;
  for (const AuditEntry& entry : aApplied) {
    for (auto command = commands.begin(); command != commands.end();) {
      if (command->second.record_.id_ != entry.record_.id_) {
        ++command;
        continue;
      }
      Reply(aContext, command->second.exchange_, entry);
      command = commands.erase(command);
    }
  }
}

void
RecordCommandAppend(NodeState& aState, ReduceContext& aContext, const AppendFinished& aEvent)
{
  const auto found = aState.control_.commands_.find(aEvent.token_);
  if (found == aState.control_.commands_.end()) {
    return;
  }
  PendingCommand& command = found->second;
  command.appending_ = false;
  if (aEvent.result_ == AppendResult::kRefused) {
    command.nextAppendAt_ = aContext.now_ + aContext.random_.Jitter(kCommandAppendRetryDelay);
    return;
  }
  command.mayBeAppended_ = true;
  aState.control_.nextReadAt_ = aContext.now_;
}

void
AdvanceCommands(NodeState& aState, ReduceContext& aContext)
{
  auto& commands = aState.control_.commands_;
  for (auto entry = commands.begin(); entry != commands.end();) {
    PendingCommand& command = entry->second;
    // A configuration fetched from a peer may already include the command.
    if (const AuditEntry* applied = FindCommand(aState.log_.state_, command.record_.id_)) {
      Reply(aContext, command.exchange_, *applied);
      entry = commands.erase(entry);
    } else if (aContext.now_ >= command.deadline_) {
      const bool mayTakeEffect = command.mayBeAppended_ || command.appending_;
      aContext.effects_.push_back(ReplyToCommand{
        command.exchange_, TimedOutReply(ConfigOf(aState).version_, mayTakeEffect) });
      entry = commands.erase(entry);
    } else {
      if (!command.mayBeAppended_ && !command.appending_ &&
          aContext.now_ >= command.nextAppendAt_) {
        Append(aState, aContext, entry->first, command);
      }
      ++entry;
    }
  }
}

} // namespace fulmarway
