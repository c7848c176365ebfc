/** \file
 * Simulation of the quota modules of many nodes in virtual time: views of the cluster that change
 * at other times on every node, a network with delay, loss, copies, cuts and freezes, and callers.
 */
#pragma once

#include "policy/QuotaNode.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fulmarway::test {

inline constexpr Duration kQuotaStep = std::chrono::milliseconds(5);

/** Requests of one account and what became of them. */
struct QuotaTally
{
  std::vector<Instant> run_;
  std::uint64_t overQuota_ = 0;
  std::uint64_t unavailable_ = 0;
  std::uint64_t sent_ = 0;
  std::vector<Instant> retryAt_;
};

class QuotaSimulation
{
public:
  struct Node
  {
    QuotaState state_;
    bool running_ = true;
    bool frozen_ = false;
    int part_ = 0;
    /** Of the limits that it applies. */
    int version_ = 0;
    std::vector<std::pair<NodeId, GossipBody>> held_;
    /** Nodes that this node believes to be live. */
    std::set<std::size_t> live_;
    std::uint64_t messagesSent_ = 0;
    std::uint64_t messagesReceived_ = 0;
  };

  QuotaSimulation(std::size_t aNodes, std::uint64_t aSeed)
    : random_(aSeed)
    , nodes_(aNodes)
  {
    for (std::size_t i = 0; i < aNodes; ++i) {
      for (std::size_t k = 0; k < aNodes; ++k) {
        nodes_[i].live_.insert(k);
      }
      Start(i, Duration{ 0 });
    }
  }

