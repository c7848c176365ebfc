/** \file
 * Load patterns of a complete call graph whose deepest service saturates first. The services above
 * it must not start work that is later wasted, and the most important requests are served first.
 */
#include "ChainSimulation.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::test;

namespace {

constexpr std::uint32_t kScale = 3;
/** Service times of "terms" and "order" requests, milliseconds. */
constexpr double kTermsMs = 24;
constexpr double kOrderMs = 32;
constexpr std::uint32_t kAccountsSlots = 23;
constexpr std::uint32_t kAccountsServers = 3;
/** Measurement interval, seconds. The queues fill in the first seconds, which are left out. */
constexpr int kMeasureFromSecond = 2;
constexpr int kMeasureToSecond = 7;

/** A "price-list" makes two "ledger" reads, each of which makes a "batch" read with four "terms"
 * reads. A "confirm" makes one "batch" read. "accounts" saturates first, from a load of 1.2 on.
 * With 72 nodes, an entry node sends to most targets less often than their level reports expire. */
ChainPlan
MakeOrderMesh(double aLoad)
{
  using std::chrono::milliseconds;
  const auto rate = [=](double aPerSecond) {
    return [=](double) { return aPerSecond * aLoad * kScale; };
  };
  ChainPlan plan;
  plan.domains_ = 3;
  plan.services_ = { { "pricing", 6, 84, { 0.6, 1.0, 1.4 } },
                     { "dispatch", 6, 112, { 0.6, 1.0, 1.4 } },
                     { "roastery", 9, 60, { 0.7, 0.7, 1.6 } },
                     { "accounts", kAccountsServers, kAccountsSlots, { 0.6, 1.0, 1.4 } } };
  for (ChainService& service : plan.services_) {
    service.servers_ *= kScale;
  }
  plan.kinds_ = {
    { "price-list",
      "pricing",
      Importance::kNormal,
      80,
      milliseconds(1500),
      { { "ledger", 2, true } },
      rate(230) },
    { "confirm",
      "dispatch",
      Importance::kCritical,
      100,
      milliseconds(1500),
      { { "batch", 1, true } },
      rate(102) },
    { "order", "accounts", Importance::kHigh, kOrderMs, milliseconds(400), {}, rate(77) },
    { "ledger",
      "dispatch",
      Importance::kNormal,
      15,
      milliseconds(1200),
      { { "batch", 1, false } } },
    { "batch", "roastery", Importance::kNormal, 15, milliseconds(900), { { "terms", 4, false } } },
    { "terms", "accounts", Importance::kNormal, kTermsMs, milliseconds(400) },
  };
  return plan;
}

/** Share of the capacity of "accounts" spent on callers' requests that were answered. */
double
UsefulShare(const ChainSimulation& aSimulation)
{
  const auto answered = [&](const char* aKind) {
    return static_cast<double>(
      aSimulation.Count(aKind, kMeasureFromSecond, kMeasureToSecond).answered_);
  };
  const double termsMs = kTermsMs * (8 * answered("price-list") + 4 * answered("confirm"));
  const double capacityMs =
    1000.0 * (kMeasureToSecond - kMeasureFromSecond) * kAccountsSlots * kAccountsServers * kScale;
  return (termsMs + kOrderMs * answered("order")) / capacityMs;
}

double
AnsweredShare(const ChainSimulation& aSimulation, const char* aKind)
{
  const ChainCounts counts = aSimulation.Count(aKind, kMeasureFromSecond, kMeasureToSecond);
  return static_cast<double>(counts.answered_) / counts.sent_;
}

} // namespace

/** Guards against starting root requests that the deepest service will refuse: its capacity would
 * be spent on parts of root requests that fail. */
Test(chain_overload, deepest_service_stays_busy_with_root_requests_that_are_answered)
{
  ChainSimulation simulation(MakeOrderMesh(2.0));
  simulation.Run(std::chrono::seconds(kMeasureToSecond + 2));
  cr_expect_geq(UsefulShare(simulation), 0.95, "%.3f", UsefulShare(simulation));
  cr_expect_geq(AnsweredShare(simulation, "confirm"), 0.999);
}

/** Guards against spending backend server time on root requests that fail. */
Test(chain_overload, little_work_is_wasted)
{
  ChainSimulation simulation(MakeOrderMesh(2.0));
  simulation.Run(std::chrono::seconds(kMeasureToSecond + 2));
  cr_expect_leq(simulation.WastedShare(kMeasureFromSecond, kMeasureToSecond),
                0.02,
                "%.3f",
                simulation.WastedShare(kMeasureFromSecond, kMeasureToSecond));
}
