#include "ChainSimulation.h"

#include "policy/RouteTable.h"

#include <algorithm>
#include <cmath>

namespace fulmarway::test {

namespace {

/** One-way network delay between any two nodes. */
constexpr Duration kNodeDelay = std::chrono::microseconds(700);
constexpr Duration kSettleTime = std::chrono::seconds(2);
/** Time in which a backend server refuses a request. */
constexpr Duration kRefusalTime = std::chrono::milliseconds(1);
constexpr Duration kCallerDeadline = std::chrono::seconds(5);

std::string
UriOf(const ChainKind& aKind)
{
  return "/" + aKind.name_ + "/1";
}

Configuration
MakeConfiguration(const ChainPlan& aPlan)
{
  Configuration configuration;
  configuration.version_ = 1;
  for (const ChainKind& kind : aPlan.kinds_) {
    RouteSpec route;
    route.host_ = "host";
    route.prefix_ = "/" + kind.name_ + "/";
    route.kind_.name_ = kind.name_;
    route.kind_.importance_ = kind.importance_;
    route.kind_.extraAttempts_ = 1;
    route.kind_.deadline_ = kind.timeout_;
    route.kind_.idempotent_ = kind.idempotent_;
    route.parts_ = { { kind.service_, 1 } };
    configuration.routes_.push_back(std::move(route));
  }
  SortRoutes(configuration.routes_);
  return configuration;
}

NodeSettings
MakeSettings(std::size_t aNode, const std::string& aService, const ChainPlan& aPlan)
{
  NodeSettings settings;
  settings.identity_.peerAddress_ = std::to_string(aNode);
  settings.identity_.id_ = NodeId{ aNode + 1 };
  settings.identity_.incarnation_ = { 7, aNode + 1 };
  settings.identity_.service_ = aService;
  settings.identity_.domain_ = "domain-" + std::to_string(aNode % aPlan.domains_);
  settings.identity_.region_ = "region";
  settings.usesStore_ = true;
  settings.usesTickets_ = false;
  settings.retries_.retrySharePercent_ = 5;
  settings.retries_.retryBurst_ = 1;
  settings.backendRetries_.sharePerMille_ = aPlan.backendRetryPerMille_;
  return settings;
}

} // namespace

ChainSimulation::ChainSimulation(ChainPlan aPlan)
  : plan_(std::move(aPlan))
  , nextTick_(now_)
  , random_{ plan_.seed_ }
{
  for (const ChainService& service : plan_.services_) {
    for (std::uint32_t i = 0; i < service.servers_; ++i) {
      nodes_.push_back(
        MakeNodeState(MakeSettings(nodes_.size(), service.name_, plan_), now_));
      speeds_.push_back(service.speeds_[i % service.speeds_.size()]);
    }
  }
  tasks_.resize(nodes_.size());
  AnnouncementsListed all;
  for (const NodeState& node : nodes_) {
    all.members_.push_back(node.membership_.self_);
  }
  std::size_t index = 0;
  for (const ChainService& service : plan_.services_) {
    for (std::uint32_t i = 0; i < service.servers_; ++i, ++index) {
      DeliverEvent(index, StoreCallFinished{ StoreTask::kListing, all });
      DeliverEvent(
        index,
        BackendHeartbeatReceived{
          { "i", 1, 1, service.name_, "10.0.0.1:80", service.slots_, false, Duration{ 0 } } });
      DeliverEvent(index,
                   StoreCallFinished{ StoreTask::kConfiguration,
                                      ConfigurationRead{ MakeConfiguration(plan_), 1, 0 } });
    }
  }
  Run(kSettleTime);
  start_ = now_;
  sending_ = true;
  for (std::size_t kind = 0; kind < plan_.kinds_.size(); ++kind) {
    if (plan_.kinds_[kind].rate_) {
      ScheduleArrival(kind);
    }
  }
}

void
ChainSimulation::Schedule(Duration aDelay, std::size_t aNode, EventBody aBody)
{
  queue_.push({ now_ + aDelay, nextOrder_++, aNode, {}, std::move(aBody) });
}

void
ChainSimulation::ScheduleAction(Duration aDelay, std::function<void()> aAction)
{
  queue_.push({ now_ + aDelay, nextOrder_++, 0, std::move(aAction), Tick{} });
}

void
ChainSimulation::Run(Duration aTime)
{
  const Instant end = now_ + aTime;
  while (true) {
    const Instant next = queue_.empty() ? nextTick_ : std::min(queue_.top().at_, nextTick_);
    if (next > end) {
      now_ = end;
      return;
    }
    now_ = next;
    if (!queue_.empty() && queue_.top().at_ <= now_) {
      Scheduled scheduled = queue_.top();
      queue_.pop();
      if (scheduled.action_) {
        scheduled.action_();
      } else {
        DeliverEvent(scheduled.node_, std::move(scheduled.body_));
      }
      continue;
    }
    nextTick_ += kTickInterval;
    const bool isHeartbeatDue = now_.time_since_epoch() % std::chrono::seconds(1) < kTickInterval;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      if (isHeartbeatDue && nodes_[node].backend_) {
        BackendHeartbeat heartbeat = nodes_[node].backend_->heartbeat_;
        heartbeat.sequence_ += 1;
        DeliverEvent(node, BackendHeartbeatReceived{ heartbeat });
      }
      DeliverEvent(node, Tick{});
    }
  }
}

