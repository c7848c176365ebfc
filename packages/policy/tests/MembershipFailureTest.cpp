/** \file
 * Guards against failed members that are not detected, and against running members that are
 * held dead because of datagram loss, or after a pause, a restart or a partition.
 */
#include "policy/tests/MemberNetwork.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::tests;

namespace {

MemberNetwork
ConvergedNetwork(int aNodes, int aDomains, std::uint64_t aRandomSeed, NetworkFaults aFaults = {})
{
  MemberNetwork network(aRandomSeed);
  network.SetFaults(aFaults);
  network.AddNodes(aNodes, aDomains);
  cr_assert(
    network.RunUntil(std::chrono::seconds(30), [&] { return network.Converged(); }).has_value());
  return network;
}

int
DomainGroup(const SimulatedNode& aNode)
{
  return aNode.identity_.domain_ == "domain-0" ? 1 : 0;
}

/** Nodes that any node has seen in the state since the last ClearSeen(). */
std::set<NodeId>
EverSeen(MemberNetwork& aNetwork, MemberState aState)
{
  std::set<NodeId> seen;
  for (const auto& [id, node] : aNetwork.Nodes()) {
    for (const auto& [member, states] : node.firstSeen_) {
      if (states.contains(aState)) {
        seen.insert(member);
      }
    }
  }
  return seen;
}

void
ClearSeen(MemberNetwork& aNetwork)
{
  for (auto& [id, node] : aNetwork.Nodes()) {
    node.firstSeen_.clear();
  }
}

} // namespace

Test(membership_failure, a_lost_node_is_dead_everywhere_within_twelve_seconds)
{
  for (std::uint64_t randomSeed = 1; randomSeed <= 10; ++randomSeed) {
    MemberNetwork network = ConvergedNetwork(13, 3, randomSeed);
    const NodeId lost = network.IdAt(randomSeed);
    network.Stop(lost);
    const auto took = network.RunUntil(std::chrono::seconds(12), [&] {
      return network.CountSeeing(lost, MemberState::kDead) == network.CountOtherRunning(lost);
    });
    cr_assert(took.has_value(), "seed %d", static_cast<int>(randomSeed));
    cr_log_info(
      "seed %d: %.1f s", static_cast<int>(randomSeed), static_cast<double>(took->count()) / 1e6);
    cr_assert(EverSeen(network, MemberState::kDead) == std::set<NodeId>{ lost });
  }
}

/** Nodes that start together and reach different seeds first can form two groups without a common
 * member, each with members in all domains. */
Test(membership_failure, groups_that_started_from_different_seeds_merge)
{
  for (std::uint64_t randomSeed = 1; randomSeed <= 60; ++randomSeed) {
    MemberNetwork network(randomSeed);
    network.AddNodes(13, 3);
    cr_assert(
      network.RunUntil(std::chrono::seconds(30), [&] { return network.Converged(); }).has_value(),
      "seed %d",
      static_cast<int>(randomSeed));
  }
}

Test(membership_failure, datagram_loss_alone_leaves_no_member_dead)
{
  MemberNetwork network = ConvergedNetwork(
    13, 3, 5, { /* lossPercent_ */ 15, /* duplicatePercent_ */ 5, /* maxDelayMs_ */ 20 });
  ClearSeen(network);
  network.Run(std::chrono::minutes(5));
  cr_assert(EverSeen(network, MemberState::kDead).empty());
}

Test(membership_failure, an_unreachable_peer_with_helpers_is_not_suspected)
{
  // Indirect probes through other members of the domain reach a member when the direct path to it
  // is cut, here in both directions.
  MemberNetwork network = ConvergedNetwork(6, 1, 9);
  const std::string first = MemberNetwork::AddressOf(0);
  const std::string second = MemberNetwork::AddressOf(1);
  network.CutPath(NodeIdOf(first), NodeIdOf(second));
  ClearSeen(network);
  network.Run(std::chrono::minutes(1));
  cr_assert(EverSeen(network, MemberState::kDead).empty());
  cr_assert(EverSeen(network, MemberState::kSuspect).empty());
}

Test(membership_failure, a_restarted_node_replaces_its_record_everywhere)
{
  struct RestartCase
  {
    const char* name_;
    /** Start time in ms, see NodeIdentity; before the restart it is that of "same generation". */
    std::uint64_t generation_;
    Duration downFor_;
  };
  const RestartCase cases[] = {
    { "later clock", 2'000'000, std::chrono::seconds(1) },
    { "same generation", 1'000'000, std::chrono::seconds(1) },
    { "clock set back", 10, std::chrono::seconds(1) },
    { "after its death was noticed, clock set back", 10, std::chrono::seconds(15) },
  };
  for (const RestartCase& restart : cases) {
    MemberNetwork network = ConvergedNetwork(9, 3, 4);
    const NodeId node = network.IdAt(2);
    network.Stop(node);
    network.Run(restart.downFor_);
    network.Restart(node, restart.generation_);
    const Incarnation incarnation = network.At(node).identity_.incarnation_;
    const auto took = network.RunUntil(std::chrono::seconds(10), [&] {
      for (const auto& [id, other] : network.Nodes()) {
        const MemberRecord* record = FindMember(other.state_, node);
        if (id != node && (record == nullptr || record->identity_.incarnation_ != incarnation ||
                           record->state_ != MemberState::kAlive)) {
          return false;
        }
      }
      return true;
    });
    cr_assert(took.has_value(), "%s", restart.name_);
  }
}