  void SetQuota(const std::string& aAccount, double aRate, double aBurst)
  {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      SetQuotaAt(i, aAccount, aRate, aBurst);
    }
  }

  /** Each node applies the limit within aSpread. */
  void ChangeQuota(const std::string& aAccount, double aRate, double aBurst, Duration aSpread)
  {
    const int version = ++version_;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Schedule(RandomTime(aSpread), [=, this] {
        if (nodes_[i].version_ < version) {
          nodes_[i].version_ = version;
          SetQuotaAt(i, aAccount, aRate, aBurst);
        }
      });
    }
  }

  /** A caller's request at the node. A node that does not run loses it. */
  void Request(std::size_t aNode, const std::string& aAccount)
  {
    if (!nodes_[aNode].running_) {
      return;
    }
    if (nodes_[aNode].frozen_) {
      waitingCallers_[aNode].push_back(aAccount);
      return;
    }
    ++tallies_[aAccount].sent_;
    const CallId call{ ++nextCall_ };
    accountOf_[call] = aAccount;
    Act(aNode, [&](QuotaContext& aContext) {
      TakeAccountToken(nodes_[aNode].state_, aContext, aAccount, call);
    });
  }

  void Kill(std::size_t aNode)
  {
    nodes_[aNode].running_ = false;
    nodes_[aNode].held_.clear();
    waitingCallers_[aNode].clear();
    ScheduleViews();
  }

  /** Starts a new process; it lists the store after aListing. */
  void Start(std::size_t aNode, Duration aListing)
  {
    Node& node = nodes_[aNode];
    const auto quotas = node.state_.quotas_;
    node.state_ = {};
    node.state_.quotas_ = quotas;
    node.state_.view_.self_ = IdOf(aNode);
    node.state_.view_.accruesFrom_ = now_ + aListing + std::chrono::seconds(2);
    node.running_ = true;
    node.frozen_ = false;
    node.held_.clear();
    ScheduleViews();
  }

  void Freeze(std::size_t aNode)
  {
    nodes_[aNode].frozen_ = true;
    ScheduleViews();
  }

  /** Delivers what waited in the buffers, before or after the first tick. */
  void Thaw(std::size_t aNode)
  {
    Node& node = nodes_[aNode];
    if (!std::exchange(node.frozen_, false)) {
      return;
    }
    if (Below(2) == 0) {
      Tick(aNode);
    }
    for (auto& [from, body] : std::exchange(node.held_, {})) {
      Receive(aNode, from, body);
    }
    for (const std::string& account : std::exchange(waitingCallers_[aNode], {})) {
      Request(aNode, account);
    }
    ScheduleViews();
  }

  void Partition(const std::function<int(std::size_t)>& aPart)
  {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i].part_ = aPart(i);
    }
    ScheduleViews();
  }

  /** Cuts the path in one direction, or restores it. */
  void CutPath(std::size_t aFrom, std::size_t aTo, bool aIsCut)
  {
    if (aIsCut) {
      cutPaths_.emplace(aFrom, aTo);
    } else {
      cutPaths_.erase({ aFrom, aTo });
    }
    ScheduleViews();
  }

  /** Calls aDemand(now) every step. */
  void Run(Duration aTime, const std::function<void()>& aDemand = {})
  {
    const Instant end = now_ + aTime;
    while (now_ < end) {
      now_ += kQuotaStep;
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = events_.extract(events_.begin());
        event.mapped()();
      }
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const auto phase = kQuotaStep * static_cast<int>(i % (kTick / kQuotaStep));
        if ((now_.time_since_epoch() + phase) % kTick == Duration{ 0 }) {
          Tick(i);
        }
      }
      if (aDemand) {
        aDemand();
      }
    }
  }

  /** Sends requests of the account at this rate, at random times and random ones of the nodes. */
  void Demand(const std::string& aAccount, double aRate, const std::vector<std::size_t>& aNodes)
  {
    std::poisson_distribution<int> count(aRate * std::chrono::duration<double>(kQuotaStep).count());
    for (int left = count(random_); left > 0; --left) {
      Request(aNodes[Below(aNodes.size())], aAccount);
    }
  }

  std::size_t Below(std::size_t aBound) { return random_() % aBound; }
  Duration RandomTime(Duration aBound)
  {
    return aBound.count() == 0 ? aBound : Duration(Below(static_cast<std::size_t>(aBound.count())));
  }

  /** The pool node of the account in the view of a node that sees all others. */
  std::size_t PoolNodeOf(const std::string& aAccount) const
  {
    std::vector<NodeId> live;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      live.push_back(IdOf(i));
    }
    return RankPoolNodes(live)[StableHash(aAccount) % kQuotaBuckets][0].value_ - 1;
  }

  static NodeId IdOf(std::size_t aNode) { return NodeId{ aNode + 1 }; }

  /** Requests of the account that ran in the last aTime. */
  std::size_t RunSince(const std::string& aAccount, Duration aTime)
  {
    const auto& run = tallies_[aAccount].run_;
    return static_cast<std::size_t>(run.end() -
                                    std::upper_bound(run.begin(), run.end(), now_ - aTime));
  }

  Instant now_{ std::chrono::hours(1) };
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::map<std::string, QuotaTally> tallies_;
  QuotaBounds bounds_;
  int lossPerMille_ = 0;
  int copyPerMille_ = 0;
  Duration maxDelay_ = std::chrono::milliseconds(5);
  /** Share of requests that are not sent after they took a token and return it. */
  int returnPercent_ = 0;
  /** Longest time until a node learns that another one became reachable or unreachable. */
  Duration detectionTime_ = std::chrono::seconds(3);

