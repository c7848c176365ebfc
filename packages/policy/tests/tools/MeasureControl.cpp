/** \file
 * Measures the control plane at sizes that are too large for the tests: traffic by type of message,
 * cold start, memory and processor time of one node, and memory of the configuration. Not shipped.
 *
 *   measure-control traffic NODES SECONDS RESTARTS [SEED]
 *   measure-control cold NODES SECONDS [SEED]
 *   measure-control config NODES [SEED]
 *   measure-control node NODES
 *   measure-control fold SERVICES KINDS
 */
#include "policy/NodeState.h"
#include "policy/Reducer.h"
#include "policy/tests/MemberNetwork.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <string_view>

using namespace fulmarway;
using namespace fulmarway::tests;

namespace {

constexpr int kDomains = 8;
constexpr const char* kBodyNames[] = { "probe",   "ack/changes", "probe-request", "digest",
                                       "summary", "request",     "records" };

/** Bytes in use on the heap and in mapped blocks, including allocator overhead. */
double
HeapBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double
ProcessorSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/** Node ids in ascending order of bytes sent and received. */
std::vector<NodeId>
ByTraffic(MemberNetwork& aNetwork)
{
  std::vector<NodeId> ids;
  for (const auto& [id, node] : aNetwork.Nodes()) {
    ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end(), [&](NodeId aLeft, NodeId aRight) {
    const auto total = [&](NodeId aId) {
      return aNetwork.At(aId).bytesSent_ + aNetwork.At(aId).bytesReceived_;
    };
    return total(aLeft) < total(aRight);
  });
  return ids;
}

void
PrintNode(const MemberNetwork& aNetwork, NodeId aId, double aSeconds)
{
  const SimulatedNode& node = aNetwork.At(aId);
  std::printf("  %s%s sent %.0f received %.0f B/s:",
              node.identity_.peerAddress_.c_str(),
              IsDelegate(node.state_) ? " delegate" : "",
              static_cast<double>(node.bytesSent_) / aSeconds,
              static_cast<double>(node.bytesReceived_) / aSeconds);
  for (std::size_t body = 0; body < std::size(kBodyNames); ++body) {
    std::printf(" %s %.0f/%.0f",
                kBodyNames[body],
                static_cast<double>(node.sentByBody_[body]) / aSeconds,
                static_cast<double>(node.receivedByBody_[body]) / aSeconds);
  }
  std::printf("\n");
}

void
ResetTraffic(MemberNetwork& aNetwork)
{
  for (auto& [id, node] : aNetwork.Nodes()) {
    node.bytesSent_ = node.bytesReceived_ = 0;
    node.sentByBody_ = {};
    node.receivedByBody_ = {};
  }
}

void
PrintTraffic(MemberNetwork& aNetwork, const std::string& aLabel, double aSeconds, NodeId aRestarted)
{
  const std::vector<NodeId> ids = ByTraffic(aNetwork);
  double sum = 0;
  std::array<double, std::size(kBodyNames)> sent{};
  for (const NodeId id : ids) {
    const SimulatedNode& node = aNetwork.At(id);
    sum += static_cast<double>(node.bytesSent_ + node.bytesReceived_);
    for (std::size_t body = 0; body < sent.size(); ++body) {
      sent[body] += static_cast<double>(node.sentByBody_[body]);
    }
  }
  const double nodes = static_cast<double>(ids.size());
  std::printf("%s: mean %.0f B/s, sent by kind:", aLabel.c_str(), sum / aSeconds / nodes);
  for (std::size_t body = 0; body < sent.size(); ++body) {
    std::printf(" %s %.0f", kBodyNames[body], sent[body] / aSeconds / nodes);
  }
  std::printf("\n");
  for (std::size_t i = 1; i <= std::min<std::size_t>(4, ids.size()); ++i) {
    PrintNode(aNetwork, ids[ids.size() - i], aSeconds);
  }
  if (aRestarted != NodeId{}) {
    std::printf("  the restarted node:\n");
    PrintNode(aNetwork, aRestarted, aSeconds);
  }
}

void
MeasureTraffic(int aNodes, int aSeconds, int aRestarts, std::uint64_t aSeed)
{
  MemberNetwork network(aSeed);
  network.AddNodes(aNodes, std::min(kDomains, aNodes));
  network.ShareAllRecords();
  network.Run(std::chrono::seconds(12));
  std::printf("converged %d\n", network.Converged() ? 1 : 0);
  ResetTraffic(network);
  network.Run(std::chrono::seconds(aSeconds));
  PrintTraffic(network, "quiet", aSeconds, NodeId{});
  ResetTraffic(network);
  NodeId restarted;
  for (int i = 0; i < aRestarts; ++i) {
    restarted = network.IdAt(static_cast<std::size_t>(aNodes) / 2 + 7 * static_cast<unsigned>(i));
    network.Restart(restarted, 2'000'000);
    network.Run(Duration(std::chrono::seconds(aSeconds)) / aRestarts);
  }
  PrintTraffic(network, std::to_string(aRestarts) + " restarts", aSeconds, restarted);
  std::printf("converged %d\n", network.Converged() ? 1 : 0);
}

void
MeasureColdStart(int aNodes, int aSeconds, std::uint64_t aSeed)
{
  MemberNetwork network(aSeed);
  network.AddNodes(aNodes, std::min(kDomains, aNodes));
  for (int second = 0; second < aSeconds && !network.Converged(); second += 5) {
    ResetTraffic(network);
    network.Run(std::chrono::seconds(5));
    std::size_t lowest = static_cast<std::size_t>(aNodes);
    double seen = 0;
    for (const auto& [id, node] : network.Nodes()) {
      const std::size_t alive = network.AliveSeenBy(id).size();
      lowest = std::min(lowest, alive);
      seen += static_cast<double>(alive) / aNodes;
    }
    std::printf("%d s: alive seen by a node: mean %.1f lowest %zu\n", second + 5, seen, lowest);
    PrintTraffic(network, "traffic", 5, NodeId{});
    std::fflush(stdout);
  }
  std::printf("converged %d\n", network.Converged() ? 1 : 0);
}

/** Measures the time from when one delegate of each domain has read a configuration version until
 * the version is in effect on all nodes. */
void
MeasureConfig(int aNodes, std::uint64_t aSeed)
{
  constexpr Duration kFetchTime = std::chrono::milliseconds(24);
  MemberNetwork network(aSeed);
  network.AddNodes(aNodes, std::min(kDomains, aNodes));
  network.ShareAllRecords();
  network.EnableVersionFetch(kFetchTime);
  network.Run(std::chrono::seconds(12));
  std::set<std::string> domains;
  for (const auto& [id, node] : network.Nodes()) {
    if (IsDelegate(node.state_) && domains.insert(node.identity_.domain_).second) {
      network.SetVersion(id, 1);
    }
  }
  const auto took = network.RunUntil(std::chrono::seconds(30),
                                     [&] { return network.CountWithVersion(1) == aNodes; });
  std::printf("%d nodes: version in effect everywhere after %.1f s (-1: not within 30 s)\n",
              aNodes,
              took ? static_cast<double>(took->count()) / 1e6 : -1.0);
}

MemberRecord
RecordOf(int aIndex)
{
  const std::string address = MemberNetwork::AddressOf(aIndex);
  MemberRecord record;
  record.identity_ = { NodeIdOf(address),
                       1'000'000,
                       Incarnation{ static_cast<std::uint64_t>(aIndex), 1 },
                       address,
                       address,
                       "service-" + std::to_string(aIndex % 87),
                       "domain-" + std::to_string(aIndex % kDomains),
                       "region-1" };
  record.state_ = MemberState::kAlive;
  return record;
}

/** Measures the state of one node with a full member table that receives digests. */
void
MeasureNode(int aNodes)
{
  NodeSettings settings;
  settings.identity_ = RecordOf(0).identity_;
  Instant now{ std::chrono::hours(1) };
  const double empty = HeapBytes();
  NodeState state = MakeNodeState(settings, now);
  const double before = HeapBytes();
  const auto reduce = [&](EventBody aBody, std::uint64_t aEntropy) {
    state = Reduce(std::move(state), Event{ now, aEntropy, 0, std::move(aBody) }).state_;
  };
  GossipMessage message;
  const MemberRecord sender = RecordOf(1);
  message.sender_ = sender.identity_.id_;
  message.incarnation_ = sender.identity_.incarnation_;
  message.senderAddress_ = sender.identity_.peerAddress_;
  message.body_ = RecordsReply{};
  for (int i = 1; i < aNodes; ++i) {
    message.updates_ = { RecordOf(i) };
    reduce(GossipArrived{ message }, static_cast<std::uint64_t>(i));
  }
  message = {};
  std::printf(
    "%zu members: heap of the empty node %.0f KB, of the members %.0f KB (%.0f bytes each)\n",
    state.membership_.members_.size(),
    (before - empty) / 1e3,
    (HeapBytes() - before) / 1e3,
    (HeapBytes() - before) / aNodes);

  constexpr int kSeconds = 60;
  const int ticks = static_cast<int>(std::chrono::seconds(kSeconds) / kTickInterval);
  const int ticksPerMessage = static_cast<int>(std::chrono::milliseconds(100) / kTickInterval);
  double slowest = 0;
  double ticking = 0;
  double gossiping = 0;
  for (int tick = 0; tick < ticks; ++tick) {
    now += kTickInterval;
    const double start = ProcessorSeconds();
    reduce(Tick{}, static_cast<std::uint64_t>(tick));
    const double took = ProcessorSeconds() - start;
    ticking += took;
    slowest = std::max(slowest, took);
    if (tick % ticksPerMessage == 0) {
      // Ten digests a second from other members, always different from the local one.
      const MemberRecord peer = RecordOf(1 + tick / ticksPerMessage % (aNodes - 1));
      GossipMessage digest;
      digest.sender_ = peer.identity_.id_;
      digest.incarnation_ = peer.identity_.incarnation_;
      digest.senderAddress_ = peer.identity_.peerAddress_;
      digest.body_ = DigestExchange{ { { "", 1 } } };
      const double gossipStart = ProcessorSeconds();
      reduce(GossipArrived{ digest }, static_cast<std::uint64_t>(tick));
      gossiping += ProcessorSeconds() - gossipStart;
    }
  }
  std::printf("tick: mean %.1f us, slowest %.0f us; %.2f%% of a core\n",
              ticking / ticks * 1e6,
              slowest * 1e6,
              ticking / kSeconds * 100);
  std::printf("differing digest: mean %.1f us; 10 a second are %.2f%% of a core\n",
              gossiping / (ticks / ticksPerMessage) * 1e6,
              gossiping / kSeconds * 100);
}

/** Measures the heap of the folded configuration after all declarations and with the full audit
 * trail, and the time to apply one change. */
void
MeasureFold(int aServices, int aKinds)
{
  const double before = HeapBytes();
  ConfigState state;
  std::uint64_t offset = 0;
  const auto apply = [&](Command aCommand) {
    const CommandRecord record{
      CommandId{ offset + 1 }, "operator", state.config_.version_, 0, std::move(aCommand)
    };
    state = ApplyRecord(std::move(state), OffsetRecord{ offset, record }).state_;
    ++offset;
  };
  for (int service = 0; service < aServices; ++service) {
    const std::string name = "service-" + std::to_string(service);
    apply(DeclareService{ name, 160, 1000, 25 });
    for (int kind = 0; kind < aKinds; ++kind) {
      apply(DeclareKind{ name, { "kind-" + std::to_string(kind), Importance::kNormal } });
    }
  }
  const double declared = HeapBytes() - before;
  const std::uint64_t declarations = offset;
  const double start = ProcessorSeconds();
  constexpr int kChanges = 2000;
  for (int i = 0; i < kChanges; ++i) {
    const auto importance = static_cast<Importance>(i / aServices % 4);
    apply(DeclareKind{ "service-" + std::to_string(i % aServices), { "kind-0", importance } });
  }
  const double took = ProcessorSeconds() - start;
  std::printf("%d services with %d kinds, %d declarations: heap %.0f KB; with %zu audit entries "
              "%.0f KB; one change %.1f us\n",
              aServices,
              aKinds,
              static_cast<int>(declarations),
              declared / 1e3,
              state.audit_.size(),
              (HeapBytes() - before) / 1e3,
              took / kChanges * 1e6);
}

int
NumberAt(const std::vector<std::string_view>& aArguments, std::size_t aIndex, int aDefault)
{
  return aIndex < aArguments.size() ? std::atoi(std::string(aArguments[aIndex]).c_str()) : aDefault;
}

} // namespace

int
main(int aCount, char** aValues)
{
  const std::vector<std::string_view> arguments(aValues + 1, aValues + aCount);
  const std::string_view mode = arguments.empty() ? "" : arguments[0];
  const auto number = [&](std::size_t aIndex, int aDefault) {
    return NumberAt(arguments, aIndex, aDefault);
  };
  if (mode == "traffic") {
    MeasureTraffic(
      number(1, 890), number(2, 10), number(3, 1), static_cast<std::uint64_t>(number(4, 5)));
  } else if (mode == "cold") {
    MeasureColdStart(number(1, 890), number(2, 120), static_cast<std::uint64_t>(number(3, 5)));
  } else if (mode == "config") {
    MeasureConfig(number(1, 890), static_cast<std::uint64_t>(number(2, 5)));
  } else if (mode == "node") {
    MeasureNode(number(1, 890));
  } else if (mode == "fold") {
    MeasureFold(number(1, 87), number(2, 10));
  } else {
    std::fprintf(stderr,
                 "usage: measure-control traffic NODES SECONDS RESTARTS [SEED] | "
                 "cold NODES SECONDS [SEED] | config NODES [SEED] | node NODES | "
                 "fold SERVICES KINDS\n");
    return 2;
  }
  return 0;
}
