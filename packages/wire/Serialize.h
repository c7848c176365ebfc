/** \file
 * cereal serialization of the value types that are sent between nodes or stored in the log. The
 * order of the members in each function is the wire format.
 */
#pragma once

#include "model/Config.h"
#include "model/PeerMessage.h"

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <type_traits>

namespace fulmarway {

namespace wire_detail {

/** Reads or writes an enumeration as one byte; rejects a value above kLast. */
template<auto kLast>
struct CheckedEnum
{
  std::remove_const_t<decltype(kLast)>& value_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    auto number = static_cast<std::uint8_t>(value_);
    aArchive(number);
    if (number > static_cast<std::uint8_t>(kLast)) {
      throw cereal::Exception("enumeration value out of range");
    }
    value_ = static_cast<std::remove_const_t<decltype(kLast)>>(number);
  }
};

template<auto kLast>
CheckedEnum<kLast>
Checked(std::remove_const_t<decltype(kLast)>& aValue)
{
  return CheckedEnum<kLast>{ aValue };
}

} // namespace wire_detail

template<class Archive, class Tag>
void
serialize(Archive& aArchive, Id<Tag>& aValue)
{
  aArchive(aValue.value_);
}

template<class Archive>
void
serialize(Archive& aArchive, Bits128& aValue)
{
  aArchive(aValue.high_, aValue.low_);
}

template<class Archive>
void
serialize(Archive& aArchive, Refusal& aValue)
{
  aArchive(wire_detail::Checked<Verdict::kRan>(aValue.verdict_),
           wire_detail::Checked<Reason::kQuotaUnavailable>(aValue.reason_),
           aValue.retryAfter_);
}

template<class Archive>
void
serialize(Archive& aArchive, Ticket& aValue)
{
  aArchive(aValue.executor_, aValue.incarnation_, aValue.epoch_, aValue.nonce_, aValue.mac_);
}

template<class Archive>
void
save(Archive& aArchive, const SharedText& aValue)
{
  const std::string_view text(aValue);
  aArchive(cereal::make_size_tag(static_cast<cereal::size_type>(text.size())));
  aArchive(cereal::binary_data(text.data(), text.size()));
}

template<class Archive>
void
load(Archive& aArchive, SharedText& aValue)
{
  std::string text;
  aArchive(text);
  aValue = SharedText(std::move(text));
}

template<class Archive>
void
serialize(Archive& aArchive, HeaderField& aValue)
{
  aArchive(aValue.name_, aValue.value_);
}

template<class Archive>
void
serialize(Archive& aArchive, RoutedPart& aValue)
{
  aArchive(aValue.host_,
           aValue.uri_,
           aValue.headers_,
           aValue.originService_,
           aValue.requestId_,
           aValue.account_);
}

template<class Archive>
void
serialize(Archive& aArchive, Request& aValue)
{
  aArchive(aValue.rootRequestId_,
           aValue.service_,
           aValue.kind_,
           wire_detail::Checked<Importance::kLow>(aValue.importance_),
           aValue.method_,
           aValue.target_,
           aValue.contentType_,
           aValue.body_,
           aValue.ticket_,
           aValue.depth_,
           aValue.routed_);
}

template<class Archive>
void
serialize(Archive& aArchive, Answer& aValue)
{
  aArchive(aValue.status_, aValue.contentType_, aValue.body_, aValue.headers_);
}

template<class Archive>
void
serialize(Archive& aArchive, NodeIdentity& aValue)
{
  aArchive(aValue.id_,
           aValue.generation_,
           aValue.incarnation_,
           aValue.peerAddress_,
           aValue.adminAddress_,
           aValue.service_,
           aValue.domain_,
           aValue.region_);
}

template<class Archive>
void
serialize(Archive& aArchive, BackendDeparture& aValue)
{
  aArchive(aValue.instance_, aValue.startedAtMs_, aValue.sequence_, aValue.final_);
}

