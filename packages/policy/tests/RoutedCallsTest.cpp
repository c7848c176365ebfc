/** \file
 * Guarantees for routed requests: at most one execution of a request that is not idempotent,
 * correct verdicts of refusals, and an outcome by the deadline of the route.
 */
#include "policy/tests/RoutedSimulation.h"

#include "policy/RoutedCalls.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::test;
using namespace std::chrono_literals;

namespace {

/** The only request that reached a backend server. */
std::pair<std::size_t, BackendRequest>
OnlyRequest(const RoutedSimulation& aSimulation)
{
  const auto requests = aSimulation.BackendRequests();
  cr_assert_eq(requests.size(), 1U);
  return requests.front();
}

} // namespace

/** Guards against a second execution of a request whose answer was lost. */
Test(routed_calls, lost_answer_ends_a_request_that_is_not_idempotent)
{
  for (const bool isSafe : { true, false }) {
    RoutedSimulation simulation(3);
    const ExchangeId exchange = simulation.SendRequest(0, isSafe ? "/safe/1" : "/unsafe/1");
    const auto [node, request] = OnlyRequest(simulation);
    simulation.Inject(node, BackendFailed{ request.id_, true });
    cr_expect_eq(simulation.BackendRequests().size(), isSafe ? 2U : 1U);
    const auto reply = simulation.ReplyTo(0, exchange);
    cr_expect_eq(reply.has_value(), !isSafe);
    cr_expect(isSafe || reply->outcome_.verdict_ == Verdict::kMayHaveRun);
  }
}

/** Guards against what is no answer and reaches the caller as one through a node of another
 * version.
 */
Test(routed_calls, status_that_is_no_answer_may_have_run)
{
  for (const std::uint16_t status : { 0, 99, 100, 101, 103, 199, 600, 999, 65535 }) {
    RoutedSimulation simulation(3);
    const ExchangeId exchange = simulation.SendRequest(0, "/unsafe/1");
    const auto [node, request] = OnlyRequest(simulation);
    simulation.Inject(node, BackendAnswered{ request.id_, Answer{ status }, false });
    const auto reply = simulation.ReplyTo(0, exchange);
    cr_assert(reply.has_value(), "%d", status);
    cr_expect_not(reply->answer_.has_value(), "%d", status);
    cr_expect(reply->outcome_.verdict_ == Verdict::kMayHaveRun, "%d", status);
    cr_expect_eq(simulation.BackendRequests().size(), 1U);
  }
}

/** Guards against a late second copy of a message between nodes that ends, answers or repeats
 * another attempt: the request runs at most once more, and its caller gets the answer of the
 * attempt that is running. */
Test(routed_calls, copies_of_messages_between_nodes_change_nothing)
{
  RoutedSimulation simulation(3);
  const ExchangeId exchange = simulation.SendRequest(0, "/unsafe/1");
  const auto [first, request] = OnlyRequest(simulation);
  const auto firstAttempt = simulation.nodes_[0].outbound_.byAttempt_.begin()->first;
  simulation.Inject(first, BackendAnswered{ request.id_, Answer{ 503 }, true });
  const auto requests = simulation.BackendRequests();
  cr_assert_eq(requests.size(), 2U);
  // They are in the order of the nodes.
  const auto& [second, repeated] = requests[requests[0].first == first ? 1 : 0];
  const auto secondAttempt = simulation.nodes_[0].outbound_.byAttempt_.begin()->first;
  const NodeId firstNode = simulation.nodes_[first].settings_.identity_.id_;
  CallAnswer answer;
  answer.attempt_ = firstAttempt;
  answer.answer_.status_ = 200;
  const PeerMessage copies[] = {
    CallRefused{ firstAttempt, { Verdict::kNotRun, Reason::kRefusedByBackend, std::nullopt } },
    answer,
    CallAnswerPart{ firstAttempt, 0, "copy" },
  };
  for (const PeerMessage& copy : copies) {
    simulation.Inject(0, PeerMessageArrived{ firstNode, copy });
    // A copy for the running attempt from a node that does not execute it is foreign as well.
    cr_expect_eq(simulation.BackendRequests().size(), 2U);
    cr_expect_not(simulation.ReplyTo(0, exchange).has_value());
  }
  simulation.Inject(second, BackendAnswered{ repeated.id_, Answer{ 201 }, false });
  cr_assert(simulation.ReplyTo(0, exchange).has_value());
  cr_expect_eq(simulation.ReplyTo(0, exchange)->answer_->status_, 201);
  answer.attempt_ = secondAttempt;
  simulation.Inject(
    0, PeerMessageArrived{ simulation.nodes_[second].settings_.identity_.id_, answer });
  cr_expect_eq(simulation.Effects<ReplyToCaller>(0).size(), 1U);
}

