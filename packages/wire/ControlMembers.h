/** \file
 * JSON names and members of the admin interface's documents. One function per document serves both
 * the writer and the reader: it calls aVisit(name, member) for each member.
 */
#pragma once

#include "model/ControlDocuments.h"

#include <type_traits>

namespace fulmarway {

/** Matches T and const T, so that one function serves writing and reading. */
template<typename Doc, typename T>
concept MaybeConst = std::is_same_v<std::remove_const_t<Doc>, T>;

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<CommandRequest> auto& aDoc)
{
  aVisit("commandId", aDoc.commandId_);
  aVisit("operator", aDoc.operator_);
  aVisit("baseVersion", aDoc.baseVersion_);
  aVisit("text", aDoc.text_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<CommandReply> auto& aDoc)
{
  aVisit("outcome", aDoc.outcome_);
  aVisit("version", aDoc.version_);
  aVisit("offset", aDoc.offset_);
  aVisit("detail", aDoc.detail_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<KindSpec> auto& aDoc)
{
  aVisit("name", aDoc.name_);
  aVisit("importance", aDoc.importance_);
  aVisit("idempotent", aDoc.idempotent_);
  aVisit("attempts", aDoc.extraAttempts_);
  aVisit("deadlineMs", aDoc.deadline_);
  aVisit("long", aDoc.longRunning_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<ServiceSpec> auto& aDoc)
{
  aVisit("name", aDoc.name_);
  aVisit("slots", aDoc.slots_);
  aVisit("connections", aDoc.connections_);
  aVisit("limit", aDoc.limit_);
  aVisit("longSharePercent", aDoc.longSharePercent_);
  aVisit("kinds", aDoc.kinds_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<ServicesDocument> auto& aDoc)
{
  aVisit("version", aDoc.version_);
  aVisit("services", aDoc.services_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<MemberView> auto& aDoc)
{
  aVisit("id", aDoc.id_);
  aVisit("address", aDoc.address_);
  aVisit("service", aDoc.service_);
  aVisit("domain", aDoc.domain_);
  aVisit("region", aDoc.region_);
  aVisit("state", aDoc.state_);
  aVisit("configVersion", aDoc.configVersion_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<MembersDocument> auto& aDoc)
{
  aVisit("members", aDoc.members_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<ConfigDocument> auto& aDoc)
{
  aVisit("version", aDoc.version_);
  aVisit("nextOffset", aDoc.nextOffset_);
  aVisit("complete", aDoc.complete_);
  aVisit("drained", aDoc.drained_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<ShedCount> auto& aDoc)
{
  aVisit("service", aDoc.service_);
  aVisit("kind", aDoc.kind_);
  aVisit("importance", aDoc.importance_);
  aVisit("reason", aDoc.reason_);
  aVisit("count", aDoc.count_);
  aVisit("side", aDoc.side_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<ShedDocument> auto& aDoc)
{
  aVisit("admitBelow", aDoc.level_.admitBelow_);
  aVisit("limit", aDoc.limit_);
  aVisit("counts", aDoc.counts_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<LoadDocument> auto& aDoc)
{
  aVisit("limit", aDoc.limit_);
  aVisit("running", aDoc.running_);
  aVisit("queued", aDoc.queued_);
  aVisit("admitBelow", aDoc.level_.admitBelow_);
  aVisit("connections", aDoc.connections_);
  aVisit("tickets", aDoc.tickets_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<SpillView> auto& aDoc)
{
  aVisit("service", aDoc.service_);
  aVisit("domain", aDoc.domain_);
  aVisit("reason", aDoc.reason_);
  aVisit("requests", aDoc.requests_);
  aVisit("bytes", aDoc.bytes_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<SpillShare> auto& aDoc)
{
  aVisit("service", aDoc.service_);
  aVisit("domain", aDoc.domain_);
  aVisit("perMille", aDoc.perMille_);
  aVisit("refused", aDoc.refused_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<SpillDocument> auto& aDoc)
{
  aVisit("maxPercent", aDoc.maxPercent_);
  aVisit("shares", aDoc.shares_);
  aVisit("counts", aDoc.counts_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<AuditLine> auto& aDoc)
{
  aVisit("timeMs", aDoc.wallTimeMs_);
  aVisit("commandId", aDoc.commandId_);
  aVisit("operator", aDoc.operator_);
  aVisit("text", aDoc.text_);
  aVisit("outcome", aDoc.outcome_);
  aVisit("version", aDoc.version_);
  aVisit("offset", aDoc.offset_);
  aVisit("detail", aDoc.detail_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<AuditDocument> auto& aDoc)
{
  aVisit("entries", aDoc.entries_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<RootRequestDecision> auto& aDoc)
{
  aVisit("offsetUs", aDoc.offsetUs_);
  aVisit("service", aDoc.service_);
  aVisit("kind", aDoc.kind_);
  aVisit("verdict", aDoc.verdict_);
  aVisit("reason", aDoc.reason_);
  aVisit("node", aDoc.node_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<WhyDocument> auto& aDoc)
{
  aVisit("click", aDoc.rootRequestId_);
  aVisit("decisions", aDoc.decisions_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<DomainInForce> auto& aDoc)
{
  aVisit("domain", aDoc.domain_);
  aVisit("members", aDoc.members_);
  aVisit("inForce", aDoc.inForce_);
  aVisit("reachable", aDoc.reachable_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<InForceDocument> auto& aDoc)
{
  aVisit("version", aDoc.version_);
  aVisit("domains", aDoc.domains_);
}

template<typename Visit>
void
VisitMembers(Visit& aVisit, MaybeConst<ErrorDocument> auto& aDoc)
{
  aVisit("error", aDoc.error_);
}

/** Number of values of an enumeration that has the values 0 to count - 1 and a ToString(). */
template<typename E>
inline constexpr std::uint8_t kEnumValueCount = 0;
template<>
inline constexpr std::uint8_t kEnumValueCount<ReplyOutcome> = kReplyOutcomeCount;
template<>
inline constexpr std::uint8_t kEnumValueCount<CommandOutcome> =
  static_cast<std::uint8_t>(CommandOutcome::kRejected) + 1;
template<>
inline constexpr std::uint8_t kEnumValueCount<Importance> = kImportanceCount;
template<>
inline constexpr std::uint8_t kEnumValueCount<MemberState> =
  static_cast<std::uint8_t>(MemberState::kLeft) + 1;
template<>
inline constexpr std::uint8_t kEnumValueCount<Verdict> = static_cast<std::uint8_t>(Verdict::kRan) +
                                                         1;
template<>
inline constexpr std::uint8_t kEnumValueCount<Reason> = kReasonCount;

} // namespace fulmarway