template<class Archive>
void
serialize(Archive& aArchive, MemberRecord& aValue)
{
  // Whether a departure and its notice time follow are bits of the state: most records have none,
  // and records make up most of the gossip. Earlier releases wrote departures without a notice
  // time.
  constexpr std::uint8_t kHasDeparture = 0x80;
  constexpr std::uint8_t kHasNoticeTime = 0x40;
  auto state = static_cast<std::uint8_t>(aValue.state_);
  state = aValue.departure_ ? state | kHasDeparture : state;
  state =
    aValue.departure_ && aValue.departure_->noticedAtMs_ != 0 ? state | kHasNoticeTime : state;
  aArchive(aValue.identity_,
           aValue.sequence_,
           state,
           aValue.ticketEpoch_,
           aValue.configVersion_,
           aValue.successor_);
  const bool hasDeparture = (state & kHasDeparture) != 0;
  const bool hasNoticeTime = (state & kHasNoticeTime) != 0;
  state &= static_cast<std::uint8_t>(~(kHasDeparture | kHasNoticeTime));
  if (hasNoticeTime && !hasDeparture) {
    throw cereal::Exception("notice time without a departure");
  }
  if (state > static_cast<std::uint8_t>(MemberState::kLeft)) {
    throw cereal::Exception("enumeration value out of range");
  }
  aValue.state_ = static_cast<MemberState>(state);
  if (hasDeparture && !aValue.departure_) {
    aValue.departure_.emplace();
  } else if (!hasDeparture) {
    aValue.departure_.reset();
  }
  if (!aValue.departure_) {
    return;
  }
  aArchive(*aValue.departure_);
  std::uint64_t& noticedAtMs = aValue.departure_->noticedAtMs_;
  if (!hasNoticeTime) {
    noticedAtMs = 0;
    return;
  }
  aArchive(noticedAtMs);
  if (noticedAtMs == 0) {
    throw cereal::Exception("notice time is zero");
  }
}

template<class Archive>
void
serialize(Archive& aArchive, KindSpec& aValue)
{
  aArchive(aValue.name_,
           wire_detail::Checked<Importance::kLow>(aValue.importance_),
           aValue.idempotent_,
           aValue.extraAttempts_,
           aValue.deadline_,
           aValue.longRunning_);
}

template<class Archive>
void
serialize(Archive& aArchive, ServiceSpec& aValue)
{
  aArchive(aValue.name_,
           aValue.slots_,
           aValue.connections_,
           aValue.limit_,
           aValue.longSharePercent_,
           aValue.kinds_);
}

template<class Archive>
void
serialize(Archive& aArchive, RoutePart& aValue)
{
  aArchive(aValue.service_, aValue.weight_);
}

template<class Archive>
void
serialize(Archive& aArchive, RouteSpec& aValue)
{
  aArchive(aValue.host_,
           aValue.prefix_,
           aValue.kind_,
           aValue.targetLatency_,
           aValue.parts_,
           aValue.public_);
}

template<class Archive>
void
serialize(Archive& aArchive, AccountSpec& aValue)
{
  bool hasImportance = aValue.importance_.has_value();
  Importance importance = aValue.importance_.value_or(Importance::kNormal);
  aArchive(aValue.name_,
           aValue.keys_,
           hasImportance,
           wire_detail::Checked<Importance::kLow>(importance),
           aValue.ratePerSecond_,
           aValue.burst_);
  aValue.importance_ = hasImportance ? std::optional(importance) : std::nullopt;
}

template<class Archive>
void
serialize(Archive& aArchive, CallerLimits& aValue)
{
  aArchive(
    aValue.maxHeaderBytes_, aValue.maxBodyBytes_, aValue.headerTimeout_, aValue.idleTimeout_);
}

template<class Archive>
void
serialize(Archive& aArchive, Configuration& aValue)
{
  aArchive(aValue.version_,
           aValue.services_,
           aValue.drained_,
           aValue.routes_,
           aValue.callerLimits_,
           aValue.accounts_);
}

template<class Archive>
void
serialize(Archive& aArchive, DeclareService& aValue)
{
  aArchive(aValue.service_, aValue.slots_, aValue.connections_, aValue.longSharePercent_);
}

