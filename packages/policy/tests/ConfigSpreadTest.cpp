/** \file
 * Checks that a version that delegates read from the log is in effect on every node within 4 s
 * (docs/design.md, guarantee G8).
 */
#include "policy/tests/MemberNetwork.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::tests;

namespace {

constexpr std::uint64_t kVersion = 7;
/** The guaranteed 4 s less the maximum time until a delegate polls the log. */
constexpr Duration kSpreadLimit = std::chrono::milliseconds(3500);
/** Connection setup, the request and the response, at 8 ms each. */
constexpr Duration kFetchTime = std::chrono::milliseconds(24);

/** Returns the time until all nodes have the version when one delegate of each domain reads it. */
std::optional<Duration>
SpreadTime(int aNodes, int aDomains, NetworkFaults aFaults)
{
  MemberNetwork network(11, aFaults);
  network.AddNodes(aNodes, aDomains);
  network.ShareAllRecords();
  network.EnableVersionFetch(kFetchTime);
  network.Run(std::chrono::seconds(3));
  std::set<std::string> domains;
  for (const auto& [id, node] : network.Nodes()) {
    if (IsDelegate(node.state_) && domains.insert(node.identity_.domain_).second) {
      network.SetVersion(id, kVersion);
    }
  }
  return network.RunUntil(kSpreadLimit,
                          [&] { return network.CountWithVersion(kVersion) == aNodes; });
}

} // namespace

Test(config_spread, a_version_is_in_force_on_every_node_within_4_s)
{
  struct Case
  {
    int nodes_;
    int domains_;
    NetworkFaults faults_;
  };
  const Case cases[] = {
    { 64, 8, {} }, { 200, 8, { 5, 0, 20 } }, { 120, 1, { 5, 0, 20 } }, { 240, 2, {} }
  };
  for (const Case& one : cases) {
    const auto took = SpreadTime(one.nodes_, one.domains_, one.faults_);
    cr_assert(took.has_value(), "%d nodes in %d domains", one.nodes_, one.domains_);
    cr_log_info("%d nodes in %d domains: %.1f s",
                one.nodes_,
                one.domains_,
                static_cast<double>(took->count()) / 1e6);
  }
}
