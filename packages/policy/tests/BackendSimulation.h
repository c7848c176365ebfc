/** \file
 * Simulation of a single backend server behind admission control, in virtual time with steps of 1
 * ms.
 */
#pragma once

#include "policy/Admission.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace fulmarway {

/** A backend server and the requests that are offered to it. Times are in seconds from the start.
 */
struct SimulationPlan
{
  AdmissionSettings settings_{ 40, 0, 25 };
  /** Requests per second. */
  std::function<double(double)> rate_;
  /** Factor on all service times; also applies to requests that are already running. */
  std::function<double(double)> slowdown_ = [](double) { return 1.0; };
  /** Number of requests that can be executed at full speed; more requests share this capacity. */
  std::function<double(double)> processors_ = [](double) { return 1e9; };
  double serviceMs_ = 20;
  /** Service times are exponential instead of within 20% of serviceMs_. */
  bool exponential_ = false;
  /** Share of requests that take 100 times longer. */
  double stragglers_ = 0;
  /** Shares of the importance classes, from critical to low. */
  std::array<double, kImportanceCount> mix_{ 0.05, 0.15, 0.4, 0.4 };
  /** Share of requests of a long-running kind, which takes 100 times longer. */
  double longShare_ = 0;
  std::int64_t deadlineMs_ = 1000;
  /** Entry nodes apply the current level and send 1 in 50 refused requests as probes. */
  bool entryLevel_ = true;
  std::int64_t durationMs_ = 10000;
};

/** Counts of one window of 100 ms. */
struct SimulationWindow
{
  std::array<std::uint32_t, kImportanceCount> offered_{};
  /** Requests offered in this window that succeeded, also in a later window. */
  std::array<std::uint32_t, kImportanceCount> succeeded_{};
  std::uint32_t started_ = 0;
  std::uint32_t abandoned_ = 0;
  /** Milliseconds of service performed, at healthy speed. */
  double workMs_ = 0;
  /** At the end of the window. */
  std::uint32_t limit_ = 0;
  std::uint16_t level_ = 0;
};

/** Simulates the plan with a fixed seed. */
std::vector<SimulationWindow>
Simulate(const SimulationPlan& aPlan);

/** Sum over the windows that start in [aFrom, aTo), seconds. */
SimulationWindow
SumWindows(const std::vector<SimulationWindow>& aWindows, double aFrom, double aTo);

} // namespace fulmarway
