#include "ExecutionRecorder.h"

#include "support/Text.h"

#include <sstream>

namespace fulmarway::standins {

std::uint64_t
ExecutionRecorder::RecordStart(const std::string& aPath, const std::string& aRootRequestId)
{
  KindCounts& kind = kinds_[aPath];
  Execution& execution = executions_[aPath][aRootRequestId];
  ++kind.started_;
  if (++execution.started_ > 1 && atMostOncePaths_.contains(aPath)) {
    ++kind.duplicates_;
  }
  return ++started_;
}

void
ExecutionRecorder::RecordFinish(const std::string& aPath,
                                const std::string& aRootRequestId,
                                double aWorkMs)
{
  KindCounts& kind = kinds_[aPath];
  ++kind.finished_;
  kind.workMs_ += aWorkMs;
  Execution& execution = executions_[aPath][aRootRequestId];
  ++execution.finished_;
  execution.workMs_ += aWorkMs;
}

void
ExecutionRecorder::RecordAbandoned(const std::string& aPath,
                                   const std::string& aRootRequestId,
                                   double aWorkMs)
{
  KindCounts& kind = kinds_[aPath];
  ++kind.abandoned_;
  kind.workMs_ += aWorkMs;
  executions_[aPath][aRootRequestId].workMs_ += aWorkMs;
}

std::string
ExecutionRecorder::StatsJson(std::size_t aRunning, std::size_t aQueued) const
{
  std::ostringstream text;
  text << "{\"started\":" << started_ << ",\"running\":" << aRunning << ",\"queued\":" << aQueued
       << ",\"kinds\":{";
  const char* separator = "";
  for (const auto& [path, kind] : kinds_) {
    text << separator << '"' << EscapeJson(path) << "\":{\"started\":" << kind.started_
         << ",\"finished\":" << kind.finished_ << ",\"abandoned\":" << kind.abandoned_
         << ",\"rejected\":" << kind.rejected_ << ",\"workMs\":" << kind.workMs_
         << ",\"duplicates\":" << kind.duplicates_ << '}';
    separator = ",";
  }
  text << "}}\n";
  return text.str();
}

std::string
ExecutionRecorder::ExecutionsJson(const std::string& aRootRequestId) const
{
  std::ostringstream text;
  text << "{\"click\":\"" << EscapeJson(aRootRequestId) << "\",\"executions\":{";
  const char* separator = "";
  for (const auto& [path, rootRequests] : executions_) {
    const auto found = rootRequests.find(aRootRequestId);
    if (found != rootRequests.end()) {
      text << separator << '"' << EscapeJson(path) << "\":" << found->second.started_;
      separator = ",";
    }
  }
  text << "}}\n";
  return text.str();
}

std::string
ExecutionRecorder::AllExecutions() const
{
  std::ostringstream text;
  for (const auto& [path, rootRequests] : executions_) {
    for (const auto& [rootRequestId, execution] : rootRequests) {
      text << path << ' ' << rootRequestId << ' ' << execution.started_ << ' '
           << execution.finished_ << ' ' << execution.workMs_ << '\n';
    }
  }
  return text.str();
}

} // namespace fulmarway::standins
