/** \file
 * In-memory simulation, in virtual time, of a few nodes that use a store and heartbeats. Messages
 * between nodes arrive immediately and in order; the test acts as the callers, the backend servers
 * and the store.
 */
#pragma once

#include "policy/Reducer.h"
#include "policy/RouteTable.h"

#include <deque>
#include <set>
#include <utility>
#include <vector>

namespace fulmarway::test {

inline constexpr std::uint32_t kRoutedSlots = 4;

/** A configuration that routes "http://host/safe/" (idempotent) and "/unsafe/" to the service
 * "pricing". */
inline Configuration
MakeRoutedConfiguration(std::uint64_t aVersion)
{
  Configuration configuration;
  configuration.version_ = aVersion;
  for (const bool isSafe : { true, false }) {
    RouteSpec route;
    route.host_ = "host";
    route.prefix_ = isSafe ? "/safe/" : "/unsafe/";
    route.kind_.name_ = isSafe ? "safe" : "unsafe";
    route.kind_.idempotent_ = isSafe;
    route.kind_.extraAttempts_ = 1;
    route.kind_.deadline_ = std::chrono::milliseconds(800);
    route.parts_ = { { "pricing", 1 } };
    configuration.routes_.push_back(std::move(route));
  }
  SortRoutes(configuration.routes_);
  return configuration;
}

inline BackendHeartbeat
MakeRoutedHeartbeat(std::uint64_t aSequence)
{
  return { "i-1", 1000, aSequence, "pricing", "10.0.0.1:80", kRoutedSlots, false, {} };
}

class RoutedSimulation
{
public:
  /** Whether the store answers the first listing. Until then a node waits for the departure that an
   * earlier process may have recorded, before it uses its backend server. */
  enum class FirstListing
  {
    kAnswered,
    kPending,
  };

  /** Creates nodes of the service "pricing" in one failure domain that are members of one cluster,
   * each with a backend server and a configuration. */
  explicit RoutedSimulation(std::size_t aNodes, FirstListing aListing = FirstListing::kAnswered)
  {
    for (std::size_t i = 0; i < aNodes; ++i) {
      NodeSettings settings;
      settings.identity_.peerAddress_ = "10.0.0." + std::to_string(i + 1) + ":7000";
      settings.identity_.id_ = NodeId{ i + 1 };
      settings.identity_.incarnation_ = { 7, i + 1 };
      settings.identity_.service_ = "pricing";
      settings.identity_.domain_ = "colombo-a";
      settings.identity_.region_ = "western";
      settings.usesStore_ = true;
      settings.usesTickets_ = false;
      settings.acceptAfterStop_ = std::chrono::milliseconds(2500);
      settings.stopTimeout_ = std::chrono::seconds(5);
      nodes_.push_back(MakeNodeState(settings, now_));
      effects_.emplace_back();
    }
    for (std::size_t i = 0; i < aNodes; ++i) {
      AnnouncementsListed listed;
      for (std::size_t k = 0; k < aNodes; ++k) {
        if (k != i) {
          listed.members_.push_back(nodes_[k].membership_.self_);
        }
      }
      if (aListing == FirstListing::kAnswered) {
        Inject(i, StoreCallFinished{ StoreTask::kListing, std::move(listed) });
      }
      Inject(i, BackendHeartbeatReceived{ MakeRoutedHeartbeat(1) });
      Configure(i, MakeRoutedConfiguration(1));
    }
    Run(std::chrono::seconds(2));
  }

  void Configure(std::size_t aNode, Configuration aConfiguration)
  {
    ConfigurationRead read{ std::move(aConfiguration), 1, 0 };
    read.newest_ = NewestRecord::kDecoded;
    read.reachesEnd_ = true;
    Inject(aNode, StoreCallFinished{ StoreTask::kConfiguration, std::move(read) });
  }

  void Inject(std::size_t aNode, EventBody aBody)
  {
    pending_.emplace_back(aNode, std::move(aBody));
    while (!pending_.empty()) {
      auto [node, body] = std::move(pending_.front());
      pending_.pop_front();
      auto step =
        Reduce(std::move(nodes_[node]), Event{ now_, ++entropy_, wallTimeMs_, std::move(body) });
      nodes_[node] = std::move(step.state_);
      for (Effect& effect : step.result_) {
        Deliver(node, effect);
      }
    }
  }

