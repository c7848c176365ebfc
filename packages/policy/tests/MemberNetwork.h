/** \file
 * Simulates a network of nodes that exchange gossip datagrams in virtual time, with loss,
 * duplication, reordering, pauses, restarts and partitions.
 */
#pragma once

#include "policy/GossipQueue.h"
#include "policy/Membership.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace fulmarway::tests {

struct NetworkFaults
{
  int lossPercent_ = 0;
  int duplicatePercent_ = 0;
  /** The one-way delay is 1 ms plus a random part below this, so that datagrams can arrive out of
   * order. */
  int maxDelayMs_ = 1;
};

struct SimulatedNode
{
  NodeIdentity identity_;
  MembershipState state_;
  bool running_ = true;
  bool paused_ = false;
  int group_ = 0;
  std::uint64_t bytesSent_ = 0;
  std::uint64_t bytesReceived_ = 0;
  /** The same bytes by type of message: the index of its body in GossipBody. */
  std::array<std::uint64_t, std::variant_size_v<GossipBody>> sentByBody_{};
  std::array<std::uint64_t, std::variant_size_v<GossipBody>> receivedByBody_{};
  /** For each member and state, when this node first reported the member in that state. */
  std::map<NodeId, std::map<MemberState, Instant>> firstSeen_;
  /** The member table as reconstructed from the reported changes. */
  std::map<NodeId, MemberRecord> fromChanges_;
};

class MemberNetwork
{
public:
  explicit MemberNetwork(std::uint64_t aSeed, NetworkFaults aFaults = {})
    : random_(aSeed)
    , faults_(aFaults)
  {
  }

  /** Adds nodes to the domains in turn. The seeds of each are the first node of every domain. */
  void AddNodes(int aCount, int aDomains)
  {
    for (int i = 0; i < aCount; ++i) {
      const int domain = i % aDomains;
      std::vector<std::string> seeds;
      for (int seed = 0; seed < std::min(aDomains, aCount); ++seed) {
        seeds.push_back(AddressOf(seed));
      }
      AddNode(i, "domain-" + std::to_string(domain), std::move(seeds));
    }
  }

