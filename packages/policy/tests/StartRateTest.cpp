/** \file
 * Guards against a backend server that gets more requests than the limit on requests per second
 * that it names, and against a limit that is kept after the backend server stopped naming it.
 */
#include "policy/tests/AdmissionFixture.h"
#include "policy/tests/RoutedSimulation.h"

#include "policy/StartRate.h"

#include <criterion/criterion.h>
#include <vector>

using namespace fulmarway;
using namespace fulmarway::test;
using namespace std::chrono_literals;

namespace {

constexpr double kLimit = 40;
/** Window in which the arrivals are judged, and the requests allowed in it beyond the limit. */
constexpr Duration kWindow = 4s;
constexpr double kAllowedExcess = 1.5;
constexpr std::size_t kAllowedExtra = 5;

/** Offers requests to one node from several entry nodes. The backend server answers each at once,
 * naming the limit in effect. */
class LimitedBackend
{
public:
  explicit LimitedBackend(std::size_t aNodes)
    : simulation_(aNodes)
  {
    // All requests run on one backend server, so that its arrivals are those of the service.
    for (std::size_t node = 1; node < aNodes; ++node) {
      simulation_.draining_.insert(node);
    }
    simulation_.Run(3s);
  }

  /** Offers aPerTick requests every tick. Returns the times of their arrivals. */
  std::vector<Instant> Offer(std::size_t aPerTick, Duration aTime, BackendSignals aSignals)
  {
    std::vector<Instant> arrivals;
    const Instant end = simulation_.now_ + aTime;
    while (simulation_.now_ < end) {
      for (std::size_t i = 0; i < aPerTick; ++i) {
        simulation_.SendRequest(nextEntry_++ % simulation_.nodes_.size(), "/safe/1");
      }
      simulation_.Run(kTickInterval);
      const auto requests = simulation_.BackendRequests();
      for (; answered_ < requests.size(); ++answered_) {
        arrivals.push_back(simulation_.now_);
        const auto& [node, request] = requests[answered_];
        simulation_.Inject(
          node, BackendAnswered{ request.id_, Answer{ 200 }, false, std::nullopt, aSignals });
      }
    }
    return arrivals;
  }

  RoutedSimulation simulation_;

private:
  std::size_t answered_ = 0;
  std::size_t nextEntry_ = 0;
};

/** Largest number of arrivals in any kWindow that begins at aFrom or later. */
std::size_t
LargestWindow(const std::vector<Instant>& aArrivals, Instant aFrom)
{
  std::size_t largest = 0;
  for (std::size_t first = 0, last = 0; first < aArrivals.size(); ++first) {
    while (last < aArrivals.size() && aArrivals[last] < aArrivals[first] + kWindow) {
      ++last;
    }
    largest = aArrivals[first] >= aFrom ? std::max(largest, last - first) : largest;
  }
  return largest;
}

} // namespace

Test(start_rate, backend_server_gets_no_more_than_the_limit_it_names)
{
  LimitedBackend backend(3);
  const Instant named = backend.simulation_.now_;
  const auto arrivals = backend.Offer(4, 12s, { kLimit });
  const auto largest = LargestWindow(arrivals, named + 1s);
  constexpr auto kSeconds = std::chrono::duration<double>(kWindow).count();
  cr_expect_leq(largest,
                static_cast<std::size_t>(kAllowedExcess * kLimit * kSeconds) + kAllowedExtra);
  // The backend server gets what it asks for, not less.
  cr_expect_geq(largest, static_cast<std::size_t>(0.9 * kLimit * kSeconds));
}

/** Guards against requests over the limit that are held instead of refused. */
Test(start_rate, requests_over_the_limit_are_refused_as_not_run)
{
  LimitedBackend backend(1);
  backend.Offer(4, 6s, { kLimit });
  std::size_t refused = 0;
  for (const ReplyToCaller& reply : backend.simulation_.Effects<ReplyToCaller>(0)) {
    if (!reply.reply_.answer_) {
      refused += 1;
      cr_expect(reply.reply_.outcome_.verdict_ == Verdict::kNotRun);
      cr_expect(reply.reply_.outcome_.retryAfter_.has_value());
    }
  }
  cr_expect_gt(refused, 100U);
}

/** Guards against a backend server that stays limited for ever, also at a limit of 0. */
Test(start_rate, limit_ends_when_answers_no_longer_name_it)
{
  for (const double limit : { kLimit, 0.0 }) {
    LimitedBackend backend(1);
    backend.Offer(4, 4s, { limit });
    backend.Offer(4, 2s, {});
    const auto arrivals = backend.Offer(4, 2s, {});
    cr_expect_geq(arrivals.size(), 350U, "limit %.0f: %zu of 400", limit, arrivals.size());
  }
}

/** Guards against a limit that passes to the next backend server at the address. */
Test(start_rate, limit_ends_with_the_backend_server_that_named_it)
{
  LimitedBackend backend(1);
  backend.Offer(4, 4s, { 1.0 });
  BackendHeartbeat heartbeat = MakeRoutedHeartbeat(1);
  heartbeat.startedAtMs_ += 1;
  backend.simulation_.Inject(0, BackendHeartbeatReceived{ heartbeat });
  cr_expect_not(backend.simulation_.nodes_[0].admission_.startRate_.perSecond_.has_value());
}

/** Guards against a limit that ends with one answer that lacks it, such as one of a proxy. */
Test(start_rate, one_answer_without_the_limit_does_not_end_it)
{
  StartRate rate;
  RecordNamedLimit(rate, kLimit, At(0));
  cr_expect_not(RecordNamedLimit(rate, std::nullopt, At(10)));
  cr_expect(rate.perSecond_.has_value());
  RecordNamedLimit(rate, kLimit, At(700));
  cr_expect_not(RecordNamedLimit(rate, std::nullopt, At(710)));
  cr_expect(RecordNamedLimit(rate, std::nullopt, At(1300)));
}

/** Guards against offers after refusals by the backend server that exceed the limit. */
Test(start_rate, offers_after_a_refusal_count)
{
  LimitedBackend backend(1);
  backend.simulation_.nodes_[0].inbound_.retries_.settings_.sharePerMille_ = 1000;
  const Instant named = backend.simulation_.now_;
  std::vector<Instant> arrivals;
  std::size_t answered = 0;
  for (const Instant end = named + 8s; backend.simulation_.now_ < end;) {
    backend.simulation_.SendRequest(0, "/safe/1");
    backend.simulation_.Run(kTickInterval);
    const auto requests = backend.simulation_.BackendRequests();
    for (; answered < requests.size(); ++answered) {
      arrivals.push_back(backend.simulation_.now_);
      backend.simulation_.Inject(
        0,
        BackendAnswered{
          requests[answered].second.id_, Answer{ 503 }, true, std::nullopt, { 10.0 } });
    }
  }
  cr_expect_leq(LargestWindow(arrivals, named + 1s), 65U);
}