Test(membership_failure, a_paused_node_returns_after_resuming_and_no_other_member_is_seen_dead)
{
  for (const int seconds : { 2, 5, 12, 90 }) {
    MemberNetwork network = ConvergedNetwork(9, 3, 6);
    const NodeId paused = network.IdAt(1);
    ClearSeen(network);
    network.Pause(paused);
    network.Run(std::chrono::seconds(seconds));
    // After the pause of 12 s, the datagrams that arrived during it are discarded, as when the
    // whole VM was paused. After the others they are delivered.
    network.Resume(paused, seconds != 12);
    const auto took =
      network.RunUntil(std::chrono::seconds(5), [&] { return network.Converged(); });
    cr_assert(took.has_value(), "pause of %d s", seconds);
    network.Run(std::chrono::seconds(10));
    cr_assert(network.Converged(), "pause of %d s", seconds);
    std::set<NodeId> dead = EverSeen(network, MemberState::kDead);
    dead.erase(paused);
    cr_assert(dead.empty(), "pause of %d s", seconds);
  }
}

Test(membership_failure, a_cut_off_domain_is_dead_for_the_others_and_returns)
{
  // 16 nodes in 4 domains: in each domain one node is not a delegate and learns from the delegates
  // which domains are unreachable.
  MemberNetwork network = ConvergedNetwork(16, 4, 8);
  network.Partition(DomainGroup);
  // Between suspicionTimeout_, after which the domain is suspect, and twice that, when it is dead.
  network.Run(std::chrono::seconds(4));
  const NodeId member = network.IdAt(0);
  const int outside =
    network.CountOtherRunning(member) - network.CountOtherRunning(member, "domain-0");
  cr_assert_eq(network.CountSeeing(member, MemberState::kSuspect), outside);
  network.Run(std::chrono::seconds(5));
  for (const auto& [id, node] : network.Nodes()) {
    const std::size_t expected = node.identity_.domain_ == "domain-0" ? 4 : 12;
    cr_assert_eq(network.AliveSeenBy(id).size(), expected);
  }
  // Less than recordRetention_, so the records of the other side are kept.
  network.Run(std::chrono::minutes(10));
  network.Heal();
  const auto took = network.RunUntil(std::chrono::seconds(5), [&] { return network.Converged(); });
  cr_assert(took.has_value());
}

Test(membership_failure, a_domain_that_only_one_other_cannot_reach_is_not_dead_for_the_rest)
{
  // Indirect probes do not help here, because they are sent only to members of the node's own
  // domain. Other domains are judged by when the delegates last had contact with them.
  MemberNetwork network = ConvergedNetwork(12, 3, 12);
  for (const auto& [from, fromNode] : network.Nodes()) {
    for (const auto& [to, toNode] : network.Nodes()) {
      if (fromNode.identity_.domain_ == "domain-0" && toNode.identity_.domain_ == "domain-1") {
        network.CutPath(from, to);
      }
    }
  }
  ClearSeen(network);
  network.Run(std::chrono::minutes(2));
  for (const auto& [id, node] : network.Nodes()) {
    cr_assert_eq(network.AliveSeenBy(id).size(), node.identity_.domain_ == "domain-2" ? 12 : 8);
    cr_assert(node.identity_.domain_ != "domain-2" || node.firstSeen_.empty());
  }
}

Test(membership_failure, a_healed_partition_inside_a_domain_merges_without_seeds)
{
  MemberNetwork network(21);
  network.AddNode(0, "domain-0", {});
  for (int i = 1; i < 8; ++i) {
    network.AddNode(i, "domain-0", { MemberNetwork::AddressOf(0) });
  }
  cr_assert(
    network.RunUntil(std::chrono::seconds(30), [&] { return network.Converged(); }).has_value());
  for (auto& [id, node] : network.Nodes()) {
    node.state_.seeds_.clear();
  }
  network.Partition(
    [](const SimulatedNode& aNode) { return static_cast<int>(aNode.identity_.id_.value_ & 1); });
  network.Run(std::chrono::minutes(5));
  cr_assert_lt(network.AliveSeenBy(network.IdAt(0)).size(), 8);
  network.Heal();
  const auto took = network.RunUntil(std::chrono::seconds(15), [&] { return network.Converged(); });
  cr_assert(took.has_value());
}