  void AddNode(int aIndex, const std::string& aDomain, std::vector<std::string> aSeeds)
  {
    SimulatedNode node;
    const std::string address = AddressOf(aIndex);
    node.identity_ = { NodeIdOf(address), 1'000'000,    NewIncarnation(), address,
                       address,           "enrolments", aDomain,          "region-" + aDomain };
    node.state_ = MakeMembership({}, node.identity_, std::move(aSeeds), now_);
    nodes_[node.identity_.id_] = std::move(node);
    const NodeId id = NodeIdOf(address);
    order_.push_back(id);
    Apply(id, SetLocalState(ExtractState(id), MemberState::kAlive, {}, Random(), now_));
    ScheduleTick(id, Random() % 100'000);
  }

  /** Gives every node the records of all nodes, which is the converged state. */
  void ShareAllRecords()
  {
    GossipMessage message;
    for (const auto& [id, node] : nodes_) {
      message.updates_.push_back(node.state_.self_);
    }
    message.body_ = RecordsReply{};
    for (const auto& [id, node] : nodes_) {
      message.sender_ = id;
      message.incarnation_ = node.identity_.incarnation_;
    }
    for (const NodeId id : order_) {
      Apply(id, HandleGossip(ExtractState(id), message, Random(), now_));
    }
  }

  /** Replaces the process by a new one at the same address. */
  void Restart(NodeId aId, std::uint64_t aGeneration)
  {
    SimulatedNode& node = nodes_.at(aId);
    node.identity_.generation_ = aGeneration;
    node.identity_.incarnation_ = NewIncarnation();
    node.state_ = MakeMembership({}, node.identity_, node.state_.seeds_, now_);
    node.fromChanges_.clear();
    Apply(aId, SetLocalState(ExtractState(aId), MemberState::kAlive, {}, Random(), now_));
    if (!std::exchange(node.running_, true)) {
      ScheduleTick(aId, 0);
    }
  }

  void Stop(NodeId aId) { nodes_.at(aId).running_ = false; }

  void SetState(NodeId aId, MemberState aState, NodeId aSuccessor = {})
  {
    Apply(aId, SetLocalState(ExtractState(aId), aState, aSuccessor, Random(), now_));
  }

  /** Sets the configuration version that is in effect on the node. */
  void SetVersion(NodeId aId, std::uint64_t aVersion)
  {
    Apply(aId, SetLocalVersions(ExtractState(aId), aVersion, 0, Random(), now_));
  }

  /** Makes nodes fetch a higher version that a header names; it takes effect aFetchTime later. */
  void EnableVersionFetch(Duration aFetchTime) { fetchTime_ = aFetchTime; }

  int CountWithVersion(std::uint64_t aVersion) const
  {
    return static_cast<int>(std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& aNode) {
      return aNode.second.state_.self_.configVersion_ >= aVersion;
    }));
  }

  void Pause(NodeId aId) { nodes_.at(aId).paused_ = true; }

  /** Delivers the datagrams that arrived during the pause, or discards them as when the whole VM
   * was paused. */
  void Resume(NodeId aId, bool aKeepDatagrams = true)
  {
    nodes_.at(aId).paused_ = false;
    if (!aKeepDatagrams) {
      heldMessages_.erase(aId);
    }
    for (GossipMessage& message : heldMessages_[aId]) {
      events_.emplace(now_, NetworkEvent{ aId, std::move(message), {} });
    }
    heldMessages_.erase(aId);
    ScheduleTick(aId, 0);
  }

  /** Assigns nodes to groups; datagrams between groups are lost. */
  void Partition(const std::function<int(const SimulatedNode&)>& aGroup)
  {
    for (auto& [id, node] : nodes_) {
      node.group_ = aGroup(node);
    }
  }

  void Heal()
  {
    Partition([](const SimulatedNode&) { return 0; });
  }

  /** Cuts the path between two nodes in both directions. */
  void CutPath(NodeId aOne, NodeId aOther)
  {
    cutPaths_.emplace(aOne, aOther);
    cutPaths_.emplace(aOther, aOne);
  }

  void Run(Duration aDuration)
  {
    const Instant end = now_ + aDuration;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto first = events_.extract(events_.begin());
      now_ = first.key();
      ProcessEvent(first.mapped());
    }
    now_ = end;
  }

  /** Runs until the predicate holds and returns the time that took, or nullopt if it does not hold
   * within the limit. */
  std::optional<Duration> RunUntil(Duration aLimit, const std::function<bool()>& aDone)
  {
    const Instant start = now_;
    while (!aDone()) {
      if (now_ - start >= aLimit) {
        return std::nullopt;
      }
      Run(std::chrono::milliseconds(100));
    }
    return now_ - start;
  }

  /** Whether every running node sees exactly the running ones, itself included, as alive. */
  bool Converged() const
  {
    std::set<NodeId> expected;
    for (const auto& [id, node] : nodes_) {
      if (node.running_) {
        expected.insert(id);
      }
    }
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& aNode) {
      return !aNode.second.running_ || AliveSeenBy(aNode.first) == expected;
    });
  }

  std::set<NodeId> AliveSeenBy(NodeId aId) const
  {
    std::set<NodeId> alive{ aId };
    for (const MemberRecord& record : Members(nodes_.at(aId).state_)) {
      if (record.state_ == MemberState::kAlive) {
        alive.insert(record.identity_.id_);
      }
    }
    return alive;
  }

  /** Number of other running nodes that see the member in this state. */
  int CountSeeing(NodeId aMember, MemberState aState, const std::string& aDomain = "") const
  {
    int count = 0;
    for (const auto& [id, node] : nodes_) {
      const MemberRecord* record = FindMember(node.state_, aMember);
      count += node.running_ && id != aMember && record != nullptr && record->state_ == aState &&
               (aDomain.empty() || node.identity_.domain_ == aDomain);
    }
    return count;
  }

  int CountOtherRunning(NodeId aMember, const std::string& aDomain = "") const
  {
    int count = 0;
    for (const auto& [id, node] : nodes_) {
      count +=
        node.running_ && id != aMember && (aDomain.empty() || node.identity_.domain_ == aDomain);
    }
    return count;
  }

  void Apply(NodeId aId, Step<MembershipState, GossipOutput> aStep)
  {
    SimulatedNode& node = nodes_.at(aId);
    node.state_ = std::move(aStep.state_);
    for (const MemberChange& change : aStep.result_.changes_) {
      const NodeId member = change.after_.identity_.id_;
      node.firstSeen_[member].try_emplace(change.after_.state_, now_);
      node.fromChanges_[member] = change.after_;
    }
    for (OutgoingGossip& outgoing : aStep.result_.messages_) {
      Transmit(node, std::move(outgoing));
    }
  }

  MembershipState ExtractState(NodeId aId) { return std::move(nodes_.at(aId).state_); }

  std::uint64_t Random()
  {
    random_ ^= random_ << 13;
    random_ ^= random_ >> 7;
    random_ ^= random_ << 17;
    return random_;
  }

  static std::string AddressOf(int aIndex)
  {
    return "10." + std::to_string(aIndex / 250) + ".0." + std::to_string(aIndex % 250 + 1) +
           ":7000";
  }

  const SimulatedNode& At(NodeId aId) const { return nodes_.at(aId); }
  NodeId IdAt(std::size_t aIndex) const { return order_.at(aIndex); }
  std::map<NodeId, SimulatedNode>& Nodes() { return nodes_; }
  Instant Now() const { return now_; }
  std::size_t LargestDatagram() const { return largestDatagram_; }
  void SetFaults(NetworkFaults aFaults) { faults_ = aFaults; }

