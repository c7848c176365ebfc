/** \file
 * What the simulated backend server has run, so that guarantees can be checked afterwards.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace fulmarway::standins {

/** All executions of one kind for one click. */
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
  /** Executions of a click beyond its first; only for kinds that must run at most once. */
  std::uint64_t duplicates_ = 0;
};

/** Keeps every click until the process ends; meant for runs of some minutes. */
class Ledger
{
public:
  explicit Ledger(std::set<std::string> aOncePaths)
    : oncePaths_(std::move(aOncePaths))
  {
  }

  /** Returns the number of this execution on the backend server, from 1. */
  std::uint64_t NoteStart(const std::string& aPath, const std::string& aClick);
  void NoteFinish(const std::string& aPath, const std::string& aClick, double aWorkMs);
  void NoteAbandoned(const std::string& aPath, const std::string& aClick, double aWorkMs);
  void NoteRejected(const std::string& aPath) { ++kinds_[aPath].rejected_; }

  /** JSON object; aRunning and aQueued are reported as they are. */
  std::string StatsJson(std::size_t aRunning, std::size_t aQueued) const;
  std::string ExecutionsJson(const std::string& aClick) const;
  /** Lines "path click started finished workMs", separated by spaces. */
  std::string AllExecutions() const;

private:
  std::set<std::string> oncePaths_;
  std::uint64_t started_ = 0;
  std::map<std::string, KindCounts> kinds_;
  std::map<std::string, std::map<std::string, Execution>> executions_;
};

} // namespace fulmarway::standins
