/** \file
 * Load pattern: a service refuses half of its requests although it has free slots. Guards against
 * requests that fail there without a retry, and against more retries than a deployment allows.
 */
#include "policy/BackendRetryBudget.h"

#include "policy/tests/RoutedSimulation.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::test;
using namespace std::chrono_literals;

namespace {

constexpr BackendRetrySettings kSettings{ 150, 10s };

/** Backend servers that refuse a fixed pattern of requests without executing them. */
class RefusingBackends
{
public:
  explicit RefusingBackends(RoutedSimulation& aSimulation)
    : simulation_(aSimulation)
  {
  }

  /** Answers each aOneIn-th offer and refuses the others, until no request waits. */
  void AnswerOneIn(std::uint32_t aOneIn)
  {
    for (bool isIdle = false; !isIdle;) {
      isIdle = true;
      for (std::size_t node = 0; node < simulation_.nodes_.size(); ++node) {
        const auto calls = simulation_.Effects<CallBackend>(node);
        for (std::size_t i = handled_[node]; i < calls.size(); ++i) {
          isIdle = false;
          handled_[node] = i + 1;
          const bool isRefused = ++offers_ % aOneIn != 0;
          Answer answer;
          answer.status_ = isRefused ? 503 : 200;
          simulation_.Inject(node, BackendAnswered{ calls[i].request_.id_, answer, isRefused });
        }
      }
    }
  }

  std::uint32_t Offers() const { return offers_; }

private:
  RoutedSimulation& simulation_;
  std::map<std::size_t, std::size_t> handled_;
  std::uint32_t offers_ = 0;
};

RoutedSimulation
MakeSimulation(std::size_t aNodes)
{
  RoutedSimulation simulation(aNodes);
  for (NodeState& node : simulation.nodes_) {
    node.inbound_.retries_.settings_ = kSettings;
  }
  return simulation;
}

std::uint32_t
CountAllowed(BackendRetryBudget aState,
             Importance aImportance,
             std::uint8_t aBucket,
             std::uint8_t aDepth,
             Instant aNow)
{
  std::uint32_t allowed = 0;
  for (; AllowsBackendRetry(aState, aImportance, aBucket, aDepth, aNow); ++allowed) {
    RecordBackendArrival(aState, true, aNow);
  }
  return allowed;
}

BackendRetryBudget
WithFirstArrivals(Instant aStart, int aCount)
{
  BackendRetryBudget state{ kSettings, {} };
  for (int i = 0; i < aCount; ++i) {
    RecordBackendArrival(state, false, aStart + i * 5ms);
  }
  return state;
}

} // namespace

/** Also guards against a clock whose epoch lies in the future. */
Test(backend_retry_budget, retries_follow_the_first_arrivals_of_the_window)
{
  for (const Instant start : { Instant{ -100s }, Instant{ -2s }, Instant{ 0s }, Instant{ 100s } }) {
    const BackendRetryBudget state = WithFirstArrivals(start, 1000);
    cr_expect_eq(CountAllowed(state, Importance::kNormal, 0, 0, start + 5s), 150U);
    cr_expect_eq(CountAllowed(state, Importance::kNormal, 0, 0, start + 16s), 0U);
  }
  cr_expect_eq(CountAllowed({}, Importance::kCritical, 0, 0, Instant{ 1s }), 0U, "off");
}

/** Guards against calls of normal requests that leave no retry to root requests and to the calls of
 * critical ones. */
Test(backend_retry_budget, less_important_calls_leave_a_reserve)
{
  const Instant start{ 100s };
  const BackendRetryBudget state = WithFirstArrivals(start, 1000);
  std::uint32_t before = 150;
  for (const Importance importance : kAllImportances) {
    for (const std::uint8_t bucket : { std::uint8_t{ 0 }, std::uint8_t{ 63 } }) {
      const std::uint32_t allowed = CountAllowed(state, importance, bucket, 2, start + 5s);
      cr_expect_leq(allowed, before);
      before = allowed;
    }
  }
  cr_expect_eq(CountAllowed(state, Importance::kCritical, 0, 2, start + 5s), 135U);
  cr_expect_eq(CountAllowed(state, Importance::kNormal, 0, 2, start + 5s), 45U);
}

/** Guards against requests that fail at a healthy service that refuses half of what it gets. The
 * retries of the entry node end with its successes. */
