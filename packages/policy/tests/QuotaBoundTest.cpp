/** \file
 * Guards against requests of an account beyond its quota, in any window, whatever fails, and against
 * quota that is lost while nothing fails or datagrams are lost.
 */
#include "policy/tests/QuotaSimulation.h"

#include <criterion/criterion.h>
#include <iostream>
#include <rapidcheck.h>

using namespace fulmarway;
using namespace fulmarway::test;
using namespace std::chrono_literals;

namespace {

const std::string kAccount = "a";

struct Limit
{
  Instant from_;
  double rate_ = 0;
  double burst_ = 0;
};

/** Largest excess of any window over the bound, in requests. A window counts against the largest
 * limit that any node may have applied in it. */
double
LargestExcess(const std::vector<Instant>& aRun,
              const std::vector<Limit>& aLimits,
              const QuotaBounds& aBounds)
{
  double excess = -1e9;
  const double window = std::chrono::duration<double>(aBounds.window_).count();
  for (std::size_t first = 0, last = 0; first < aRun.size(); ++first) {
    const Instant end = aRun[first] + aBounds.window_;
    while (last < aRun.size() && aRun[last] < end) {
      ++last;
    }
    double allowed = 0;
    for (std::size_t i = 0; i < aLimits.size(); ++i) {
      // A limit may still be applied for 2.5 s, and one window, after the next one.
      const bool isOver = i + 1 < aLimits.size() &&
                          aLimits[i + 1].from_ + 2500ms + aBounds.window_ <= aRun[first];
      if (aLimits[i].from_ <= end && !isOver) {
        allowed = std::max(allowed, aLimits[i].rate_ * window + aLimits[i].burst_);
      }
    }
    allowed = allowed * (1 + aBounds.over_) + aBounds.slack_;
    excess = std::max(excess, static_cast<double>(last - first) - allowed);
  }
  return excess;
}

std::vector<std::size_t>
FirstNodes(std::size_t aCount)
{
  std::vector<std::size_t> nodes(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    nodes[i] = i;
  }
  return nodes;
}

/** One random fault or its end. */
void
ActAtRandom(QuotaSimulation& aSimulation, std::vector<Limit>& aLimits)
{
  const std::size_t count = aSimulation.nodes_.size();
  const auto some = [&](auto aAct) {
    const std::size_t percent = 20 + aSimulation.Below(81);
    for (std::size_t i = 0; i < count; ++i) {
      if (aSimulation.Below(100) < percent) {
        aAct(i);
      }
    }
  };
  switch (aSimulation.Below(8)) {
    case 0: {
      const std::size_t parts = 1 + aSimulation.Below(count);
      std::vector<int> partOf(count);
      std::generate(partOf.begin(), partOf.end(), [&] {
        return static_cast<int>(aSimulation.Below(parts));
      });
      aSimulation.Partition([&](std::size_t aNode) { return partOf[aNode]; });
      break;
    }
    case 1:
      aSimulation.Partition([](std::size_t) { return 0; });
      some([&](std::size_t aNode) { aSimulation.Thaw(aNode); });
      break;
    case 2:
      some([&](std::size_t aNode) { aSimulation.Kill(aNode); });
      break;
    case 3:
      some([&](std::size_t aNode) { aSimulation.Start(aNode, aSimulation.RandomTime(1s)); });
      break;
    case 4:
      some([&](std::size_t aNode) { aSimulation.Freeze(aNode); });
      break;
    case 5:
      some([&](std::size_t aNode) { aSimulation.Thaw(aNode); });
      break;
    case 6:
      aSimulation.CutPath(
        aSimulation.Below(count), aSimulation.Below(count), aSimulation.Below(3) > 0);
      break;
    default:
      if (aSimulation.Below(3) == 0) {
        const double factor = std::array{ 0.1, 0.5, 2.0 }[aSimulation.Below(3)];
        const Limit& old = aLimits.back();
        aLimits.push_back({ aSimulation.now_, old.rate_ * factor, old.burst_ * factor });
        aSimulation.ChangeQuota(
          kAccount, aLimits.back().rate_, aLimits.back().burst_, 2500ms);
      }
  }
}

/** Runs a random sequence of faults; returns the largest excess over the bound. */
double
RunRandomSequence(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const std::size_t nodes = 1 + random() % 12;
  QuotaSimulation simulation(nodes, random());
  const double rate = std::array{ 1.0, 5.0, 30.0, 200.0, 800.0 }[random() % 5];
  const double burst = rate * std::array{ 0.0, 0.2, 2.0 }[random() % 3];
  simulation.SetQuota(kAccount, rate, burst);
  simulation.lossPerMille_ = std::array{ 0, 25, 200 }[random() % 3];
  simulation.copyPerMille_ = std::array{ 0, 10, 300 }[random() % 3];
  simulation.maxDelay_ = std::array{ 2ms, 20ms }[random() % 2];
  simulation.returnPercent_ = std::array{ 0, 20 }[random() % 2];
  std::vector<Limit> limits{ { simulation.now_, rate, burst } };
  const auto all = FirstNodes(nodes);
  double demand = 0;
  const auto send = [&] { simulation.Demand(kAccount, demand, all); };
  simulation.Run(2s + simulation.RandomTime(4s));
  for (int action = 0; action < 12; ++action) {
    demand = rate * std::array{ 0.0, 0.5, 1.0, 1.5, 4.0, 8.0 }[simulation.Below(6)];
    simulation.Run(simulation.RandomTime(2s), send);
    ActAtRandom(simulation, limits);
  }
  simulation.Run(3s, send);
  return LargestExcess(simulation.tallies_[kAccount].run_, limits, simulation.bounds_);
}

} // namespace

Test(account_quotas, no_window_exceeds_the_bound)
{
  cr_assert(rc::check("random demand, partitions, kills, freezes and limits", [] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    const double excess = RunRandomSequence(seed);
    RC_LOG() << "excess " << excess << " with seed " << seed << '\n';
    RC_ASSERT(excess <= 0);
  }));
}

/** Guards against quota that is out of reach where the demand is. */
Test(account_quotas, most_of_the_quota_is_available_after_a_shift)
{
  for (const double rate : { 10.0, 100.0, 1000.0 }) {
    for (const int loss : { 0, 25 }) {
      for (const std::size_t nodes : { 3, 80 }) {
        QuotaSimulation simulation(nodes, 7);
        simulation.SetQuota(kAccount, rate, 0);
        simulation.lossPerMille_ = loss;
        simulation.Run(4s);
        for (const std::size_t used : { std::size_t{ 1 }, std::size_t{ 3 }, nodes }) {
          const auto send = [&] {
            simulation.Demand(kAccount, 2 * rate, FirstNodes(used));
          };
          simulation.Run(3s, send);
          simulation.Run(5s, send);
          const double share =
            static_cast<double>(simulation.RunSince(kAccount, 5s)) / (rate * 5);
          std::cerr << "rate " << rate << " loss " << loss << " nodes " << nodes << " used " << used
                    << " share " << share << " unavailable "
                    << simulation.tallies_[kAccount].unavailable_ << '\n';
          cr_expect_geq(share, 0.9, "%f of %f at %zu of %zu", share, rate, used, nodes);
        }
      }
    }
  }
}