void
ChainSimulation::DeliverEvent(std::size_t aNode, EventBody aBody)
{
  auto step = Reduce(std::move(nodes_[aNode]), { now_, random_.Next(), 0, std::move(aBody) });
  nodes_[aNode] = std::move(step.state_);
  for (Effect& effect : step.result_) {
    Deliver(aNode, effect);
  }
}

double
ChainSimulation::Random()
{
  return static_cast<double>(random_.Next() >> 11) * 0x1.0p-53;
}

int
ChainSimulation::Second() const
{
  return static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(now_ - start_).count());
}

std::size_t
ChainSimulation::KindIndex(const std::string& aName) const
{
  const auto found = std::find_if(plan_.kinds_.begin(),
                                  plan_.kinds_.end(),
                                  [&](const ChainKind& aKind) { return aKind.name_ == aName; });
  return static_cast<std::size_t>(found - plan_.kinds_.begin());
}

void
ChainSimulation::ScheduleArrival(std::size_t aKind)
{
  const double seconds = std::chrono::duration<double>(now_ - start_).count();
  const double rate = std::max(plan_.kinds_[aKind].rate_(seconds), 0.1);
  const double wait = -std::log(1 - Random()) / rate;
  ScheduleAction(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)),
                 [this, aKind] { SendArrival(aKind); });
}

void
ChainSimulation::SendArrival(std::size_t aKind)
{
  counts_[{ aKind, Second() }].sent_ += 1;
  SendRequest(
    { aKind, Second(), "c" + std::to_string(nextExchange_), now_ + kCallerDeadline, 0 });
  ScheduleArrival(aKind);
}

void
ChainSimulation::SendRequest(PendingRequest aRequest)
{
  const ExchangeId exchange{ nextExchange_++ };
  CallerRequest request;
  request.rootRequestId_ = aRequest.rootRequestId_;
  request.deadline_ = aRequest.deadline_ - now_;
  request.routed_ =
    RoutedPart{ "host", UriOf(plan_.kinds_[aRequest.kind_]), {}, "", *request.rootRequestId_ };
  pendingRequests_.emplace(exchange, std::move(aRequest));
  DeliverEvent(random_.Next() % nodes_.size(),
               CallerRequestArrived{ exchange, std::move(request) });
}

bool
ChainSimulation::ReturnsLater(const PendingRequest& aRequest, const Refusal& aRefusal)
{
  if (aRequest.returns_ >= plan_.returns_ || !aRefusal.retryAfter_ ||
      *aRefusal.retryAfter_ > (aRequest.deadline_ - now_) / 3) {
    return false;
  }
  PendingRequest next = aRequest;
  next.returns_ += 1;
  ScheduleAction(*aRefusal.retryAfter_, [this, next] { SendRequest(next); });
  return true;
}

