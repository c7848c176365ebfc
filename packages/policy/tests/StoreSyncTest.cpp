/** \file
 * Calls to the store: nodes find each other through it, and the version of the configuration never
 * decreases, also while the store is unreachable.
 */
#include "policy/tests/RoutedSimulation.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::test;

namespace {

std::vector<StoreRequest>
StoreCalls(const RoutedSimulation& aWorld, StoreTask aTask)
{
  std::vector<StoreRequest> calls;
  for (const CallStore& call : aWorld.Effects<CallStore>(0)) {
    if (TaskOf(call.request_) == aTask) {
      calls.push_back(call.request_);
    }
  }
  return calls;
}

} // namespace

/** Guards against nodes that never find each other: without seeds only the store lists them. Also
 * against an announcement that replaces the one of the previous process before it was read. */
Test(store_sync, node_starts_every_store_call_at_its_start)
{
  RoutedSimulation world(1, RoutedSimulation::FirstListing::kPending);
  cr_expect_eq(StoreCalls(world, StoreTask::kAnnouncement).size(), 0U);
  world.Inject(0, StoreCallFinished{ StoreTask::kListing, AnnouncementsListed{} });
  world.Run(kTickInterval);
  cr_expect_eq(StoreCalls(world, StoreTask::kAnnouncement).size(), 1U);
  cr_expect_geq(StoreCalls(world, StoreTask::kListing).size(), 1U);
  cr_expect_geq(StoreCalls(world, StoreTask::kConfiguration).size(), 1U);
}

/** Guards against a wrong era that makes all later answers count as late: the node would read the
 * configuration again without a pause, for good. */
Test(store_sync, wrong_era_does_not_repeat_reads_for_good)
{
  RoutedSimulation world(1);
  const auto answer = [&](std::uint64_t aEra) {
    world.Inject(
      0, StoreCallFinished{ StoreTask::kConfiguration, ConfigurationRead{ {}, 5, 0 }, aEra });
    world.Run(kTickInterval);
    return StoreCalls(world, StoreTask::kConfiguration).back();
  };
  cr_expect(std::holds_alternative<AwaitConfiguration>(answer(1)));
  cr_expect(std::holds_alternative<ReadConfiguration>(answer(1'000'000)));
  cr_expect(std::holds_alternative<ReadConfiguration>(answer(1)));
  cr_expect(std::holds_alternative<AwaitConfiguration>(answer(1)));
}

/** Guards against a late answer that sets the era back: a position of the earlier era, which the
 * store has given out again, would then count as one of the current era. */
Test(store_sync, late_answer_to_a_call_from_before_the_first_does_not_set_the_era_back)
{
  RoutedSimulation world(1);
  world.Inject(0, StoreCallFinished{ StoreTask::kListing, AnnouncementsListed{}, 2 });
  world.Inject(0, StoreCallFinished{ StoreTask::kConfiguration, ConfigurationRead{ {}, 5, 0 }, 1 });
  world.Run(kTickInterval);
  cr_expect_eq(world.nodes_[0].store_.era_, 2U);
  cr_expect(
    std::holds_alternative<ReadConfiguration>(StoreCalls(world, StoreTask::kConfiguration).back()));
}

/** Guards against a configuration that is replaced by an older one. */
Test(store_sync, versions_never_fall)
{
  RoutedSimulation world(1);
  world.Configure(0, MakeRoutedConfiguration(7));
  world.Configure(0, MakeRoutedConfiguration(5));
  cr_expect_eq(ConfigOf(world.nodes_[0]).version_, 7U);
}

/** Guards against a node that stays on an old configuration because it alone cannot reach the
 * store; it must get the new one from a peer. */
Test(store_sync, configuration_spreads_to_nodes_that_the_store_refuses)
{
  RoutedSimulation world(4);
  for (std::size_t i = 1; i < 4; ++i) {
    world.Inject(i, StoreCallFinished{ StoreTask::kConfiguration, StoreFailed{ "status 503" } });
  }
  world.Configure(0, MakeRoutedConfiguration(9));
  world.Run(std::chrono::milliseconds(1500));
  for (const NodeState& node : world.nodes_) {
    cr_expect_eq(ConfigOf(node).version_, 9U);
    cr_expect_eq(ConfigOf(node).routes_.size(), 2U);
  }
}