  /** Advances the time and ticks all nodes; the backend servers send a heartbeat once a second. */
  void Run(Duration aTime)
  {
    const Instant end = now_ + aTime;
    while (now_ < end) {
      now_ += kTickInterval;
      const bool isHeartbeatDue = now_.time_since_epoch() % std::chrono::seconds(1) < kTickInterval;
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (isHeartbeatDue && sendsHeartbeats_) {
          BackendHeartbeat heartbeat = MakeRoutedHeartbeat(++sequence_);
          heartbeat.draining_ = draining_.contains(i);
          Inject(i, BackendHeartbeatReceived{ heartbeat });
        }
        Inject(i, Tick{ writing_.contains(i) });
      }
    }
  }

  /** Sends a caller's request with a deadline of 5 s. */
  ExchangeId SendRequest(std::size_t aNode, const std::string& aUri)
  {
    CallerRequest request;
    request.rootRequestId_ = "id-" + std::to_string(++nextExchange_);
    request.deadline_ = std::chrono::seconds(5);
    request.routed_ = RoutedPart{ "host", aUri, {}, "", *request.rootRequestId_ };
    const ExchangeId exchange{ nextExchange_ };
    Inject(aNode, CallerRequestArrived{ exchange, std::move(request) });
    return exchange;
  }

  template<typename Kind>
  std::vector<Kind> Effects(std::size_t aNode) const
  {
    std::vector<Kind> found;
    for (const Effect& effect : effects_[aNode]) {
      if (const auto* matching = std::get_if<Kind>(&effect)) {
        found.push_back(*matching);
      }
    }
    return found;
  }

  /** The requests that all backend servers received, with the node of each. */
  std::vector<std::pair<std::size_t, BackendRequest>> BackendRequests() const
  {
    std::vector<std::pair<std::size_t, BackendRequest>> found;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      for (const CallBackend& call : Effects<CallBackend>(i)) {
        found.emplace_back(i, call.request_);
      }
    }
    return found;
  }

  /** The reply to the exchange; nullopt when none has been sent yet. */
  std::optional<CallerReply> ReplyTo(std::size_t aNode, ExchangeId aExchange) const
  {
    for (const ReplyToCaller& reply : Effects<ReplyToCaller>(aNode)) {
      if (reply.exchange_ == aExchange) {
        return reply.reply_;
      }
    }
    return std::nullopt;
  }

  Instant now_;
  std::vector<NodeState> nodes_;
  /** Effects that are not messages between nodes, by node. */
  std::vector<std::vector<Effect>> effects_;
  bool sendsHeartbeats_ = true;
  /** Time of day of all nodes; doesn't advance with now_. */
  std::uint64_t wallTimeMs_ = 0;
  std::set<std::size_t> draining_;
  /** Nodes with replies that are not completely written. */
  std::set<std::size_t> writing_;

private:
  std::size_t NodeAt(const std::string& aAddress) const
  {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].settings_.identity_.peerAddress_ == aAddress) {
        return i;
      }
    }
    return nodes_.size();
  }

  /** Delivers messages between nodes and records all other effects. On the receiving node, the link
   * id of node aFrom is aFrom + 1. */
  void Deliver(std::size_t aFrom, Effect& aEffect)
  {
    const NodeId self = nodes_[aFrom].settings_.identity_.id_;
    if (auto* gossip = std::get_if<SendGossip>(&aEffect)) {
      const std::size_t target = NodeAt(gossip->address_);
      if (target < nodes_.size()) {
        pending_.emplace_back(target, GossipArrived{ std::move(gossip->message_) });
      }
    } else if (auto* toPeer = std::get_if<SendToPeer>(&aEffect)) {
      pending_.emplace_back(
        NodeAt(toPeer->address_),
        LinkMessageArrived{ LinkId{ aFrom + 1 }, self, std::move(toPeer->message_) });
    } else if (auto* toLink = std::get_if<SendToLink>(&aEffect)) {
      pending_.emplace_back(toLink->link_.value_ - 1,
                            PeerMessageArrived{ self, std::move(toLink->message_) });
    } else {
      effects_[aFrom].push_back(std::move(aEffect));
    }
  }

  std::deque<std::pair<std::size_t, EventBody>> pending_;
  std::uint64_t entropy_ = 0;
  std::uint64_t sequence_ = 1;
  std::uint64_t nextExchange_ = 0;
};

} // namespace fulmarway::test
