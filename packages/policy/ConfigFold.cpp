#include "policy/ConfigFold.h"

#include <algorithm>
#include <utility>

namespace fulmarway {

namespace {

struct ApplyCommandVisitor
{
  Configuration& config_;

  void operator()(const DeclareService& aCommand)
  {
    ServiceSpec& service = config_.services_[aCommand.service_];
    service.name_ = aCommand.service_;
    service.slots_ = aCommand.slots_;
    service.connections_ = aCommand.connections_;
    service.longSharePercent_ = aCommand.longSharePercent_;
  }
  void operator()(const DeclareKind& aCommand)
  {
    config_.services_.at(aCommand.service_).kinds_[aCommand.kind_.name_] = aCommand.kind_;
  }
  void operator()(const SetPriority& aCommand)
  {
    config_.services_.at(aCommand.service_).kinds_.at(aCommand.kind_).importance_ =
      aCommand.importance_;
  }
  void operator()(const SetLimit& aCommand)
  {
    config_.services_.at(aCommand.service_).limit_ = aCommand.limit_;
  }
  void operator()(const SetDrain& aCommand)
  {
    if (aCommand.draining_) {
      config_.drained_.insert(aCommand.peerAddress_);
    } else {
      config_.drained_.erase(aCommand.peerAddress_);
    }
  }
};

/** Truncates names that are too long, so that a rejected command takes bounded space in the audit
 * trail. One byte above the limit is kept, so that a peer that applies the command rejects it too.
 */
struct TruncateNamesVisitor
{
  void operator()(DeclareService& aCommand) const { Truncate(aCommand.service_); }
  void operator()(DeclareKind& aCommand) const
  {
    Truncate(aCommand.service_);
    Truncate(aCommand.kind_.name_);
  }
  void operator()(SetPriority& aCommand) const
  {
    Truncate(aCommand.service_);
    Truncate(aCommand.kind_);
  }
  void operator()(SetLimit& aCommand) const { Truncate(aCommand.service_); }
  void operator()(SetDrain& aCommand) const { Truncate(aCommand.peerAddress_); }