/** Guards against calls to an unreachable store that are retried without a delay, and against a
 * node that stops retrying. */
Test(store_sync, failed_calls_are_retried_after_a_delay)
{
  RoutedSimulation world(1);
  const StoreCallFinished failed{ StoreTask::kConfiguration, StoreFailed{ "no answer" } };
  const auto before = StoreCalls(world, StoreTask::kConfiguration).size();
  world.Inject(0, failed);
  std::size_t calls = before;
  for (int i = 0; i < 500; ++i) {
    if (StoreCalls(world, StoreTask::kConfiguration).size() > calls) {
      calls = StoreCalls(world, StoreTask::kConfiguration).size();
      world.Inject(0, failed);
    }
    world.Run(kTickInterval);
  }
  cr_expect_geq(calls - before, 6U, "in 10 s");
  cr_expect_leq(calls - before, 25U, "in 10 s");
}

Test(store_sync, lost_position_leads_to_a_new_read)
{
  RoutedSimulation world(1);
  world.Run(kTickInterval);
  cr_assert(std::holds_alternative<AwaitConfiguration>(
    StoreCalls(world, StoreTask::kConfiguration).back()));
  world.Inject(0, StoreCallFinished{ StoreTask::kConfiguration, ConfigurationRead{} });
  world.Run(kTickInterval);
  cr_expect(
    std::holds_alternative<ReadConfiguration>(StoreCalls(world, StoreTask::kConfiguration).back()));
}

/** Guards against a node that lists the store without a delay while it knows no live peer. All
 * nodes start in this state at once: 13 of them made 510 listings in a second. */
Test(store_sync, node_without_live_peers_lists_once_a_second)
{
  RoutedSimulation world(1);
  const std::size_t before = StoreCalls(world, StoreTask::kListing).size();
  std::size_t calls = before;
  world.Inject(0, StoreCallFinished{ StoreTask::kListing, AnnouncementsListed{} });
  for (int i = 0; i < 500; ++i) {
    world.Run(kTickInterval);
    if (StoreCalls(world, StoreTask::kListing).size() > calls) {
      calls = StoreCalls(world, StoreTask::kListing).size();
      world.Inject(0, StoreCallFinished{ StoreTask::kListing, AnnouncementsListed{} });
    }
  }
  const Duration time = kTickInterval * 500;
  cr_expect_geq(calls - before, time / std::chrono::seconds(2));
  cr_expect_leq(calls - before, time / std::chrono::seconds(1) + 2);
}

/** Guards against a key lease from an answer that does not show the newest configuration: of
 * another or an unknown era, before the end, without a configuration or with one that was not
 * decoded. */
Test(store_sync, only_proofs_of_the_newest_configuration_renew_the_key_lease)
{
  const struct
  {
    NewestRecord newest_;
    bool reachesEnd_;
    std::optional<std::uint64_t> era_;
    bool isProof_;
  } cases[] = {
    { NewestRecord::kDecoded, true, 2, true },
    { NewestRecord::kDecoded, true, 1, false },
    { NewestRecord::kDecoded, true, 3, false },
    { NewestRecord::kDecoded, true, std::nullopt, false },
    { NewestRecord::kDecoded, false, 2, false },
    { NewestRecord::kUndecodable, true, 2, false },
    { NewestRecord::kNotIncluded, true, 2, false },
  };
  for (const auto& row : cases) {
    RoutedSimulation world(1);
    NodeState& node = world.nodes_[0];
    node.settings_.keyRemovalBound_ = std::chrono::seconds(5);
    world.Inject(0, StoreCallFinished{ StoreTask::kListing, AnnouncementsListed{}, 2 });
    world.Inject(0, StoreCallFinished{ StoreTask::kConfiguration, StoreFailed{ "no answer" } });
    world.Run(std::chrono::seconds(1));
    ConfigurationRead read{ MakeRoutedConfiguration(1), 5, 0 };
    read.newest_ = row.newest_;
    read.reachesEnd_ = row.reachesEnd_;
    world.Inject(0, StoreCallFinished{ StoreTask::kConfiguration, read, row.era_ });
    cr_expect_eq(IsHeld(node.keyLease_, world.now_),
                 row.isProof_,
                 "record %d, reaches the end: %d, era %lu",
                 static_cast<int>(row.newest_),
                 row.reachesEnd_,
                 row.era_.value_or(0));
  }
}