/** Guards against refusing a request that another backend server could have executed. */
Test(routed_calls, refused_request_is_sent_to_another_backend_server)
{
  RoutedSimulation simulation(3);
  const ExchangeId exchange = simulation.SendRequest(0, "/unsafe/1");
  const auto [first, request] = OnlyRequest(simulation);
  simulation.Inject(first, BackendAnswered{ request.id_, Answer{ 503 }, true });
  const auto requests = simulation.BackendRequests();
  cr_assert_eq(requests.size(), 2U);
  cr_expect(requests[0].first != requests[1].first);
  cr_expect_not(simulation.ReplyTo(0, exchange).has_value());
}

Test(routed_calls, attempts_are_limited_by_the_route)
{
  RoutedSimulation simulation(3);
  const ExchangeId exchange = simulation.SendRequest(0, "/unsafe/1");
  for (int i = 0; i < 3; ++i) {
    const auto requests = simulation.BackendRequests();
    for (const auto& [node, request] : requests) {
      simulation.Inject(node, BackendAnswered{ request.id_, Answer{ 503 }, true });
    }
  }
  cr_expect_eq(simulation.BackendRequests().size(), 2U, "one extra attempt");
  const auto reply = simulation.ReplyTo(0, exchange);
  cr_assert(reply.has_value());
  cr_expect(reply->outcome_.verdict_ == Verdict::kNotRun && reply->outcome_.retryAfter_);
}

/** Guards against a 404 from a node that has just started and has no configuration yet. */
Test(routed_calls, unknown_routes_are_reported_only_with_a_configuration)
{
  RoutedSimulation simulation(1);
  const ExchangeId unknown = simulation.SendRequest(0, "/other/1");
  cr_expect(simulation.ReplyTo(0, unknown)->outcome_.reason_ == Reason::kUnknownKind);
  simulation.nodes_[0].log_ = {};
  const ExchangeId early = simulation.SendRequest(0, "/other/1");
  cr_expect(simulation.ReplyTo(0, early)->outcome_.reason_ == Reason::kNoConfiguration);
}

/** Guards against a body that is sent in vain, since its request was to be refused all along. */
Test(routed_calls, announced_body_is_refused_by_what_is_known_before_it)
{
  constexpr std::size_t kBodyBytes = std::size_t{ 1 } << 20;
  RoutedSimulation simulation(2);
  NodeState full = simulation.nodes_[0];
  for (const NodeState& node : simulation.nodes_) {
    full.routing_.targets_[node.settings_.identity_.id_].levels_[StableHash("safe")] = {
      AdmissionLevel{ 0 }, AdmissionLevel{ 0 }, {}, simulation.now_
    };
  }
  const struct
  {
    const char* name_;
    const NodeState& node_;
    const char* uri_;
    std::size_t freeBytes_;
    std::optional<Reason> refusal_;
  } cases[] = {
    { "accepted", simulation.nodes_[0], "/safe/1", 4 * kBodyBytes, std::nullopt },
    { "no memory", simulation.nodes_[0], "/safe/1", 2 * kBodyBytes, Reason::kShedByQueue },
    { "no route", simulation.nodes_[0], "/other/1", 4 * kBodyBytes, Reason::kUnknownKind },
    { "overload", full, "/safe/1", 4 * kBodyBytes, Reason::kShedByLevel },
    { "overload of another kind", full, "/unsafe/1", 4 * kBodyBytes, std::nullopt },
  };
  for (const auto& row : cases) {
    CallerBodyAnnounced announced{ ExchangeId{ 1 }, {}, kBodyBytes };
    announced.request_.routed_ = RoutedPart{ "host", row.uri_, {}, "", "id-1" };
    Event event{ simulation.now_, 1, 0, announced };
    event.freeBytes_ = row.freeBytes_;
    const auto step = Reduce(row.node_, event);
    bool isPermitted = false;
    std::optional<Reason> refusal;
    for (const Effect& effect : step.result_) {
      isPermitted = isPermitted || std::holds_alternative<PermitBody>(effect);
      if (const auto* reply = std::get_if<ReplyToCaller>(&effect)) {
        refusal = reply->reply_.outcome_.reason_;
        cr_expect(reply->reply_.outcome_.verdict_ == Verdict::kNotRun, "%s", row.name_);
      }
    }
    cr_expect(refusal == row.refusal_, "%s", row.name_);
    cr_expect_eq(isPermitted, !row.refusal_, "%s", row.name_);
    cr_expect(step.state_.outbound_.calls_.empty(), "%s", row.name_);
  }
}

