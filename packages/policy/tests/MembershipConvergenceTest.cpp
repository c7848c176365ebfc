/** \file
 * Guards against member tables that stay different after faults have ended.
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

} // namespace

Test(membership_convergence, cold_start_from_seeds)
{
  for (const Size size : { Size{ 3, 1 }, Size{ 3, 3 }, Size{ 13, 3 }, Size{ 40, 4 } }) {
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
