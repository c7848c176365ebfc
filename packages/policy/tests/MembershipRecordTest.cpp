/** \file
 * Guards the rules for single records: precedence between records, refutation of a node's own
 * record, retention, and precedence of a contact over gossip.
 */
#include "policy/Membership.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace fulmarway;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ std::chrono::hours(1) };

NodeIdentity
IdentityOf(const std::string& aAddress, std::uint64_t aIncarnation = 1)
{
  return { NodeIdOf(aAddress), 100, { 0, aIncarnation }, aAddress, "", "pricing", "a", "r" };
}

const std::string kSelf = "10.0.0.1:7000";
const std::string kPeer = "10.0.0.2:7000";
const std::string kOther = "10.0.0.3:7000";

MembershipState
NewMembership(MembershipSettings aSettings = {})
{
  return MakeMembership(aSettings, IdentityOf(kSelf), {}, kStart);
}

MemberRecord
RecordOf(const std::string& aAddress, MemberState aState, std::uint32_t aSequence = 1)
{
  return { IdentityOf(aAddress), aSequence, aState };
}

/** Delivers a gossip message of a third node that carries one record. */
Step<MembershipState, GossipOutput>
DeliverRecord(MembershipState aState, const MemberRecord& aRecord, Instant aNow)
{
  GossipMessage message{ NodeIdOf(kOther), { 0, 1 }, kOther, 0, ProbeAck{}, { aRecord } };
  return HandleGossip(std::move(aState), message, 7, aNow);
}

MemberRecord
PeerRecord(std::uint64_t aGeneration,
           std::uint64_t aIncarnation,
           std::uint32_t aSequence,
           MemberState aState)
{
  MemberRecord record = RecordOf(kPeer, aState, aSequence);
  record.identity_.generation_ = aGeneration;
  record.identity_.incarnation_ = { 0, aIncarnation };
  return record;
}

} // namespace

Test(membership_record, the_winner_does_not_depend_on_the_order)
{
  using enum MemberState;
  struct Precedence
  {
    const char* name_;
    MemberRecord winner_;
    MemberRecord loser_;
  };
  const Precedence cases[] = {
    { "generation", PeerRecord(2, 1, 0, kAlive), PeerRecord(1, 9, 9, kLeft) },
    { "incarnation of one generation",
      PeerRecord(1, 2, 0, kAlive),
      PeerRecord(1, 1, 9, kDraining) },
    { "sequence", PeerRecord(1, 1, 2, kAlive), PeerRecord(1, 1, 1, kDraining) },
    { "suspect over alive", PeerRecord(1, 1, 1, kSuspect), PeerRecord(1, 1, 1, kAlive) },
    { "draining over suspect", PeerRecord(1, 1, 1, kDraining), PeerRecord(1, 1, 1, kSuspect) },
    { "left over draining", PeerRecord(1, 1, 1, kLeft), PeerRecord(1, 1, 1, kDraining) },
  };
  for (const Precedence& pair : cases) {
    auto one = DeliverRecord(NewMembership(), pair.winner_, kStart).state_;
    one = DeliverRecord(std::move(one), pair.loser_, kStart).state_;
    auto other = DeliverRecord(NewMembership(), pair.loser_, kStart).state_;
    other = DeliverRecord(std::move(other), pair.winner_, kStart).state_;
    cr_assert(*FindMember(one, NodeIdOf(kPeer)) == pair.winner_, "%s", pair.name_);
    cr_assert(*FindMember(other, NodeIdOf(kPeer)) == pair.winner_, "%s", pair.name_);
  }
}