Test(routed_calls, outcome_arrives_by_the_deadline_of_the_route)
{
  for (const std::string uri : { "/safe/1", "/unsafe/1" }) {
    RoutedSimulation simulation(2);
    const ExchangeId exchange = simulation.SendRequest(0, uri);
    cr_expect_leq(
      OnlyRequest(simulation).second.remaining_.count(), 800'000, "of 5 s of the caller");
    simulation.Run(std::chrono::milliseconds(780));
    cr_expect_not(simulation.ReplyTo(0, exchange).has_value());
    simulation.Run(std::chrono::milliseconds(100));
    const auto reply = simulation.ReplyTo(0, exchange);
    cr_assert(reply.has_value());
    cr_expect(reply->outcome_.verdict_ == Verdict::kMayHaveRun);
  }
}

/** Guards against executing requests of a caller that has disconnected. */
Test(routed_calls, request_of_a_caller_that_left_is_withdrawn)
{
  RoutedSimulation simulation(2);
  const ExchangeId exchange = simulation.SendRequest(0, "/unsafe/1");
  const auto [node, request] = OnlyRequest(simulation);
  simulation.Inject(0, CallerDisconnected{ exchange });
  const auto cancelled = simulation.Effects<CancelBackend>(node);
  cr_assert_eq(cancelled.size(), 1U);
  cr_expect(cancelled.front().request_ == request.id_);
}

/** Guards against a late heartbeat that undoes a leave: a process that has just started knows no
 * heartbeat yet, and a notice need not say when its backend server started. A later incarnation is
 * used. */
Test(routed_calls, leave_without_a_start_time_outlasts_a_late_heartbeat)
{
  constexpr std::uint64_t kNoticeMs = 50'000;
  for (const bool isLater : { false, true }) {
    RoutedSimulation simulation(1);
    simulation.nodes_[0].backend_.reset();
    simulation.wallTimeMs_ = kNoticeMs;
    simulation.Inject(0, BackendLeft{ { "i-1", 0 } });
    simulation.sendsHeartbeats_ = false;
    simulation.Run(std::chrono::seconds(2));
    simulation.wallTimeMs_ += 2000;
    BackendHeartbeat heartbeat = MakeRoutedHeartbeat(9);
    heartbeat.startedAtMs_ = isLater ? kNoticeMs + 1 : kNoticeMs;
    for (int i = 0; i < 2; ++i) {
      heartbeat.sequence_ += 1;
      simulation.Inject(0, BackendHeartbeatReceived{ heartbeat });
      simulation.SendRequest(0, "/safe/1");
    }
    cr_expect_eq(simulation.BackendRequests().empty(), !isLater);
  }
}

/** Guards against a leave that is forgotten since the node knows another incarnation, which may be
 * an earlier one: the first heartbeat of the one that left then arrives late. */
Test(routed_calls, leave_of_another_id_outlasts_a_late_heartbeat)
{
  constexpr std::uint64_t kNoticeMs = 50'000;
  for (const bool isLater : { false, true }) {
    RoutedSimulation simulation(1);
    const NodeState& node = simulation.nodes_[0];
    simulation.wallTimeMs_ = kNoticeMs;
    simulation.Inject(0, BackendLeft{ { "i-2", 0 } });
    simulation.SendRequest(0, "/safe/1");
    cr_assert_eq(simulation.BackendRequests().size(), 1U, "the known one remains in use");
    simulation.sendsHeartbeats_ = false;
    BackendHeartbeat heartbeat = MakeRoutedHeartbeat(1);
    heartbeat.instance_ = "i-2";
    heartbeat.startedAtMs_ = isLater ? kNoticeMs + 1 : kNoticeMs;
    simulation.Inject(0, BackendHeartbeatReceived{ heartbeat });
    cr_expect_eq(
      AcceptsNewWork(node, simulation.now_), isLater, "its grace time counted from the notice");
    simulation.SendRequest(0, "/safe/1");
    cr_expect_eq(simulation.BackendRequests().size(), isLater ? 2U : 1U);
    cr_expect_neq(node.membership_.self_.departure_.has_value(), isLater);
  }
}

/** Guards against a leave without a start time that makes a new process forget the departure of the
 * incarnation before, so that a late heartbeat undoes that. */
Test(routed_calls, leave_without_a_start_time_keeps_the_departure_before_it)
{
  RoutedSimulation simulation(1);
  NodeState& node = simulation.nodes_[0];
  node.backend_.reset();
  node.membership_.self_.departure_ = BackendDeparture{ "i-0", 40'000, 9, true };
  simulation.wallTimeMs_ = 50'000;
  simulation.Inject(0, BackendLeft{ { "i-1", 0 } });
  simulation.sendsHeartbeats_ = false;
  simulation.Run(std::chrono::seconds(2));
  BackendHeartbeat heartbeat = MakeRoutedHeartbeat(9);
  heartbeat.instance_ = "i-0";
  heartbeat.startedAtMs_ = 40'000;
  simulation.Inject(0, BackendHeartbeatReceived{ heartbeat });
  cr_expect(IsLeaving(node.backend_));
  cr_expect_eq(node.membership_.self_.departure_->instance_, "i-1");
}

/** Guards against requests that reach a backend server after the grace period of its drain. */
Test(routed_calls, leaving_backend_server_gets_nothing_after_the_grace)
{
  RoutedSimulation simulation(1);
  for (std::uint32_t i = 0; i < kRoutedSlots + 3; ++i) {
    simulation.SendRequest(0, "/safe/1");
  }
  const auto running = simulation.BackendRequests();
  cr_assert_eq(running.size(), kRoutedSlots, "the others are queued");
  simulation.draining_ = { 0 };
  BackendHeartbeat leaving = MakeRoutedHeartbeat(1000);
  leaving.draining_ = true;
  simulation.sendsHeartbeats_ = false;
  simulation.Inject(0, BackendHeartbeatReceived{ leaving });
  simulation.Run(std::chrono::milliseconds(1600));
  for (const auto& [node, request] : running) {
    simulation.Inject(node, BackendAnswered{ request.id_, Answer{ 200 }, false });
  }
  simulation.SendRequest(0, "/safe/1");
  cr_expect_eq(simulation.BackendRequests().size(), kRoutedSlots);
}

/** Guards against requests that reach a backend server after it announced its leave in an answer
 * only, while its heartbeats still say that it is ready. */
Test(routed_calls, backend_server_that_leaves_by_its_answers_gets_nothing_after_the_grace)
{
  RoutedSimulation simulation(1);
  simulation.SendRequest(0, "/safe/1");
  const auto [node, request] = OnlyRequest(simulation);
  simulation.Inject(
    node,
    BackendAnswered{ request.id_, Answer{ 200 }, false, std::nullopt, { std::nullopt, true } });
  simulation.Run(std::chrono::milliseconds(1600));
  simulation.SendRequest(0, "/safe/1");
  simulation.Run(std::chrono::seconds(3));
  simulation.SendRequest(0, "/safe/1");
  cr_expect_eq(simulation.BackendRequests().size(), 1U);
  // The next backend server on the VM is not affected.
  BackendHeartbeat next = MakeRoutedHeartbeat(1);
  next.startedAtMs_ += 1;
  simulation.sendsHeartbeats_ = false;
  simulation.Inject(0, BackendHeartbeatReceived{ next });
  simulation.Run(std::chrono::milliseconds(100));
  simulation.SendRequest(0, "/safe/1");
  cr_expect_eq(simulation.BackendRequests().size(), 2U);
}

/** Guards against an answer of an earlier incarnation that drains the current one. */
Test(routed_calls, notice_of_an_earlier_incarnation_is_ignored)
{
  RoutedSimulation simulation(1);
  simulation.SendRequest(0, "/safe/1");
  const auto [node, request] = OnlyRequest(simulation);
  simulation.Run(std::chrono::milliseconds(20));
  BackendHeartbeat next = MakeRoutedHeartbeat(1);
  next.startedAtMs_ += 1;
  simulation.Inject(0, BackendHeartbeatReceived{ next });
  simulation.Inject(
    node,
    BackendAnswered{ request.id_, Answer{ 200 }, false, std::nullopt, { kRoutedSlots, true } });
  cr_expect_not(IsLeaving(simulation.nodes_[0].backend_));
  cr_expect_not(simulation.nodes_[0].admission_.startRate_.perSecond_.has_value());
}

/** Guards against connections to an earlier incarnation that could not be opened and count against
 * the current one, which then gets no requests. */
Test(routed_calls, failed_connections_to_an_earlier_incarnation_do_not_count)
{
  for (const bool isReplaced : { true, false }) {
    RoutedSimulation simulation(1);
    for (std::uint32_t i = 0; i < kFailedConnectsUntilLost; ++i) {
      simulation.SendRequest(0, "/safe/1");
    }
    const auto requests = simulation.BackendRequests();
    cr_assert_eq(requests.size(), kFailedConnectsUntilLost);
    simulation.sendsHeartbeats_ = false;
    simulation.Run(std::chrono::milliseconds(20));
    BackendHeartbeat next = MakeRoutedHeartbeat(1000);
    next.startedAtMs_ += isReplaced ? 1 : 0;
    simulation.Inject(0, BackendHeartbeatReceived{ next });
    for (const auto& [node, request] : requests) {
      simulation.Inject(node, BackendFailed{ request.id_, false });
    }
    cr_expect_eq(IsUsable(simulation.nodes_[0].backend_, simulation.now_), isReplaced);
  }
}

/** Guards against a stop that refuses connections while callers are still directed to the node, or
 * that does not end before the node is killed. */
Test(routed_calls, stopping_node_takes_connections_until_callers_are_elsewhere)
{
  RoutedSimulation simulation(2);
  simulation.Inject(0, StopRequested{});
  cr_expect_eq(simulation.Effects<CloseAfterReplies>(0).size(), 1U);
  simulation.Run(std::chrono::milliseconds(2400));
  cr_expect(simulation.Effects<StopAccepting>(0).empty());
  const ExchangeId exchange = simulation.SendRequest(0, "/safe/1");
  cr_expect(!simulation.ReplyTo(0, exchange).has_value(), "served through the other node");
  simulation.Run(std::chrono::milliseconds(200));
  cr_expect_eq(simulation.Effects<StopAccepting>(0).size(), 1U);
  simulation.Run(std::chrono::milliseconds(2500));
  cr_expect_not(simulation.Effects<ExitProcess>(0).empty());
}

/** Guards against a stop that cuts off replies which callers read slowly, and against one that a
 * caller which never reads holds beyond its bound. */
Test(routed_calls, stop_waits_for_replies_that_are_being_written)
{
  const struct
  {
    Duration writtenAfter_;
    Duration exit_;
  } cases[] = { { 0ms, 3s }, { 1s, 3s }, { 3700ms, 3700ms }, { 1h, 5500ms } };
  for (const auto& row : cases) {
    RoutedSimulation simulation(2);
    simulation.writing_ = { 0 };
    simulation.Inject(0, StopRequested{});
    const Instant start = simulation.now_;
    while (simulation.Effects<ExitProcess>(0).empty()) {
      if (simulation.now_ + kTickInterval >= start + row.writtenAfter_) {
        simulation.writing_.clear();
      }
      simulation.Run(kTickInterval);
    }
    const auto late = (simulation.now_ - start - row.exit_) / kTickInterval;
    cr_expect(late >= 0 && late <= 2, "%lld ticks late", static_cast<long long>(late));
  }
}

/** Guards against a request that is taken late in a planned stop, passed on, and cut off without an
 * answer when the process exits. */
Test(routed_calls, request_taken_during_a_stop_ends_before_the_exit)
{
  for (const bool isSafe : { true, false }) {
    RoutedSimulation simulation(2);
    Configuration configuration = MakeRoutedConfiguration(2);
    for (RouteSpec& route : configuration.routes_) {
      route.kind_.deadline_ = std::chrono::seconds(10);
    }
    simulation.Configure(0, configuration);
    simulation.Inject(0, StopRequested{});
    constexpr Duration kLate = std::chrono::milliseconds(2400);
    simulation.Run(kLate);
    const ExchangeId exchange = simulation.SendRequest(0, isSafe ? "/safe/1" : "/unsafe/1");
    const auto [node, request] = OnlyRequest(simulation);
    cr_expect_eq(node, 1U);
    cr_expect(request.remaining_ <= simulation.nodes_[0].settings_.stopTimeout_ - kLate,
              "the backend server would work on after the exit");
    while (simulation.Effects<ExitProcess>(0).empty()) {
      simulation.Run(kTickInterval);
    }
    const auto reply = simulation.ReplyTo(0, exchange);
    cr_assert(reply.has_value(), "the connection would be closed without an answer");
    cr_expect(reply->outcome_.verdict_ == Verdict::kMayHaveRun);
  }
}

/** Guards against cancelling a call together with a request that is not its parent but has an equal
 * deadline. */
Test(routed_calls, call_outlives_the_request_that_seems_to_be_its_parent)
{
  RoutedSimulation simulation(2);
  simulation.SendRequest(0, "/safe/1");
  const auto [node, parent] = OnlyRequest(simulation);
  CallerRequest call;
  call.rootRequestId_ = "deeper";
  call.deadline_ = parent.remaining_;
  call.fromBackend_ = true;
  call.routed_ = RoutedPart{ "host", "/unsafe/1", {}, "", "deeper" };
  const ExchangeId exchange{ 1000 };
  simulation.Inject(node, CallerRequestArrived{ exchange, call });
  simulation.Inject(node, BackendAnswered{ parent.id_, Answer{ 200 }, false });
  cr_expect_not(simulation.ReplyTo(node, exchange).has_value());
}

/** Guards against inheriting the importance of an unrelated request with the same deadline. */
Test(routed_calls, id_of_a_call_names_its_parent)
{
  InboundState inbound;
  for (const std::uint64_t id : { 1, 2 }) {
    InboundRequest request;
    request.phase_ = InboundPhase::kRunning;
    request.deadline_ = Instant{ std::chrono::seconds(id) };
    inbound.requests_.emplace(RequestId{ id }, request);
    inbound.byCallerId_.emplace("a.b" + std::to_string(id), RequestId{ id });
  }
  const Instant deadline{ std::chrono::seconds(2) };
  cr_expect(FindLikelyParent(inbound, "a.b1.c", deadline) == RequestId{ 1 });
  cr_expect(FindLikelyParent(inbound, "a.b1", deadline) == RequestId{ 2 }, "not its own parent");
  cr_expect(FindLikelyParent(inbound, "a.b1.c.d", deadline) == RequestId{ 2 }, "an unknown one");
}

Test(routed_calls, calls_of_a_backend_server_belong_to_the_request_with_their_deadline)
{
  InboundState inbound;
  for (const int milliseconds : { 500, 700 }) {
    InboundRequest request;
    request.phase_ = InboundPhase::kRunning;
    request.deadline_ = Instant{ std::chrono::milliseconds(milliseconds) };
    inbound.requests_.emplace(RequestId{ static_cast<std::uint64_t>(milliseconds) }, request);
  }
  const auto find = [&](int aMilliseconds) {
    return FindLikelyParent(inbound, "call", Instant{ std::chrono::milliseconds(aMilliseconds) });
  };
  cr_expect(find(498) == RequestId{ 500 });
  cr_expect(find(701) == RequestId{ 700 });
  cr_expect(find(600) == std::nullopt);
}