private:
  struct NetworkEvent
  {
    NodeId to_;
    /** The event is a tick if neither this nor the version is set. */
    std::optional<GossipMessage> message_;
    /** A fetched configuration version. */
    std::optional<std::uint64_t> version_;
  };

  Incarnation NewIncarnation() { return { Random(), Random() }; }

  void ScheduleTick(NodeId aId, std::uint64_t aMicroseconds)
  {
    events_.emplace(now_ + Duration{ aMicroseconds }, NetworkEvent{ aId, {}, {} });
  }

  void Transmit(SimulatedNode& aFrom, OutgoingGossip aOutgoing)
  {
    constexpr std::size_t kIpAndUdpHeader = 28;
    const std::size_t payload = EstimateBytes(aOutgoing.message_);
    largestDatagram_ = std::max(largestDatagram_, payload);
    const std::size_t body = aOutgoing.message_.body_.index();
    aFrom.bytesSent_ += payload + kIpAndUdpHeader;
    aFrom.sentByBody_[body] += payload + kIpAndUdpHeader;
    const NodeId to = NodeIdOf(aOutgoing.address_);
    const auto receiver = nodes_.find(to);
    if (receiver == nodes_.end() || receiver->second.group_ != aFrom.group_ ||
        cutPaths_.contains({ aFrom.identity_.id_, to })) {
      return;
    }
    const int copies = 1 + Chance(faults_.duplicatePercent_);
    for (int i = 0; i < copies; ++i) {
      if (!Chance(faults_.lossPercent_)) {
        const Duration delay{ 1000 + Random() % (1000 * faults_.maxDelayMs_) };
        events_.emplace(now_ + delay, NetworkEvent{ to, aOutgoing.message_, {} });
        receiver->second.bytesReceived_ += payload + kIpAndUdpHeader;
        receiver->second.receivedByBody_[body] += payload + kIpAndUdpHeader;
      }
    }
  }

  bool Chance(int aPercent) { return static_cast<int>(Random() % 100) < aPercent; }

  void ProcessEvent(NetworkEvent& aEvent)
  {
    SimulatedNode& node = nodes_.at(aEvent.to_);
    if (!node.running_) {
      return;
    }
    if (node.paused_) {
      if (aEvent.message_) {
        heldMessages_[aEvent.to_].push_back(std::move(*aEvent.message_));
      }
      return;
    }
    if (aEvent.version_) {
      SetVersion(aEvent.to_, *aEvent.version_);
    } else if (aEvent.message_) {
      const std::uint64_t version = aEvent.message_->configVersion_;
      if (fetchTime_ && version > node.state_.self_.configVersion_) {
        events_.emplace(now_ + *fetchTime_, NetworkEvent{ aEvent.to_, {}, version });
      }
      Apply(aEvent.to_, HandleGossip(ExtractState(aEvent.to_), *aEvent.message_, Random(), now_));
    } else {
      Apply(aEvent.to_, AdvanceMembership(ExtractState(aEvent.to_), Random(), now_));
      ScheduleTick(aEvent.to_, 100'000);
    }
  }

  std::uint64_t random_;
  NetworkFaults faults_;
  Instant now_{ std::chrono::hours(1) };
  std::map<NodeId, SimulatedNode> nodes_;
  std::vector<NodeId> order_;
  std::multimap<Instant, NetworkEvent> events_;
  std::map<NodeId, std::vector<GossipMessage>> heldMessages_;
  std::set<std::pair<NodeId, NodeId>> cutPaths_;
  std::size_t largestDatagram_ = 0;
  /** Nodes do not fetch versions when empty. */
  std::optional<Duration> fetchTime_;
};

} // namespace fulmarway::tests