Test(membership_record, own_record_is_refuted)
{
  struct RefutationCase
  {
    const char* name_;
    std::uint64_t generation_;
    std::uint64_t incarnation_;
    std::uint32_t sequence_;
    MemberState state_;
    std::uint64_t expectedGeneration_;
    std::uint32_t expectedSequence_;
  };
  const RefutationCase cases[] = {
    { "suspected", 100, 1, 1, MemberState::kSuspect, 100, 2 },
    { "dead with a later sequence", 100, 1, 5, MemberState::kDead, 100, 6 },
    { "old suspicion", 100, 1, 0, MemberState::kSuspect, 100, 1 },
    { "earlier incarnation, clock set back", 500, 9, 3, MemberState::kAlive, 501, 0 },
    { "other incarnation, same generation", 100, 9, 0, MemberState::kAlive, 101, 0 },
    { "earlier incarnation", 50, 9, 7, MemberState::kDead, 100, 1 },
  };
  for (const RefutationCase& refutation : cases) {
    auto state = SetLocalState(NewMembership(), MemberState::kAlive, {}, 1, kStart).state_;
    MemberRecord record = RecordOf(kSelf, refutation.state_, refutation.sequence_);
    record.identity_.generation_ = refutation.generation_;
    record.identity_.incarnation_ = { 0, refutation.incarnation_ };
    state = DeliverRecord(std::move(state), record, kStart).state_;
    cr_assert_eq(
      state.self_.identity_.generation_, refutation.expectedGeneration_, "%s", refutation.name_);
    cr_assert_eq(state.self_.sequence_, refutation.expectedSequence_, "%s", refutation.name_);
    cr_assert(state.self_.state_ == MemberState::kAlive, "%s", refutation.name_);
  }
}

Test(membership_record, a_contact_outweighs_suspicion_and_requests_a_refutation)
{
  auto state = DeliverRecord(NewMembership(), RecordOf(kPeer, MemberState::kAlive), kStart).state_;
  state =
    DeliverRecord(std::move(state), RecordOf(kPeer, MemberState::kSuspect), kStart + 1s).state_;
  cr_assert(FindMember(state, NodeIdOf(kPeer))->state_ == MemberState::kSuspect);
  auto step = RecordDataPathContact(std::move(state), NodeIdOf(kPeer), kStart + 2s);
  cr_assert(FindMember(step.state_, NodeIdOf(kPeer))->state_ == MemberState::kAlive);
  cr_assert_eq(step.result_.messages_.size(), 1);
  cr_assert(step.result_.messages_[0].address_ == kPeer);
  cr_assert(step.result_.messages_[0].message_.updates_.at(0).state_ == MemberState::kSuspect);
  cr_assert_eq(
    RecordDataPathContact(step.state_, NodeIdOf(kPeer), kStart + 2s).result_.messages_.size(), 0);
}

Test(membership_record, records_of_left_members_expire_after_25_minutes_and_are_bounded)
{
  auto state = DeliverRecord(NewMembership(), RecordOf(kPeer, MemberState::kAlive), kStart).state_;
  state = DeliverRecord(std::move(state), RecordOf(kPeer, MemberState::kLeft, 2), kStart).state_;
  state = AdvanceMembership(std::move(state), 1, kStart + 24min).state_;
  cr_assert_not_null(FindMember(state, NodeIdOf(kPeer)));
  state = AdvanceMembership(std::move(state), 1, kStart + 25min).state_;
  cr_assert_null(FindMember(state, NodeIdOf(kPeer)));

  MembershipSettings settings;
  settings.maxMembers_ = 10;
  state = NewMembership(settings);
  for (int i = 0; i < 100; ++i) {
    const std::string address = "10.0.1." + std::to_string(i) + ":7000";
    state = DeliverRecord(std::move(state), RecordOf(address, MemberState::kLeft), kStart + i * 1s)
              .state_;
  }
  cr_assert_eq(Members(state).size(), 10);
  cr_assert_not_null(FindMember(state, NodeIdOf("10.0.1.99:7000")));
}

Test(membership_record, an_announced_node_is_a_member_only_after_it_answers)
{
  auto state =
    HandleAnnouncement(NewMembership(), RecordOf(kPeer, MemberState::kAlive), kStart).state_;
  cr_assert(Members(state).empty());
  int probes = 0;
  for (int i = 0; i < 100; ++i) {
    auto step = AdvanceMembership(std::move(state), 1, kStart + i * 100ms);
    state = std::move(step.state_);
    probes += static_cast<int>(std::count_if(step.result_.messages_.begin(),
                                             step.result_.messages_.end(),
                                             [](const auto& aM) { return aM.address_ == kPeer; }));
  }
  cr_assert_eq(probes, 3);
  cr_assert(Members(state).empty());
}