Test(backend_retry_budget, refused_requests_are_offered_again)
{
  constexpr int kRequests = 400;
  RoutedSimulation simulation = MakeSimulation(4);
  RefusingBackends backends(simulation);
  std::vector<ExchangeId> exchanges;
  // One in ten requests meets the refusals, so that the retries are within the allowance.
  for (int i = 0; i < kRequests; ++i) {
    exchanges.push_back(simulation.SendRequest(0, "/safe/1"));
    backends.AnswerOneIn(i >= 100 && i % 10 == 0 ? 2 : 1);
    simulation.Run(20ms);
  }
  const auto answered = std::count_if(exchanges.begin(), exchanges.end(), [&](ExchangeId aId) {
    const auto reply = simulation.ReplyTo(0, aId);
    return reply && reply->answer_;
  });
  cr_expect_eq(answered, kRequests);
}

/** Guards against retries that amplify an outage. */
Test(backend_retry_budget, retries_stay_within_the_share_when_everything_is_refused)
{
  constexpr std::uint32_t kRequests = 400;
  RoutedSimulation simulation = MakeSimulation(4);
  RefusingBackends backends(simulation);
  for (std::uint32_t i = 0; i < kRequests; ++i) {
    simulation.SendRequest(0, "/safe/1");
    backends.AnswerOneIn(1000000);
    simulation.Run(20ms);
  }
  const std::uint32_t entryRetries = simulation.nodes_[0].settings_.retries_.retryBurst_;
  cr_expect_leq(backends.Offers() - kRequests, kRequests * 15 / 100 + entryRetries);
  cr_expect_geq(backends.Offers() - kRequests, kRequests * 12 / 100);
}

/** Guards against a late copy of the first refusal that is taken for the answer to the second offer
 * of a request that must not be executed twice. */
Test(backend_retry_budget, requests_that_are_not_idempotent_are_not_offered_again)
{
  RoutedSimulation simulation = MakeSimulation(1);
  RefusingBackends backends(simulation);
  for (int i = 0; i < 100; ++i) {
    simulation.SendRequest(0, "/safe/1");
    backends.AnswerOneIn(1);
  }
  const ExchangeId exchange = simulation.SendRequest(0, "/unsafe/1");
  backends.AnswerOneIn(1000000);
  for (const CallBackend& call : simulation.Effects<CallBackend>(0)) {
    cr_expect(call.request_.request_.kind_ == "safe" || call.request_.request_.kind_ == "unsafe");
  }
  const auto reply = simulation.ReplyTo(0, exchange);
  cr_assert(reply.has_value());
  cr_expect(reply->outcome_.verdict_ == Verdict::kNotRun);
  cr_expect_eq(simulation.nodes_[0].counters_.Value(CounterId::kBackendReoffers), 0U);
}

/** Guards against offers to another backend server that has taken over the address. */
Test(backend_retry_budget, misdirected_requests_are_not_offered_again)
{
  RoutedSimulation simulation = MakeSimulation(1);
  RefusingBackends backends(simulation);
  for (int i = 0; i < 100; ++i) {
    simulation.SendRequest(0, "/safe/1");
    backends.AnswerOneIn(1);
  }
  simulation.SendRequest(0, "/safe/1");
  Answer misdirected;
  misdirected.status_ = 421;
  const RequestId last = simulation.Effects<CallBackend>(0).back().request_.id_;
  simulation.Inject(0, BackendAnswered{ last, misdirected, true });
  cr_expect_eq(simulation.nodes_[0].counters_.Value(CounterId::kBackendReoffers), 0U);
}

/** Guards against calls of a repeated request that do not count as repeated arrivals at the service
 * that is called. */
Test(backend_retry_budget, calls_of_a_repeated_request_count)
{
  RoutedSimulation simulation = MakeSimulation(1);
  Request request;
  request.rootRequestId_ = "root";
  request.service_ = "pricing";
  request.kind_ = "safe";
  request.routed_ = RoutedPart{ "host", "/safe/1", {}, "pricing", "root" };
  const CallRequest repeated{ AttemptId{ 5 }, request, 500ms, 0, true, true, true };
  simulation.Inject(0, LinkMessageArrived{ LinkId{ 9 }, NodeId{ 9 }, repeated });
  CallerRequest call;
  call.rootRequestId_ = "root.1";
  call.deadline_ = 500ms;
  call.fromBackend_ = true;
  call.routed_ = RoutedPart{ "host", "/safe/2", {}, "", "root.1" };
  simulation.Inject(0, CallerRequestArrived{ ExchangeId{ 77 }, call });
  const ArrivalCounts counts =
    CountArrivals(simulation.nodes_[0].inbound_.retries_, simulation.now_);
  cr_expect_eq(counts.repeated_, 2U);
  cr_expect_eq(counts.first_, 0U);
}
