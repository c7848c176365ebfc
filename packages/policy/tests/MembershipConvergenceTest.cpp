/** \file
 * Guards against member tables that do not converge after faults have ended, and against records of
 * nodes that never existed.
 */
#include "policy/tests/MemberNetwork.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway;
using namespace fulmarway::tests;

namespace {

struct Size
{
  int nodes_;
  int domains_;
};

constexpr Duration kConvergenceLimit = std::chrono::seconds(40);

/** Injects or reverts one random fault. */
void
InjectFault(MemberNetwork& aNetwork, std::uint64_t& aGeneration)
{
  const NodeId node = aNetwork.IdAt(aNetwork.Random() % aNetwork.Nodes().size());
  switch (aNetwork.Random() % 6) {
    case 0:
      aNetwork.Pause(node);
      break;
    case 1:
      if (aNetwork.At(node).paused_) {
        aNetwork.Resume(node);
      }
      break;
    case 2:
      if (!aNetwork.At(node).paused_) {
        // The clock of a replaced VM may be behind that of the first incarnation.
        aNetwork.Restart(node, aGeneration - 2 + aNetwork.Random() % 4);
        ++aGeneration;
      }
      break;
    case 3: {
      const std::uint64_t salt = aNetwork.Random();
      aNetwork.Partition([salt](const SimulatedNode& aNode) {
        return static_cast<int>((aNode.identity_.id_.value_ ^ salt) >> 7 & 1U);
      });
      break;
    }
    case 4:
      aNetwork.Partition([](const SimulatedNode& aNode) {
        return static_cast<int>(StableHash(aNode.identity_.domain_) % 2);
      });
      break;
    default:
      aNetwork.Heal();
  }
}

void
EndFaults(MemberNetwork& aNetwork)
{
  aNetwork.Heal();
  for (auto& [id, node] : aNetwork.Nodes()) {
    if (node.paused_) {
      aNetwork.Resume(id);
    }
  }
}

bool
OnlyKnowsRealNodes(const MemberNetwork& aNetwork, NodeId aObserver)
{
  for (const MemberRecord& record : Members(aNetwork.At(aObserver).state_)) {
    const NodeIdentity& identity = record.identity_;
    if (NodeIdOf(identity.peerAddress_) != identity.id_ || identity.id_ == aObserver) {
      return false;
    }
    const SimulatedNode& real = aNetwork.At(identity.id_);
    if (identity.domain_ != real.identity_.domain_) {
      return false;
    }
  }
  return true;
}

} // namespace

Test(membership_convergence, cold_start_from_seeds)
{
  // Domains of the last size are large enough to be reconciled by buckets.
  const Size sizes[] = { { 3, 1 }, { 3, 3 }, { 13, 3 }, { 40, 4 }, { 120, 2 } };
  for (const Size size : sizes) {
    MemberNetwork network(7);
    network.AddNodes(size.nodes_, size.domains_);
    const auto took =
      network.RunUntil(std::chrono::seconds(20), [&] { return network.Converged(); });
    cr_assert(took.has_value(), "%d nodes in %d domains", size.nodes_, size.domains_);
    cr_log_info("%d nodes in %d domains: %.1f s",
                size.nodes_,
                size.domains_,
                static_cast<double>(took->count()) / 1e6);
  }
}

Test(membership_convergence, tables_agree_after_any_faults)
{
  const auto outcome = rc::check("tables agree after faults end", [](std::uint64_t aSeed) {
    MemberNetwork network(aSeed | 1);
    const int domains = 1 + static_cast<int>(network.Random() % 3);
    network.SetFaults({ static_cast<int>(network.Random() % 21),
                        static_cast<int>(network.Random() % 11),
                        1 + static_cast<int>(network.Random() % 50) });
    network.AddNodes(3 + static_cast<int>(network.Random() % 7), domains);
    network.Run(std::chrono::seconds(3));
    std::uint64_t generation = 1'000'010;
    for (int fault = 0; fault < 6; ++fault) {
      InjectFault(network, generation);
      network.Run(std::chrono::milliseconds(500 + network.Random() % 5000));
    }
    EndFaults(network);
    RC_ASSERT(network.RunUntil(kConvergenceLimit, [&] { return network.Converged(); }));
    for (const auto& [id, node] : network.Nodes()) {
      RC_ASSERT(OnlyKnowsRealNodes(network, id));
    }
  });
  cr_assert(outcome);
}

Test(membership_convergence, forty_nodes_agree_after_faults)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    MemberNetwork network(seed * 77'773);
    network.SetFaults({ 10, 5, 20 });
    network.AddNodes(40, 4);
    network.Run(std::chrono::seconds(5));
    std::uint64_t generation = 1'000'010;
    for (int fault = 0; fault < 12; ++fault) {
      InjectFault(network, generation);
      network.Run(std::chrono::seconds(2));
    }
    EndFaults(network);
    const auto took = network.RunUntil(kConvergenceLimit, [&] { return network.Converged(); });
    cr_assert(took.has_value(), "seed %d", static_cast<int>(seed));
  }
}

Test(membership_convergence, reported_changes_describe_the_table)
{
  MemberNetwork network(11);
  network.SetFaults({ 10, 5, 20 });
  network.AddNodes(9, 3);
  std::uint64_t generation = 1'000'010;
  for (int fault = 0; fault < 20; ++fault) {
    InjectFault(network, generation);
    network.Run(std::chrono::seconds(1));
    for (const auto& [id, node] : network.Nodes()) {
      for (const MemberRecord& record : Members(node.state_)) {
        const auto reported = node.fromChanges_.find(record.identity_.id_);
        cr_assert(reported != node.fromChanges_.end());
        cr_assert(reported->second.state_ == record.state_);
        cr_assert(reported->second.identity_ == record.identity_);
      }
    }
  }
}
