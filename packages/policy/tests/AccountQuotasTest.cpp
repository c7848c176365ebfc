/** \file
 * Guards the connection of quotas with calls: what waits, what takes a token, and what returns it.
 */
#include "policy/tests/RoutedSimulation.h"

#include "policy/AccountQuotas.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::test;
using namespace std::chrono_literals;

namespace {

const std::string kAccount = "a";

Configuration
MakeQuotaConfiguration(double aRate)
{
  Configuration configuration = MakeRoutedConfiguration(2);
  AccountSpec account;
  account.name_ = kAccount;
  account.keys_ = { "key-of-a" };
  account.ratePerSecond_ = aRate;
  configuration.accounts_ = { account };
  for (RouteSpec& route : configuration.routes_) {
    route.public_ = route.prefix_ == "/unsafe/";
  }
  return configuration;
}

class QuotaCallers
{
public:
  explicit QuotaCallers(
    double aRate,
    RoutedSimulation::FirstListing aListing = RoutedSimulation::FirstListing::kAnswered)
    : simulation_(3, aListing)
  {
    for (std::size_t i = 0; i < 3; ++i) {
      simulation_.Configure(i, MakeQuotaConfiguration(aRate));
    }
    simulation_.Run(5s);
  }

  ExchangeId Send(std::size_t aNode, Duration aDeadline = 5s, bool aFromBackend = false)
  {
    CallerRequest request;
    request.rootRequestId_ = "id-" + std::to_string(++next_);
    request.deadline_ = aDeadline;
    request.key_ = "key-of-a";
    request.fromBackend_ = aFromBackend;
    request.routed_ = RoutedPart{ "host", "/safe/1", {}, "", *request.rootRequestId_, kAccount };
    simulation_.Inject(aNode, CallerRequestArrived{ ExchangeId{ next_ }, std::move(request) });
    return ExchangeId{ next_ };
  }

  /** Answers all requests at the backend servers; returns how many have run so far. */
  std::size_t AnswerAll()
  {
    const auto requests = simulation_.BackendRequests();
    for (const auto& [node, request] : requests) {
      simulation_.Inject(node, BackendAnswered{ request.id_, Answer{ 200 }, false });
    }
    return requests.size();
  }

  std::uint64_t Count(CounterId aCounter) const
  {
    std::uint64_t sum = 0;
    for (const NodeState& node : simulation_.nodes_) {
      sum += node.counters_.Value(aCounter);
    }
    return sum;
  }

  std::size_t CountLogLines(const std::string& aEvent) const
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      for (const LogLine& line : simulation_.Effects<LogLine>(i)) {
        count += line.event_ == aEvent ? 1 : 0;
      }
    }
    return count;
  }

  RoutedSimulation simulation_;

private:
  std::uint64_t next_ = 1000;
};

} // namespace

/** Guards against requests over the quota that run, and against a refusal that is not "not run". */
Test(account_quota_calls, requests_over_the_quota_are_refused)
{
  constexpr double kRate = 10;
  QuotaCallers callers(kRate);
  std::vector<std::pair<std::size_t, ExchangeId>> sent;
  for (int tick = 0; tick < 250; ++tick) {
    const auto node = static_cast<std::size_t>(tick % 3);
    sent.emplace_back(node, callers.Send(node));
    callers.simulation_.Run(kTickInterval);
    callers.AnswerAll();
  }
  const std::size_t run = callers.AnswerAll();
  const QuotaBounds bounds;
  cr_expect_leq(run, kRate * 5 * (1 + bounds.over_) + bounds.slack_);
  cr_expect_geq(run, 0.9 * kRate * 5);
  std::size_t refused = 0;
  for (const auto& [node, exchange] : sent) {
    const auto reply = callers.simulation_.ReplyTo(node, exchange);
    cr_assert(reply.has_value());
    if (!reply->answer_) {
      ++refused;
      cr_expect(reply->outcome_.reason_ == Reason::kOverQuota);
      cr_expect(reply->outcome_.verdict_ == Verdict::kNotRun);
      cr_expect(reply->outcome_.retryAfter_ > Duration{ 0 });
    }
  }
  cr_expect_eq(refused + run, sent.size());
  cr_expect_eq(callers.Count(CounterId::kQuotaTokensUsed), run);
  cr_expect_geq(callers.CountLogLines("account_over_quota"), 1U);
  cr_expect_eq(callers.CountLogLines("quota_accrual_started"), 3U);
  callers.simulation_.Run(6s);
  cr_expect_eq(callers.CountLogLines("account_within_quota"),
               callers.CountLogLines("account_over_quota"));
}