template<class Archive>
void
serialize(Archive& aArchive, DeclareKind& aValue)
{
  aArchive(aValue.service_, aValue.kind_);
}

template<class Archive>
void
serialize(Archive& aArchive, SetPriority& aValue)
{
  aArchive(
    aValue.service_, aValue.kind_, wire_detail::Checked<Importance::kLow>(aValue.importance_));
}

template<class Archive>
void
serialize(Archive& aArchive, SetLimit& aValue)
{
  aArchive(aValue.service_, aValue.limit_);
}

template<class Archive>
void
serialize(Archive& aArchive, SetDrain& aValue)
{
  aArchive(aValue.peerAddress_, aValue.draining_);
}

template<class Archive>
void
serialize(Archive& aArchive, CommandRecord& aValue)
{
  aArchive(
    aValue.id_, aValue.operatorName_, aValue.baseVersion_, aValue.wallTimeMs_, aValue.command_);
}

template<class Archive>
void
serialize(Archive& aArchive, AuditEntry& aValue)
{
  aArchive(aValue.record_,
           aValue.offset_,
           aValue.version_,
           wire_detail::Checked<CommandOutcome::kRejected>(aValue.outcome_),
           aValue.detail_);
}

template<class Archive>
void
serialize(Archive& aArchive, ConfigState& aValue)
{
  aArchive(aValue.config_, aValue.nextOffset_, aValue.subjectVersions_, aValue.audit_);
}

template<class Archive>
void
serialize(Archive& aArchive, SnapshotRecord& aValue)
{
  aArchive(aValue.state_);
}

template<class Archive>
void
serialize(Archive& aArchive, AnnouncementRecord& aValue)
{
  aArchive(aValue.member_);
}

template<class Archive>
void
serialize(Archive&, UnreadableRecord&)
{
  // Only the log reader creates this value. Rejected on input, since a list of them takes 50
  // times its encoded size in memory.
  if constexpr (Archive::is_loading::value) {
    throw cereal::Exception("a record of this kind is never sent");
  }
}

template<class Archive>
void
serialize(Archive& aArchive, OffsetRecord& aValue)
{
  aArchive(aValue.offset_, aValue.record_);
}

template<class Archive>
void
serialize(Archive& aArchive, CallRequest& aValue)
{
  aArchive(aValue.attempt_,
           aValue.request_,
           aValue.remaining_,
           aValue.reservedTokens_,
           aValue.offeredBefore_,
           aValue.repeat_,
           aValue.idempotent_);
}

template<class Archive>
void
serialize(Archive& aArchive, AdmissionLevel& aValue)
{
  aArchive(aValue.admitBelow_);
}

template<class Archive>
void
serialize(Archive& aArchive, LoadReport& aValue)
{
  aArchive(aValue.level_,
           aValue.limit_,
           aValue.running_,
           aValue.queued_,
           aValue.downstreamLevel_,
           aValue.serviceTime_);
}

template<class Archive>
void
serialize(Archive& aArchive, CallAnswer& aValue)
{
  aArchive(
    aValue.attempt_, aValue.answer_, aValue.bodyBytes_, aValue.returnedTokens_, aValue.load_);
}

template<class Archive>
void
serialize(Archive& aArchive, CallAnswerPart& aValue)
{
  aArchive(aValue.attempt_, aValue.offset_, aValue.bytes_);
}

template<class Archive>
void
serialize(Archive& aArchive, CallRefused& aValue)
{
  aArchive(
    aValue.attempt_, aValue.refusal_, aValue.returnedTokens_, aValue.successor_, aValue.load_);
}

template<class Archive>
void
serialize(Archive& aArchive, CallCancelled& aValue)
{
  aArchive(aValue.attempt_);
}

template<class Archive>
void
serialize(Archive& aArchive, Ping& aValue)
{
  aArchive(aValue.number_);
}

template<class Archive>
void
serialize(Archive& aArchive, Pong& aValue)
{
  aArchive(aValue.number_);
}

