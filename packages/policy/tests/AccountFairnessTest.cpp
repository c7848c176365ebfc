/** \file
 * Tests how accounts share a backend server in virtual time when they send more than it can serve.
 */
#include "policy/AccountFairness.h"
#include "policy/Admission.h"

#include "model/Random.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <vector>

using namespace fulmarway;

namespace {

constexpr double kCapacity = 400; // 16 slots of 40 ms.
constexpr Duration kServiceTime = std::chrono::milliseconds(40);
constexpr Duration kDeadline = std::chrono::milliseconds(400);
constexpr int kSeconds = 40;
/** Seconds at the start that do not count. */
constexpr int kSkippedSeconds = 5;

/** Requests per second of each account in each second. */
using Rates = std::function<std::vector<double>(int aSecond)>;

/** The share of its requests of each account that one node with one backend server serves. The last
 * element is that of all accounts together. */
std::vector<double>
ServedShares(const Rates& aRates, bool aIsFair)
{
  RandomStream random{ 20261207 };
  const auto draw = [&] { return std::ldexp(static_cast<double>(random.Next() >> 11), -53); };
  AccountFairness fairness;
  AdmissionState admission = MakeAdmission({}, Instant{});
  std::map<RequestId, std::size_t> accounts;
  std::priority_queue<std::pair<Instant, RequestId>,
                      std::vector<std::pair<Instant, RequestId>>,
                      std::greater<>>
    ends;
  const std::size_t count = aRates(0).size();
  std::vector<double> offered(count + 1);
  std::vector<double> served(count + 1);
  Instant now;
  const auto isCounted = [&] { return now >= Instant{ std::chrono::seconds(kSkippedSeconds) }; };
  const auto apply = [&](const auto& aEvent) {
    auto step = aEvent(std::move(admission));
    admission = std::move(step.state_);
    for (const RequestId id : step.result_.start_) {
      ends.emplace(now + kServiceTime, id);
      served[accounts.at(id)] += isCounted() ? 1 : 0;
    }
  };
  std::uint64_t next = 0;
  for (int millisecond = 0; millisecond < kSeconds * 1000; ++millisecond) {
    now = Instant{ std::chrono::milliseconds(millisecond) };
    while (!ends.empty() && ends.top().first <= now) {
      const RequestId id = ends.top().second;
      ends.pop();
      apply([&](AdmissionState aState) {
        return Finish(std::move(aState), id, CompletionKind::kSucceeded, now);
      });
    }
    if (millisecond % 100 == 0) {
      apply([&](AdmissionState aState) { return Advance(std::move(aState), now); });
    }
    const std::vector<double> rates = aRates(millisecond / 1000);
    for (std::size_t account = 0; account < count; ++account) {
      for (double left = rates[account] / 1000; left > 0; left -= 1) {
        if (draw() >= left) {
          continue;
        }
        const RequestId id{ ++next };
        accounts.emplace(id, account);
        offered[account] += isCounted() ? 1 : 0;
        auto bucket = static_cast<std::uint8_t>(random.Next() % kRootRequestBuckets);
        if (aIsFair) {
          auto step = CountAccountUse(std::move(fairness),
                                      "account-" + std::to_string(account),
                                      Importance::kNormal,
                                      bucket,
                                      random.Next(),
                                      now);
          fairness = std::move(step.state_);
          bucket = step.result_;
        }
        if (IsAdmitted(LevelOf(admission), Importance::kNormal, bucket)) {
          const Arrival arrival{ id, 1, Importance::kNormal, bucket, now + kDeadline };
          apply([&](AdmissionState aState) { return Offer(std::move(aState), arrival, now); });
        }
      }
    }
  }
  offered[count] = std::accumulate(offered.begin(), offered.end() - 1, 0.0);
  served[count] = std::accumulate(served.begin(), served.end() - 1, 0.0);
  std::vector<double> shares;
  for (std::size_t i = 0; i <= count; ++i) {
    shares.push_back(served[i] / offered[i]);
  }
  return shares;
}

} // namespace

/** Guards against one account that takes the capacity from all others: ten accounts use 80% of it,
 * another one goes from as much as each of them to 25 times that. */
Test(account_fairness, account_with_a_surge_is_refused_first)
{
  const auto rates = [](int aSecond) {
    std::vector<double> all(11, kCapacity * 0.8 / 10);
    all.back() *= aSecond < kSkippedSeconds ? 1 : 25;
    return all;
  };
  const std::vector<double> unfair = ServedShares(rates, false);
  const std::vector<double> fair = ServedShares(rates, true);
  const double worst = *std::min_element(fair.begin(), fair.end() - 2);
  cr_expect_lt(unfair[0], 0.5);
  cr_expect_geq(worst, 0.9);
  cr_expect_geq(fair[10], fair[11] / 4);
  cr_expect_geq(fair[11], 0.95 * unfair[11], "capacity lost: %.3f", fair[11]);
}

/** Guards against ranks that refuse some accounts more often than others although none has a surge:
 * of the same size, and of sizes that differ up to three times. */
Test(account_fairness, accounts_are_served_alike_at_twice_the_capacity)
{
  for (const bool isUniform : { true, false }) {
    const auto rates = [&](int) {
      std::vector<double> all;
      for (int i = 0; i < 20; ++i) {
        all.push_back(isUniform ? 1 : 0.5 + i / 19.0);
      }
      const double sum = std::accumulate(all.begin(), all.end(), 0.0);
      for (double& rate : all) {
        rate *= 2 * kCapacity / sum;
      }
      return all;
    };
    std::vector<double> shares = ServedShares(rates, true);
    const double mean = shares.back();
    shares.pop_back();
    std::sort(shares.begin(), shares.end());
    const double worstTenth = (shares[0] + shares[1]) / 2;
    cr_expect_geq(worstTenth, mean - 0.05, "uniform %d", isUniform);
    cr_expect_geq(mean, 0.45);
  }
}

/** Guards against memory that grows with the names or the time. */
Test(account_fairness, entries_of_idle_and_removed_accounts_are_forgotten)
{
  AccountFairness fairness;
  Instant now;
  const auto use = [&](const std::string& aAccount) {
    now += std::chrono::milliseconds(1);
    fairness = CountAccountUse(std::move(fairness), aAccount, Importance::kLow, 5, 0, now).state_;
  };
  use("anna");
  use("bert");
  const auto& uses = fairness.uses_[static_cast<std::size_t>(Importance::kLow)];
  cr_expect_eq(uses.size(), 2U);
  fairness = RemoveUnconfiguredAccounts(std::move(fairness), { { "anna", {} } });
  cr_expect(uses.size() == 1 && uses.contains("anna"));
  now += std::chrono::seconds(30);
  use("bert");
  cr_expect(uses.size() == 1 && uses.contains("bert"));
}
