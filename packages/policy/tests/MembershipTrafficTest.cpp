/** \file
 * Guards the budget for control traffic per node. Datagram sizes are estimates that include UDP and
 * IP headers.
 */
#include "policy/tests/MemberNetwork.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::tests;

namespace {

constexpr int kNodeCounts[] = { 4, 16, 64, 200, 890 };
constexpr int kDomains = 8;
/** Limit for all control traffic of a node, sent and received together: 6 KB a second. */
constexpr double kBudgetBytesPerSecond = 6000;
/** The budget holds over any 60 s: a joining node has to receive the whole table, about 160 KB at
 * 890 nodes, which alone takes 27 s at 6 KB a second. */
constexpr int kBudgetSeconds = 60;
constexpr int kMeasuredSeconds = 10;

struct Traffic
{
  double mean_ = 0;
  double highest_ = 0;
  std::map<NodeId, double> byNode_;
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
Measure(MemberNetwork& aNetwork)
{
  ResetCounters(aNetwork);
  aNetwork.Run(std::chrono::seconds(kMeasuredSeconds));
  Traffic traffic;
  for (const auto& [id, node] : aNetwork.Nodes()) {
    const double rate =
      static_cast<double>(node.bytesSent_ + node.bytesReceived_) / kMeasuredSeconds;
    traffic.mean_ += rate / static_cast<double>(aNetwork.Nodes().size());
    traffic.highest_ = std::max(traffic.highest_, rate);
    traffic.byNode_[id] = rate;
  }
  return traffic;
}

/** Highest rate of any node over kBudgetSeconds with one restart in this time. */
double
HighestInWindow(const Traffic& aQuiet, const Traffic& aChurn)
{
  double highest = 0;
  for (const auto& [id, churn] : aChurn.byNode_) {
    const double bytes =
      churn * kMeasuredSeconds + aQuiet.byNode_.at(id) * (kBudgetSeconds - kMeasuredSeconds);
    highest = std::max(highest, bytes / kBudgetSeconds);
  }
  return highest;
}

} // namespace

Test(membership_traffic, stays_inside_the_budget_at_each_size)
{
  for (const int nodes : kNodeCounts) {
    const int domains = std::min(kDomains, nodes);
    MemberNetwork network(5);
    network.AddNodes(nodes, domains);
    network.ShareAllRecords();
    network.Run(std::chrono::seconds(12));
    cr_assert(network.Converged(), "%d nodes", nodes);
    const Traffic quiet = Measure(network);

    // One restart in ten seconds is over 40 times as many as on an ordinary day, one in a minute
    // nearly seven times as many.
    network.Restart(network.IdAt(static_cast<std::size_t>(nodes) / 2), 2'000'000);
    const Traffic churn = Measure(network);
    const double window = HighestInWindow(quiet, churn);
    cr_log_info("%d nodes in %d domains: sent and received by a node, bytes/s: "
                "quiet mean %.0f highest %.0f; with a restart mean %.0f highest %.0f; "
                "highest over 60 s %.0f",
                nodes,
                domains,
                quiet.mean_,
                quiet.highest_,
                churn.mean_,
                churn.highest_,
                window);
    cr_assert(quiet.highest_ < kBudgetBytesPerSecond, "%d nodes: %.0f", nodes, quiet.highest_);
    cr_assert(churn.mean_ < kBudgetBytesPerSecond, "%d nodes: %.0f", nodes, churn.mean_);
    cr_assert(window < kBudgetBytesPerSecond, "%d nodes: %.0f over 60 s", nodes, window);
    cr_assert(network.LargestDatagram() <= kMaxDatagramBytes);
  }
}
