/** \file
 * Guards the budget for control traffic. Bytes are estimated from the messages, with UDP and IP
 * headers.
 */
#include "policy/tests/MemberNetwork.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::tests;

namespace {

constexpr int kSizes[] = { 4, 16, 64, 200, 890 };
constexpr int kDomains = 8;
/** 6 KB a second for all control traffic of a node, sent and received together. */
constexpr double kBudget = 6000;

struct Traffic
{
  double mean_ = 0;
  double highest_ = 0;
};

void
ResetCounters(MemberNetwork& aNetwork)
{
  for (auto& [id, node] : aNetwork.Nodes()) {
    node.bytesSent_ = 0;
    node.bytesReceived_ = 0;
  }
}

Traffic
Measure(MemberNetwork& aNetwork, int aSeconds)
{
  ResetCounters(aNetwork);
  aNetwork.Run(std::chrono::seconds(aSeconds));
  Traffic traffic;
  for (const auto& [id, node] : aNetwork.Nodes()) {
    const double rate =
      static_cast<double>(node.bytesSent_ + node.bytesReceived_) / static_cast<double>(aSeconds);
    traffic.mean_ += rate / static_cast<double>(aNetwork.Nodes().size());
    traffic.highest_ = std::max(traffic.highest_, rate);
  }
  return traffic;
}

} // namespace

Test(membership_traffic, stays_inside_the_budget_at_each_size)
{
  for (const int nodes : kSizes) {
    const int domains = std::min(kDomains, nodes);
    MemberNetwork network(5);
    network.AddNodes(nodes, domains);
    network.ShareAllRecords();
    network.Run(std::chrono::seconds(12));
    cr_assert(network.Converged(), "%d nodes", nodes);
    const Traffic quiet = Measure(network, 10);

    // One restart in ten seconds is over 40 times as many as on an ordinary day.
    network.Restart(network.IdAt(static_cast<std::size_t>(nodes) / 2), 2'000'000);
    const Traffic churn = Measure(network, 10);
    cr_log_info("%d nodes in %d domains: sent and received by a node, bytes/s: "
                "quiet mean %.0f highest %.0f; with a restart mean %.0f highest %.0f",
                nodes,
                domains,
                quiet.mean_,
                quiet.highest_,
                churn.mean_,
                churn.highest_);
    cr_assert(quiet.highest_ < kBudget, "%d nodes: %.0f", nodes, quiet.highest_);
    cr_assert(churn.mean_ < kBudget, "%d nodes: %.0f", nodes, churn.mean_);
    cr_assert(network.LargestDatagram() <= kMaxDatagramBytes);
  }
}