bool
ChainSimulation::IsRefusedAtRandom(std::size_t aNode)
{
  const std::string& name = nodes_[aNode].settings_.identity_.service_;
  const auto service =
    std::find_if(plan_.services_.begin(),
                 plan_.services_.end(),
                 [&](const ChainService& aService) { return aService.name_ == name; });
  const double seconds = std::chrono::duration<double>(now_ - start_).count();
  return service->refusedShare_ && Random() < service->refusedShare_(seconds);
}

void
ChainSimulation::Work(std::size_t aNode, RequestId aId, double aShare, std::function<void()> aThen)
{
  const std::size_t kind = tasks_[aNode].at(aId).kind_;
  // Within 50% of the mean; the variation of the queueing delay comes from the arrivals.
  const double workMs = plan_.kinds_[kind].workMs_ * aShare * (0.5 + Random()) / speeds_[aNode];
  const std::string& id = tasks_[aNode].at(aId).request_.request_.routed_->requestId_;
  workOfRootRequest_[id.substr(0, id.find('.'))] += workMs;
  ScheduleAction(
    std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(workMs)),
    [this, aNode, aId, then = std::move(aThen)] {
      if (tasks_[aNode].contains(aId)) {
        then();
      }
    });
}

void
ChainSimulation::MakeCalls(std::size_t aNode, RequestId aId)
{
  Task& task = tasks_[aNode].at(aId);
  const auto& calls = plan_.kinds_[task.kind_].calls_;
  if (task.step_ == calls.size()) {
    Work(aNode, aId, 0.5, [this, aNode, aId] {
      tasks_[aNode].erase(aId);
      DeliverEvent(aNode, BackendAnswered{ aId, Answer{ 200 }, false });
    });
    return;
  }
  const DownstreamCalls& next = calls[task.step_];
  const std::uint32_t count = next.together_ ? next.times_ : 1;
  task.open_ = count;
  for (std::uint32_t i = 0; i < count && tasks_[aNode].contains(aId); ++i) {
    SendCall(aNode, aId, next.kind_);
  }
}

void
ChainSimulation::SendCall(std::size_t aNode, RequestId aId, const std::string& aKind)
{
  Task& task = tasks_[aNode].at(aId);
  const ExchangeId exchange{ nextExchange_++ };
  callers_.emplace(exchange, std::pair(aNode, aId));
  CallerRequest request;
  request.rootRequestId_ =
    task.request_.request_.routed_->requestId_ + "." + std::to_string(task.nextCall_++);
  request.deadline_ = std::max(task.deadline_ - now_, Duration{ 1 });
  request.fromBackend_ = true;
  request.routed_ =
    RoutedPart{ "host", UriOf(plan_.kinds_[KindIndex(aKind)]), {}, "", *request.rootRequestId_ };
  Schedule(Duration{ 0 }, aNode, CallerRequestArrived{ exchange, std::move(request) });
}

void
ChainSimulation::EndCall(std::size_t aNode, RequestId aId, bool aIsAnswered)
{
  const auto found = tasks_[aNode].find(aId);
  if (found == tasks_[aNode].end()) {
    return;
  }
  Task& task = found->second;
  if (!aIsAnswered) {
    FailRequest(aNode, aId);
    return;
  }
  task.done_ += 1;
  task.open_ -= 1;
  if (task.open_ > 0) {
    return;
  }
  if (task.done_ == plan_.kinds_[task.kind_].calls_[task.step_].times_) {
    task.step_ += 1;
    task.done_ = 0;
  }
  MakeCalls(aNode, aId);
}

/** A request fails with the first of its downstream calls to fail; the others are cancelled. */
void
ChainSimulation::FailRequest(std::size_t aNode, RequestId aId)
{
  tasks_[aNode].erase(aId);
  Schedule(Duration{ 0 }, aNode, BackendAnswered{ aId, Answer{ 500 }, false });
  for (auto entry = callers_.begin(); entry != callers_.end();) {
    if (entry->second == std::pair(aNode, aId)) {
      Schedule(Duration{ 0 }, aNode, CallerDisconnected{ entry->first });
      entry = callers_.erase(entry);
    } else {
      ++entry;
    }
  }
}