private:
  static constexpr Duration kTick = std::chrono::milliseconds(20);

  void SetQuotaAt(std::size_t aNode, const std::string& aAccount, double aRate, double aBurst)
  {
    const auto bucket = static_cast<std::uint32_t>(StableHash(aAccount) % kQuotaBuckets);
    nodes_[aNode].state_.quotas_[aAccount] = { aRate, aBurst, bucket };
  }

  void Schedule(Duration aDelay, std::function<void()> aAct)
  {
    events_.emplace(now_ + aDelay, std::move(aAct));
  }

  bool IsConnected(std::size_t aFrom, std::size_t aTo) const
  {
    return nodes_[aFrom].part_ == nodes_[aTo].part_ && !cutPaths_.contains({ aFrom, aTo });
  }

  bool SeesLive(std::size_t aNode, std::size_t aOther) const
  {
    return aNode == aOther || (nodes_[aOther].running_ && !nodes_[aOther].frozen_ &&
                               IsConnected(aNode, aOther) && IsConnected(aOther, aNode));
  }

  /** Every node learns of every change after a time of its own. */
  void ScheduleViews()
  {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      for (std::size_t k = 0; k < nodes_.size(); ++k) {
        if (SeesLive(i, k) != nodes_[i].live_.contains(k)) {
          Schedule(RandomTime(detectionTime_), [=, this] {
            if (SeesLive(i, k)) {
              nodes_[i].live_.insert(k);
            } else {
              nodes_[i].live_.erase(k);
            }
          });
        }
      }
    }
  }

  void Tick(std::size_t aNode)
  {
    Node& node = nodes_[aNode];
    if (!node.running_ || node.frozen_) {
      return;
    }
    QuotaView& view = node.state_.view_;
    view.nodes_ = static_cast<std::uint32_t>(nodes_.size());
    view.live_.clear();
    for (const std::size_t live : node.live_) {
      view.live_.push_back(IdOf(live));
    }
    Act(aNode, [&](QuotaContext& aContext) { AdvanceQuotas(node.state_, aContext); });
  }

  void Receive(std::size_t aNode, NodeId aFrom, const GossipBody& aBody)
  {
    Node& node = nodes_[aNode];
    if (!node.running_) {
      return;
    }
    if (node.frozen_) {
      node.held_.emplace_back(aFrom, aBody);
      return;
    }
    ++node.messagesReceived_;
    Act(aNode,
        [&](QuotaContext& aContext) { ReceiveQuotaMessage(node.state_, aContext, aFrom, aBody); });
  }

  template<typename Step>
  void Act(std::size_t aNode, Step aStep)
  {
    QuotaContext context{ bounds_, MakeQuotaTimes(bounds_), now_ };
    aStep(context);
    for (QuotaMessage& message : context.messages_) {
      Transmit(aNode, message.to_.value_ - 1, std::move(message.body_));
    }
    for (const TokenOutcome& outcome : context.outcomes_) {
      Finish(aNode, outcome);
    }
  }

  void Transmit(std::size_t aFrom, std::size_t aTo, GossipBody aBody)
  {
    ++nodes_[aFrom].messagesSent_;
    const int copies = 1 + (static_cast<int>(Below(1000)) < copyPerMille_ ? 1 : 0);
    for (int i = 0; i < copies; ++i) {
      if (IsConnected(aFrom, aTo) && static_cast<int>(Below(1000)) >= lossPerMille_) {
        Schedule(std::chrono::milliseconds(1) + RandomTime(maxDelay_),
                 [=, this] { Receive(aTo, IdOf(aFrom), aBody); });
      }
    }
  }

  void Finish(std::size_t aNode, const TokenOutcome& aOutcome)
  {
    const std::string account = accountOf_.at(aOutcome.call_);
    accountOf_.erase(aOutcome.call_);
    QuotaTally& tally = tallies_[account];
    if (!aOutcome.token_) {
      const bool isOver = aOutcome.refusal_.reason_ == Reason::kOverQuota;
      ++(isOver ? tally.overQuota_ : tally.unavailable_);
      tally.retryAt_.push_back(now_ + *aOutcome.refusal_.retryAfter_);
    } else if (static_cast<int>(Below(100)) < returnPercent_) {
      Schedule(RandomTime(std::chrono::milliseconds(400)), [this, aNode, aOutcome] {
        if (nodes_[aNode].running_ && !nodes_[aNode].frozen_) {
          Act(aNode, [&](QuotaContext& aContext) {
            ReturnAccountToken(nodes_[aNode].state_, aContext, *aOutcome.token_);
          });
        }
      });
    } else {
      tally.run_.push_back(now_);
    }
  }

  std::multimap<Instant, std::function<void()>> events_;
  std::set<std::pair<std::size_t, std::size_t>> cutPaths_;
  std::map<std::size_t, std::vector<std::string>> waitingCallers_;
  std::map<CallId, std::string> accountOf_;
  std::uint64_t nextCall_ = 0;
  int version_ = 0;
};

} // namespace fulmarway::test