template<class Archive>
void
serialize(Archive& aArchive, HandoverTicket& aValue)
{
  aArchive(aValue.ticket_,
           aValue.digest_,
           wire_detail::Checked<TicketFinalState::kMayHaveRun>(aValue.finalState_),
           wire_detail::Checked<Reason::kQuotaUnavailable>(aValue.reason_),
           aValue.answer_);
}

template<class Archive>
void
serialize(Archive& aArchive, ClosedBuckets& aValue)
{
  aArchive(aValue.epoch_, aValue.buckets_);
}

template<class Archive>
void
serialize(Archive& aArchive, HandoverTable& aValue)
{
  aArchive(aValue.executor_, aValue.incarnation_, aValue.epoch_, aValue.tickets_, aValue.closed_);
}

template<class Archive>
void
serialize(Archive& aArchive, Handover& aValue)
{
  aArchive(aValue.from_,
           aValue.incarnation_,
           aValue.successor_,
           aValue.successorIncarnation_,
           aValue.part_,
           aValue.partCount_,
           aValue.tables_);
}

template<class Archive>
void
serialize(Archive& aArchive, HandoverAccepted& aValue)
{
  aArchive(aValue.from_, aValue.incarnation_);
}

template<class Archive>
void
serialize(Archive& aArchive, ConfigRequest& aValue)
{
  aArchive(aValue.nextOffset_, aValue.version_);
}

template<class Archive>
void
serialize(Archive& aArchive, ConfigReply& aValue)
{
  aArchive(aValue.state_, aValue.records_, aValue.nextOffset_);
}

template<class Archive>
void
serialize(Archive& aArchive, Hello& aValue)
{
  aArchive(aValue.node_, aValue.incarnation_);
}

template<class Archive>
void
serialize(Archive& aArchive, Probe& aValue)
{
  aArchive(aValue.number_, aValue.onBehalfOf_);
}

template<class Archive>
void
serialize(Archive& aArchive, ProbeAck& aValue)
{
  aArchive(aValue.number_, aValue.subject_, aValue.isEstablished_);
}

template<class Archive>
void
serialize(Archive& aArchive, ProbeRequest& aValue)
{
  aArchive(aValue.number_, aValue.target_);
}

template<class Archive>
void
serialize(Archive& aArchive, DomainDigest& aValue)
{
  aArchive(aValue.domain_, aValue.hash_);
}

template<class Archive>
void
serialize(Archive& aArchive, DigestExchange& aValue)
{
  aArchive(aValue.digests_);
}

template<class Archive>
void
serialize(Archive& aArchive, RecordSummary& aValue)
{
  aArchive(aValue.node_,
           aValue.generation_,
           aValue.sequence_,
           wire_detail::Checked<MemberState::kLeft>(aValue.state_));
}

template<class Archive>
void
serialize(Archive& aArchive, SummaryExchange& aValue)
{
  aArchive(aValue.summaries_);
}

template<class Archive>
void
serialize(Archive& aArchive, RecordsRequest& aValue)
{
  aArchive(aValue.nodes_);
}

template<class Archive>
void
serialize(Archive&, RecordsReply&)
{
}

template<class Archive>
void
serialize(Archive& aArchive, QuotaHandover& aValue)
{
  aArchive(aValue.bucket_, aValue.nodes_, aValue.accrued_, aValue.number_, aValue.previous_);
}

template<class Archive>
void
serialize(Archive& aArchive, QuotaRequest& aValue)
{
  aArchive(aValue.number_, aValue.account_, aValue.tokens_);
}

template<class Archive>
void
serialize(Archive& aArchive, QuotaGrant& aValue)
{
  aArchive(aValue.number_, aValue.account_, aValue.tokens_, aValue.roomIn_);
}

template<class Archive>
void
serialize(Archive& aArchive, GossipMessage& aValue)
{
  aArchive(aValue.sender_,
           aValue.incarnation_,
           aValue.senderAddress_,
           aValue.configVersion_,
           aValue.body_,
           aValue.updates_);
}

} // namespace fulmarway