/** Guards against calls of backend servers and of public routes that use up the quota. */
Test(account_quota_calls, only_requests_of_the_account_take_tokens)
{
  QuotaCallers callers(10);
  for (int i = 0; i < 100; ++i) {
    callers.Send(0, 5s, true);
    callers.simulation_.SendRequest(0, "/unsafe/1");
    callers.AnswerAll();
  }
  cr_expect_eq(callers.Count(CounterId::kQuotaTokensUsed), 0U);
}

/** Guards against a token that is lost with a request that was not sent. */
Test(account_quota_calls, request_that_is_not_sent_returns_its_token)
{
  QuotaCallers callers(10);
  Configuration configuration = MakeQuotaConfiguration(10);
  configuration.version_ = 3;
  for (RouteSpec& route : configuration.routes_) {
    route.parts_ = { { "service-without-nodes", 1 } };
  }
  callers.simulation_.Configure(0, configuration);
  callers.simulation_.Run(1s);
  const ExchangeId exchange = callers.Send(0);
  callers.simulation_.Run(100ms);
  cr_assert(callers.simulation_.ReplyTo(0, exchange).has_value());
  cr_expect(callers.simulation_.ReplyTo(0, exchange)->outcome_.reason_ != Reason::kOverQuota);
  cr_expect_eq(callers.Count(CounterId::kQuotaTokensUsed), 1U);
  cr_expect_eq(callers.Count(CounterId::kQuotaTokensReturned), 1U);
}

/** Guards against requests that wait for a pool for ever, past their deadline, or after their
 * caller has left. Without the list of the store no node accrues. */
Test(account_quota_calls, wait_without_a_pool_is_bounded)
{
  QuotaCallers callers(10, RoutedSimulation::FirstListing::kPending);
  const ExchangeId patient = callers.Send(0);
  const ExchangeId hasty = callers.Send(0, 60ms);
  const ExchangeId leaving = callers.Send(0);
  cr_expect_not(callers.simulation_.ReplyTo(0, patient).has_value());
  callers.simulation_.Inject(0, CallerDisconnected{ leaving });
  callers.simulation_.Run(160ms);
  const auto late = callers.simulation_.ReplyTo(0, hasty);
  cr_assert(late.has_value());
  cr_expect(late->outcome_.reason_ == Reason::kDeadline);
  cr_expect(late->outcome_.verdict_ == Verdict::kNotRun);
  callers.simulation_.Run(100ms);
  const auto reply = callers.simulation_.ReplyTo(0, patient);
  cr_assert(reply.has_value());
  cr_expect(reply->outcome_.reason_ == Reason::kQuotaUnavailable);
  cr_expect(reply->outcome_.verdict_ == Verdict::kNotRun);
  cr_expect(reply->outcome_.retryAfter_ > Duration{ 0 });
  cr_expect(callers.simulation_.nodes_[0].outbound_.calls_.empty());
  cr_expect_eq(callers.simulation_.BackendRequests().size(), 0U);
}

/** Guards against quota traffic where no account has a quota, and against a part of the quota that
 * is too large while a listed node can't be reached. */
Test(account_quota_calls, messages_and_parts_follow_the_configuration_and_the_listing)
{
  QuotaCallers without(0);
  cr_expect_eq(without.Count(CounterId::kQuotaMessagesSent), 0U);
  cr_expect(without.simulation_.nodes_[0].quota_.pools_ == QuotaPools{});
  QuotaCallers with(10);
  cr_expect_gt(with.Count(CounterId::kQuotaMessagesSent), 0U);
  cr_expect_eq(with.simulation_.nodes_[0].quota_.view_.nodes_, 3U);
  MemberRecord unreachable = with.simulation_.nodes_[1].membership_.self_;
  unreachable.identity_.id_ = NodeId{ 99 };
  unreachable.identity_.peerAddress_ = "10.0.0.99:7000";
  with.simulation_.Inject(
    0, StoreCallFinished{ StoreTask::kListing, AnnouncementsListed{ { unreachable } } });
  with.simulation_.Run(1s);
  cr_expect_eq(with.simulation_.nodes_[0].quota_.view_.nodes_, 4U);
  with.simulation_.Run(26min);
  cr_expect_eq(with.simulation_.nodes_[0].quota_.view_.nodes_, 3U);
}