  static void Truncate(std::string& aName)
  {
    if (aName.size() > kMaxNameBytes) {
      aName.resize(kMaxNameBytes + 1);
    }
  }
};

CommandRecord
TruncateNames(CommandRecord aRecord)
{
  TruncateNamesVisitor::Truncate(aRecord.operatorName_);
  std::visit(TruncateNamesVisitor{}, aRecord.command_);
  return aRecord;
}

/** Returns why the base version conflicts with the command, or nullopt. */
std::optional<std::string>
FindConflict(const ConfigState& aState, const CommandRecord& aRecord)
{
  const std::uint64_t version = aState.config_.version_;
  const std::string base = "base version " + std::to_string(aRecord.baseVersion_);
  if (version > kMaxBaseVersionLag && aRecord.baseVersion_ < version - kMaxBaseVersionLag) {
    return base + " is more than " + std::to_string(kMaxBaseVersionLag) +
           " changes behind version " + std::to_string(version);
  }
  const std::string subject = SubjectOf(aRecord.command_);
  const auto changed = aState.subjectVersions_.find(subject);
  if (changed != aState.subjectVersions_.end() && changed->second > aRecord.baseVersion_) {
    return subject + " changed at version " + std::to_string(changed->second) + ", after " + base;
  }
  return std::nullopt;
}

std::optional<std::string>
FindError(const ConfigState& aState, const CommandRecord& aRecord)
{
  if (aRecord.operatorName_.size() > kMaxNameBytes) {
    return "operator name: more than " + std::to_string(kMaxNameBytes) + " bytes";
  }
  if (aRecord.baseVersion_ > aState.config_.version_) {
    return "base version " + std::to_string(aRecord.baseVersion_) + " is above version " +
           std::to_string(aState.config_.version_);
  }
  return CheckCommand(aState.config_, aRecord.command_);
}

void
RecordSubjectChange(ConfigState& aState, const std::string& aSubject)
{
  const std::uint64_t version = aState.config_.version_;
  aState.subjectVersions_[aSubject] = version;
  if (version > kMaxBaseVersionLag) {
    std::erase_if(aState.subjectVersions_, [version](const auto& aEntry) {
      return aEntry.second <= version - kMaxBaseVersionLag;
    });
  }
}

std::optional<AuditEntry>
ApplyCommand(ConfigState& aState, const CommandRecord& aRecord, std::uint64_t aOffset)
{
  if (FindCommand(aState, aRecord.id_) != nullptr) {
    return std::nullopt;
  }
  AuditEntry entry{ TruncateNames(aRecord), aOffset, 0, CommandOutcome::kAccepted, {} };
  if (auto conflict = FindConflict(aState, entry.record_)) {
    entry.outcome_ = CommandOutcome::kConflict;
    entry.detail_ = std::move(*conflict);
  } else if (auto error = FindError(aState, entry.record_)) {
    entry.outcome_ = CommandOutcome::kRejected;
    entry.detail_ = std::move(*error);
  } else {
    std::visit(ApplyCommandVisitor{ aState.config_ }, entry.record_.command_);
    ++aState.config_.version_;
    RecordSubjectChange(aState, SubjectOf(entry.record_.command_));
  }
  entry.version_ = aState.config_.version_;
  aState.audit_.push_back(entry);
  if (aState.audit_.size() > kMaxAuditEntries) {
    aState.audit_.erase(aState.audit_.begin());
  }
  return entry;
}

/** Applies the pending records and marks the reader complete. The state must include every record
 * before them. */
void
CompleteReader(LogReader& aReader, std::vector<AuditEntry>& aApplied)
{
  for (const OffsetRecord& record : std::exchange(aReader.pending_, {})) {
    auto [state, entry] = ApplyRecord(std::move(aReader.state_), record);
    aReader.state_ = std::move(state);
    if (entry) {
      aApplied.push_back(std::move(*entry));
    }
  }
  // The pending range also covers records that change nothing, such as announcements.
  aReader.state_.nextOffset_ = std::max(aReader.state_.nextOffset_, aReader.pendingTo_);
  aReader.pendingFrom_ = 0;
  aReader.pendingTo_ = 0;
  aReader.complete_ = true;
}

/** Adopts a snapshot when no record is missing between it and the first pending one. */
void
CompleteFromSnapshot(LogReader& aReader,
                     const ConfigState& aSnapshot,
                     std::uint64_t aOffset,
                     std::vector<AuditEntry>& aApplied)
{
  // A snapshot cannot include records after its own offset, and one that ends before the first
  // pending record leaves a gap.
  if (aSnapshot.nextOffset_ > aOffset || aSnapshot.nextOffset_ < aReader.pendingFrom_) {
    return;
  }
  auto [state, adopted] = AdoptSnapshot(std::move(aReader.state_), aSnapshot);
  aReader.state_ = std::move(state);
  if (adopted) {
    CompleteReader(aReader, aApplied);
  }
}

void
EvictOldestPending(LogReader& aReader)
{
  if (aReader.pending_.size() <= kMaxPendingRecords) {
    return;
  }
  const auto firstKept = aReader.pending_.begin() + kMaxPendingRecords / 2;
  aReader.pendingFrom_ = std::prev(firstKept)->offset_ + 1;
  aReader.pending_.erase(aReader.pending_.begin(), firstKept);
}

void
ReadIncomplete(LogReader& aReader, const OffsetRecord& aRecord, std::vector<AuditEntry>& aApplied)
{
  aReader.pendingTo_ = aRecord.offset_ + 1;
  if (std::holds_alternative<CommandRecord>(aRecord.record_)) {
    aReader.pending_.push_back(aRecord);
    EvictOldestPending(aReader);
  } else if (const auto* snapshot = std::get_if<SnapshotRecord>(&aRecord.record_)) {
    CompleteFromSnapshot(aReader, snapshot->state_, aRecord.offset_, aApplied);
  }
}

/** Marks the reader incomplete when the records that it would read next have expired. */
void
DetectExpiredRecords(LogReader& aReader, std::uint64_t aEarliest, std::vector<AuditEntry>& aApplied)
{
  if (aEarliest > NextReadOffset(aReader)) {
    aReader.complete_ = false;
    aReader.pending_.clear();
    aReader.pendingFrom_ = aEarliest;
    aReader.pendingTo_ = aEarliest;
  } else if (!aReader.complete_ && aReader.pendingFrom_ <= aReader.state_.nextOffset_) {
    CompleteReader(aReader, aApplied);
  }
}

bool
AuditCoversFrom(const ConfigState& aState, std::uint64_t aOffset)
{
  return aState.audit_.size() < kMaxAuditEntries || aState.audit_.front().offset_ <= aOffset;
}

} // namespace

Step<ConfigState, std::optional<AuditEntry>>
ApplyRecord(ConfigState aState, const OffsetRecord& aRecord)
{
  std::optional<AuditEntry> entry;
  if (aRecord.offset_ >= aState.nextOffset_) {
    aState.nextOffset_ = aRecord.offset_ + 1;
    if (const auto* command = std::get_if<CommandRecord>(&aRecord.record_)) {
      entry = ApplyCommand(aState, *command, aRecord.offset_);
    }
  }
  return { std::move(aState), std::move(entry) };
}

Step<ConfigState, bool>
AdoptSnapshot(ConfigState aState, const ConfigState& aSnapshot)
{
  if (aSnapshot.nextOffset_ <= aState.nextOffset_ ||
      aSnapshot.config_.version_ < aState.config_.version_) {
    return { std::move(aState), false };
  }
  return { aSnapshot, true };
}

Step<LogReader, ReadResult>
ReadBatch(LogReader aReader, std::uint64_t aEarliest, const std::vector<OffsetRecord>& aRecords)
{
  ReadResult result;
  DetectExpiredRecords(aReader, aEarliest, result.applied_);
  for (const OffsetRecord& record : aRecords) {
    if (record.offset_ < NextReadOffset(aReader)) {
      continue;
    }
    if (const auto* announced = std::get_if<AnnouncementRecord>(&record.record_)) {
      result.announced_.push_back(announced->member_);
    }
    if (!aReader.complete_) {
      ReadIncomplete(aReader, record, result.applied_);
      continue;
    }
    auto [state, entry] = ApplyRecord(std::move(aReader.state_), record);
    aReader.state_ = std::move(state);
    if (entry) {
      result.applied_.push_back(std::move(*entry));
    }
  }
  return { std::move(aReader), std::move(result) };
}

std::uint64_t
NextReadOffset(const LogReader& aReader)
{
  return std::max(aReader.state_.nextOffset_, aReader.pendingTo_);
}

Step<LogReader, bool>
ApplyConfigReply(LogReader aReader, const ConfigReply& aReply)
{
  const std::uint64_t before = aReader.state_.nextOffset_;
  if (aReply.state_) {
    aReader.state_ = AdoptSnapshot(std::move(aReader.state_), *aReply.state_).state_;
  } else {
    for (const OffsetRecord& record : aReply.records_) {
      if (record.offset_ < aReply.nextOffset_) {
        aReader.state_ = ApplyRecord(std::move(aReader.state_), record).state_;
      }
    }
    aReader.state_.nextOffset_ = std::max(aReader.state_.nextOffset_, aReply.nextOffset_);
  }
  const bool fromCompletePeer = aReply.state_.has_value() || aReply.nextOffset_ > 0;
  if (!aReader.complete_ && fromCompletePeer &&
      aReader.pendingFrom_ <= aReader.state_.nextOffset_) {
    std::vector<AuditEntry> applied;
    CompleteReader(aReader, applied);
  }
  const bool advanced = aReader.state_.nextOffset_ > before;
  return { std::move(aReader), advanced };
}

ConfigReply
MakeConfigReply(const LogReader& aReader, const ConfigRequest& aRequest)
{
  ConfigReply reply;
  if (!aReader.complete_) {
    return reply;
  }
  const ConfigState& state = aReader.state_;
  reply.nextOffset_ = state.nextOffset_;
  if (aRequest.nextOffset_ == 0 || !AuditCoversFrom(state, aRequest.nextOffset_)) {
    reply.state_ = state;
    return reply;
  }
  for (const AuditEntry& entry : state.audit_) {
    if (entry.offset_ >= aRequest.nextOffset_) {
      reply.records_.push_back({ entry.offset_, entry.record_ });
    }
  }
  return reply;
}

std::optional<SnapshotRecord>
MakeSnapshot(const LogReader& aReader)
{
  if (!aReader.complete_) {
    return std::nullopt;
  }
  return SnapshotRecord{ aReader.state_ };
}

const AuditEntry*
FindCommand(const ConfigState& aState, CommandId aId)
{
  const auto found =
    std::find_if(aState.audit_.rbegin(), aState.audit_.rend(), [aId](const AuditEntry& aEntry) {
      return aEntry.record_.id_ == aId;
    });
  return found == aState.audit_.rend() ? nullptr : &*found;
}

} // namespace fulmarway
