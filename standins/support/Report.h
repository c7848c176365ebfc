/** \file
 * What the load generator saw, by kind.
 */
#pragma once

#include "support/Histogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarway::standins {

/** How a click ended, after all its attempts. */
enum class Outcome : std::uint8_t
{
  kWhole,
  /** Damaged, cut off, or the answer to another request. */
  kWrong,
  kNotRun,
  kMayHaveRun,
  /** An error without a verdict, a failed answer of the backend server, or no answer in time. */
  kFailed,
};

/** One click of the run. */
struct ClickRecord
{
  std::string path_;
  Outcome outcome_ = Outcome::kFailed;
  /** The verdicts prove that no attempt ran. */
  bool provenNotRun_ = false;
};

/** Counts of clicks in each second of the run. */
using PerSecond = std::vector<std::uint64_t>;

struct KindReport
{
  std::uint64_t offered_ = 0;
  std::map<Outcome, std::uint64_t> outcomes_;
  std::uint64_t attempts_ = 0;
  /** Attempts without an answer in time; part of the failed or repeated ones. */
  std::uint64_t timeouts_ = 0;
  /** Count of refusals by reason, over all attempts. */
  std::map<std::string, std::uint64_t> reasons_;
  /** Whole answers, from the scheduled arrival. */
  Histogram latency_;
  PerSecond offeredPerSecond_;
  /** Whole answers by the second of their scheduled arrival. */
  PerSecond wholeOfArrivals_;
  /** Whole answers by the second in which they came in. */
  PerSecond wholePerSecond_;
};

/** Results of the comparison with the executions on the backend servers. */
struct ExecutionReport
{
  /** Clicks answered as not run that ran, and executions beyond the first, by path. */
  std::map<std::string, std::uint64_t> notRunThatRan_;
  std::map<std::string, std::uint64_t> duplicates_;
  double workMs_ = 0;
  /** Work for clicks that got no whole answer. */
  double wastedMs_ = 0;
};

struct Report
{
  std::map<std::string, KindReport> kinds_;
  std::map<std::string, ClickRecord> clicks_;
  /** How far the generator fell behind its schedule at most. */
  Histogram lateness_;
};

void
AddToSecond(PerSecond& aCounts, std::chrono::nanoseconds aTime);

/** Compares with lines "path click started finished workMs" of all backend servers. */
ExecutionReport
CheckExecutions(const Report& aReport,
                const std::string& aExecutions,
                const std::vector<std::string>& aOncePaths);

/** One line "PATH key=value ..." for each kind and a line "total ...". */
std::string
ToLines(const Report& aReport, const ExecutionReport& aExecutions);

std::string
ToJson(const Report& aReport, const ExecutionReport& aExecutions);

} // namespace fulmarway::standins
