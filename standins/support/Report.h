/** \file
 * Results of the load generator, by kind, and the check of the at-most-once guarantees.
 */
#pragma once

#include "support/Histogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarway::standins {

/** Final outcome of a root request, after all its attempts. */
enum class Outcome : std::uint8_t
{
  kWhole,
  /** A success whose answer is corrupted, truncated, or belongs to another request. */
  kWrong,
  kNotRun,
  kMayHaveRun,
  /** An error response of the backend server, an error without a verdict, or no response in time.
   */
  kFailed,
};

/** Result of one root request. */
struct RootRequestRecord
{
  std::string path_;
  Outcome outcome_ = Outcome::kFailed;
  /** The verdicts prove that no attempt has run. */
  bool provenNotRun_ = false;
};

/** Count of root requests in each second since the start of the load. */
using PerSecond = std::vector<std::uint64_t>;

struct KindReport
{
  std::uint64_t offered_ = 0;
  std::map<Outcome, std::uint64_t> outcomes_;
  std::uint64_t attempts_ = 0;
  /** Attempts that timed out; they are either retried or end the root request as failed. */
  std::uint64_t timeouts_ = 0;
  /** Refusals and client-side failures by reason, over all attempts. */
  std::map<std::string, std::uint64_t> reasons_;
  /** Latency of complete answers, measured from the scheduled arrival. */
  Histogram latency_;
  PerSecond offeredPerSecond_;
  /** Complete answers, counted in the second of their scheduled arrival. */
  PerSecond wholeOfArrivals_;
  /** Complete answers, counted in the second in which they were received. */
  PerSecond wholePerSecond_;
};

/** Violations and work found by comparing the outcomes with the executions on the backend servers.
 */
struct ExecutionReport
{
  /** Root requests that were proven not to have run but did, by path. */
  std::map<std::string, std::uint64_t> notRunThatRan_;
  /** Executions beyond the first one for the same root request, by path. */
  std::map<std::string, std::uint64_t> duplicates_;
  double workMs_ = 0;
  /** Part of `workMs_` for root requests that got no complete answer. */
  double wastedMs_ = 0;
};

struct Report
{
  std::map<std::string, KindReport> kinds_;
  std::map<std::string, RootRequestRecord> rootRequests_;
  /** Delay of the actual behind the scheduled arrivals. */
  Histogram lateness_;
};

void
AddToSecond(PerSecond& aCounts, std::chrono::nanoseconds aTime);

/** Compares the outcomes with aExecutions, the lines "path click started finished workMs" of all
 * backend servers, where click is the root request id. Ignores root requests that aReport does not
 * contain. */
ExecutionReport
CheckExecutions(const Report& aReport,
                const std::string& aExecutions,
                const std::vector<std::string>& aAtMostOncePaths);

/** One line "PATH key=value ..." for each kind and a line "total ...". */
std::string
ToLines(const Report& aReport, const ExecutionReport& aExecutions);

std::string
ToJson(const Report& aReport, const ExecutionReport& aExecutions);

} // namespace fulmarway::standins
