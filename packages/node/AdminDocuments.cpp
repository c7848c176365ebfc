#include "node/AdminDocuments.h"

#include <algorithm>

namespace fulmarway {

namespace {

MemberView
MakeMemberView(const MemberRecord& aRecord)
{
  const NodeIdentity& identity = aRecord.identity_;
  return { identity.id_,     identity.peerAddress_, identity.service_,     identity.domain_,
           identity.region_, aRecord.state_,        aRecord.configVersion_ };
}

} // namespace

ServicesDocument
MakeServicesDocument(const NodeState& aState)
{
  ServicesDocument document{ ConfigOf(aState).version_, {} };
  for (const auto& [name, service] : ConfigOf(aState).services_) {
    document.services_.push_back(service);
  }
  return document;
}

MembersDocument
MakeMembersDocument(const NodeState& aState)
{
  MembersDocument document;
  document.members_.push_back(MakeMemberView(aState.membership_.self_));
  document.members_.front().configVersion_ = ConfigOf(aState).version_;
  for (const MemberRecord& record : Members(aState.membership_)) {
    document.members_.push_back(MakeMemberView(record));
  }
  std::sort(document.members_.begin(),
            document.members_.end(),
            [](const MemberView& aLeft, const MemberView& aRight) {
              return std::tie(aLeft.domain_, aLeft.service_, aLeft.address_) <
                     std::tie(aRight.domain_, aRight.service_, aRight.address_);
            });
  return document;
}

ConfigDocument
MakeConfigDocument(const NodeState& aState)
{
  const Configuration& config = ConfigOf(aState);
  return { config.version_,
           aState.log_.state_.nextOffset_,
           aState.log_.complete_,
           { config.drained_.begin(), config.drained_.end() } };
}

ShedDocument
MakeShedDocument(const NodeState& aState)
{
  ShedDocument document{ LevelOf(aState.admission_), LimitOf(aState.admission_), {} };
  for (const auto& [key, count] : aState.counters_.refusals_) {
    if (key.verdict_ == Verdict::kNotRun) {
      document.counts_.push_back({ key.service_,
                                   key.kind_,
                                   key.importance_,
                                   key.reason_,
                                   count,
                                   std::string(ToString(key.side_)) });
    }
  }
  return document;
}

SpillDocument
MakeSpillDocument(const NodeState& aState)
{
  constexpr double kPerMille = 1000;
  const auto& percent = aState.routing_.spill_.settings_.maxPercent_;
  SpillDocument document{ percent ? std::to_string(*percent) : "", {}, {} };
  for (const auto& [service, spill] : aState.routing_.spill_.services_) {
    for (const auto& [domain, destination] : spill.destinations_) {
      const auto refused = aState.counters_.refusedSpills_.find({ service, domain });
      document.shares_.push_back(
        { service,
          domain,
          static_cast<std::uint32_t>(destination.share_ * kPerMille),
          refused == aState.counters_.refusedSpills_.end() ? 0 : refused->second });
    }
  }
  for (const auto& [key, count] : aState.counters_.spills_) {
    document.counts_.push_back({ key.service_,
                                 key.domain_,
                                 std::string(ToString(key.reason_)),
                                 count.requests_,
                                 count.bytes_ });
  }
  return document;
}

LoadDocument
MakeLoadDocument(const NodeState& aState, std::size_t aConnections)
{
  return { LimitOf(aState.admission_),
           RunningCount(aState.admission_),
           QueuedCount(aState.admission_),
           LevelOf(aState.admission_),
           static_cast<std::uint32_t>(aConnections),
           static_cast<std::uint32_t>(TicketCount(aState.tickets_)) };
}

AuditDocument
MakeAuditDocument(const NodeState& aState, std::size_t aLast)
{
  const auto& audit = aState.log_.state_.audit_;
  AuditDocument document;
  const std::size_t skipped = audit.size() - std::min(audit.size(), aLast);
  for (std::size_t index = skipped; index < audit.size(); ++index) {
    document.entries_.push_back(AuditLineOf(audit[index]));
  }
  return document;
}

WhyDocument
MakeWhyDocument(const NodeState& aState, const std::string& aRootRequestId)
{
  WhyDocument document{ aRootRequestId, {} };
  std::optional<Instant> first;
  for (const TraceEntry& entry : aState.counters_.trace_) {
    if (entry.rootRequestId_ != aRootRequestId) {
      continue;
    }
    first = first.value_or(entry.at_);
    document.decisions_.push_back({ static_cast<std::uint64_t>((entry.at_ - *first).count()),
                                    entry.service_,
                                    entry.kind_,
                                    entry.verdict_,
                                    entry.reason_,
                                    aState.settings_.identity_.peerAddress_ });
  }
  return document;
}

CommandReply
FindCommandReply(const NodeState& aState, CommandId aId)
{
  const AuditEntry* entry = FindCommand(aState.log_.state_, aId);
  if (entry == nullptr) {
    return { ReplyOutcome::kUnknown, ConfigOf(aState).version_, 0, "no command with this id" };
  }
  return { ReplyOutcomeOf(entry->outcome_), entry->version_, entry->offset_, entry->detail_ };
}

} // namespace fulmarway
