/** \file
 * Records the executions on the simulated backend server, so that the load generator can check
 * the guarantees afterwards.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace fulmarway::standins {

/** All executions of one kind for one root request. */
struct Execution
{
  std::uint64_t started_ = 0;
  std::uint64_t finished_ = 0;
  double workMs_ = 0;
};

struct KindCounts
{
  std::uint64_t started_ = 0;
  std::uint64_t finished_ = 0;
  std::uint64_t abandoned_ = 0;
  /** Rejected because the queue was full. */
  std::uint64_t rejected_ = 0;
  double workMs_ = 0;
  /** Executions beyond the first one for the same root request; counted only for kinds that must
   * execute at most once. */
  std::uint64_t duplicates_ = 0;
};

/** Memory grows with every root request and is never freed; meant for load tests of a few minutes.
 */
class ExecutionRecorder
{
public:
  explicit ExecutionRecorder(std::set<std::string> aAtMostOncePaths)
    : atMostOncePaths_(std::move(aAtMostOncePaths))
  {
  }

  /** Returns the sequence number of this execution on the backend server, starting at 1. */
  std::uint64_t RecordStart(const std::string& aPath, const std::string& aRootRequestId);
  void RecordFinish(const std::string& aPath, const std::string& aRootRequestId, double aWorkMs);
  void RecordAbandoned(const std::string& aPath, const std::string& aRootRequestId, double aWorkMs);
  void RecordRejected(const std::string& aPath) { ++kinds_[aPath].rejected_; }

  /** JSON object with the counts of each kind; aRunning and aQueued are copied into it. */
  std::string StatsJson(std::size_t aRunning, std::size_t aQueued) const;
  std::string ExecutionsJson(const std::string& aRootRequestId) const;
  /** One line "path click started finished workMs" for each kind and root request, where click is
   * the root request id; see CheckExecutions(). */
  std::string AllExecutions() const;

private:
  std::set<std::string> atMostOncePaths_;
  std::uint64_t started_ = 0;
  std::map<std::string, KindCounts> kinds_;
  std::map<std::string, std::map<std::string, Execution>> executions_;
};

} // namespace fulmarway::standins