void
ChainSimulation::DeliverReply(const ReplyToCaller& aReply)
{
  const bool isAnswered = aReply.reply_.answer_ && aReply.reply_.answer_->status_ == 200;
  if (const auto caller = callers_.find(aReply.exchange_); caller != callers_.end()) {
    const auto [node, id] = caller->second;
    callers_.erase(caller);
    EndCall(node, id, isAnswered);
  } else if (const auto pending = pendingRequests_.find(aReply.exchange_);
             pending != pendingRequests_.end()) {
    const bool isRefused =
      !aReply.reply_.answer_ && aReply.reply_.outcome_.verdict_ == Verdict::kNotRun;
    if (isRefused && ReturnsLater(pending->second, aReply.reply_.outcome_)) {
      pendingRequests_.erase(pending);
      return;
    }
    ChainCounts& counts = counts_[{ pending->second.kind_, pending->second.second_ }];
    (isAnswered ? counts.answered_ : isRefused ? counts.refused_ : counts.failed_) += 1;
    if (const auto work = workOfRootRequest_.find(pending->second.rootRequestId_);
        work != workOfRootRequest_.end()) {
      WorkTime& time = workTimes_[pending->second.second_];
      (isAnswered ? time.useful_ : time.wasted_) += work->second;
      workOfRootRequest_.erase(work);
    }
    pendingRequests_.erase(pending);
  }
}

void
ChainSimulation::Deliver(std::size_t aNode, Effect& aEffect)
{
  const NodeId self = nodes_[aNode].settings_.identity_.id_;
  if (auto* gossip = std::get_if<SendGossip>(&aEffect)) {
    Schedule(
      kNodeDelay, std::stoul(gossip->address_), GossipArrived{ std::move(gossip->message_) });
  } else if (auto* toPeer = std::get_if<SendToPeer>(&aEffect)) {
    Schedule(kNodeDelay,
             std::stoul(toPeer->address_),
             LinkMessageArrived{ LinkId{ aNode + 1 }, self, std::move(toPeer->message_) });
  } else if (auto* toLink = std::get_if<SendToLink>(&aEffect)) {
    Schedule(kNodeDelay,
             toLink->link_.value_ - 1,
             PeerMessageArrived{ self, std::move(toLink->message_) });
  } else if (const auto* reply = std::get_if<ReplyToCaller>(&aEffect)) {
    DeliverReply(*reply);
  } else if (const auto* call = std::get_if<CallBackend>(&aEffect)) {
    const RequestId id = call->request_.id_;
    if (IsRefusedAtRandom(aNode)) {
      Schedule(kRefusalTime, aNode, BackendAnswered{ id, Answer{ 503 }, true });
      return;
    }
    Task task;
    task.kind_ = KindIndex(call->request_.request_.kind_);
    task.deadline_ = now_ + call->request_.remaining_;
    task.request_ = call->request_;
    tasks_[aNode].insert_or_assign(id, std::move(task));
    Work(aNode, id, 0.5, [this, aNode, id] { MakeCalls(aNode, id); });
  } else if (const auto* cancel = std::get_if<CancelBackend>(&aEffect)) {
    if (tasks_[aNode].contains(cancel->request_)) {
      FailRequest(aNode, cancel->request_);
    }
  }
}

ChainCounts
ChainSimulation::Count(const std::string& aKind, int aFrom, int aTo) const
{
  ChainCounts sum;
  for (int second = aFrom; second < aTo; ++second) {
    const auto found = counts_.find({ KindIndex(aKind), second });
    if (found != counts_.end()) {
      sum.sent_ += found->second.sent_;
      sum.answered_ += found->second.answered_;
      sum.failed_ += found->second.failed_;
      sum.refused_ += found->second.refused_;
    }
  }
  return sum;
}

double
ChainSimulation::WastedShare(int aFrom, int aTo) const
{
  WorkTime sum;
  for (auto entry = workTimes_.lower_bound(aFrom); entry != workTimes_.lower_bound(aTo); ++entry) {
    sum.useful_ += entry->second.useful_;
    sum.wasted_ += entry->second.wasted_;
  }
  return sum.wasted_ / (sum.useful_ + sum.wasted_);
}

} // namespace fulmarway::test