Test(membership_record, ticket_epochs_are_extrapolated_and_passed_on_current)
{
  MemberRecord record = RecordOf(kPeer, MemberState::kAlive);
  record.ticketEpoch_ = 5;
  auto state = DeliverRecord(NewMembership(), record, kStart).state_;
  cr_assert_eq(EstimateTicketEpoch(state, NodeIdOf(kPeer), 30s, kStart + 95s), 8);
  const GossipMessage request{
    NodeIdOf(kOther), { 0, 1 }, kOther, 0, RecordsRequest{ { NodeIdOf(kPeer) } }, {}
  };
  const auto step = HandleGossip(std::move(state), request, 3, kStart + 95s);
  const auto& messages = step.result_.messages_;
  cr_assert(std::any_of(messages.begin(), messages.end(), [](const OutgoingGossip& aOutgoing) {
    return aOutgoing.message_.updates_.size() == 1 &&
           aOutgoing.message_.updates_[0].ticketEpoch_ == 8;
  }));
}

/** Guards against a departure that is lost when the record of a new incarnation, which does not
 * know of it, arrives through a third node: nobody returned it then. */
Test(membership_record, departure_is_returned_to_a_new_incarnation_that_others_announce)
{
  const auto hasDeparture = [](const GossipOutput& aOutput) {
    return std::any_of(
      aOutput.messages_.begin(), aOutput.messages_.end(), [](const OutgoingGossip& aMessage) {
        const auto& updates = aMessage.message_.updates_;
        return aMessage.address_ == kPeer && !updates.empty() &&
               updates.front().identity_.id_ == NodeIdOf(kPeer) && updates.front().departure_;
      });
  };
  MemberRecord departed = PeerRecord(1, 1, 5, MemberState::kDraining);
  departed.departure_ = BackendDeparture{ "i", 1, 3, true };
  auto step = DeliverRecord(NewMembership(), departed, kStart);
  step = DeliverRecord(std::move(step.state_), PeerRecord(2, 2, 1, MemberState::kAlive), kStart);
  cr_expect(hasDeparture(step.result_));
  // The message may be lost, so that each answer to a probe has the departure, too.
  const GossipMessage probe{ NodeIdOf(kPeer), { 0, 2 }, kPeer, 0, Probe{ 1, {} }, {} };
  step = HandleGossip(std::move(step.state_), probe, 7, kStart);
  cr_expect(hasDeparture(step.result_));
  // The incarnation has taken it over.
  MemberRecord informed = PeerRecord(2, 2, 2, MemberState::kAlive);
  informed.departure_ = departed.departure_;
  step = DeliverRecord(std::move(step.state_), informed, kStart);
  cr_expect_not(hasDeparture(step.result_));
}

/** Guards against a restarted node that takes the answer of a peer which has just started, too, for
 * proof that its backend server has not left. */
Test(membership_record, peer_that_has_just_started_does_not_vouch_for_departures)
{
  const GossipMessage probe{ NodeIdOf(kPeer), { 0, 1 }, kPeer, 0, Probe{ 1, {} }, {} };
  const auto answerAt = [&](Duration aAge) {
    const auto step = HandleGossip(NewMembership(), probe, 7, kStart + aAge);
    for (const OutgoingGossip& outgoing : step.result_.messages_) {
      if (const auto* ack = std::get_if<ProbeAck>(&outgoing.message_.body_)) {
        GossipMessage message{ NodeIdOf(kPeer), { 0, 1 }, kPeer, 0, *ack, {} };
        std::get<ProbeAck>(message.body_).subject_ = NodeIdOf(kPeer);
        return HandleGossip(NewMembership(), message, 7, kStart).state_.isKnownToPeer_;
      }
    }
    return false;
  };
  cr_expect_not(answerAt(500ms));
  cr_expect(answerAt(10s));
}
