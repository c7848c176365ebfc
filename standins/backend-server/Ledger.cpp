#include "Ledger.h"

#include "support/Text.h"

#include <sstream>

namespace fulmarway::standins {

std::uint64_t
Ledger::NoteStart(const std::string& aPath, const std::string& aClick)
{
  KindCounts& kind = kinds_[aPath];
  Execution& execution = executions_[aPath][aClick];
  ++kind.started_;
  if (++execution.started_ > 1 && oncePaths_.contains(aPath)) {
    ++kind.duplicates_;
  }
  return ++started_;
}

void
Ledger::NoteFinish(const std::string& aPath, const std::string& aClick, double aWorkMs)
{
  KindCounts& kind = kinds_[aPath];
  ++kind.finished_;
  kind.workMs_ += aWorkMs;
  Execution& execution = executions_[aPath][aClick];
  ++execution.finished_;
  execution.workMs_ += aWorkMs;
}

void
Ledger::NoteAbandoned(const std::string& aPath, const std::string& aClick, double aWorkMs)
{
  KindCounts& kind = kinds_[aPath];
  ++kind.abandoned_;
  kind.workMs_ += aWorkMs;
  executions_[aPath][aClick].workMs_ += aWorkMs;
}

std::string
Ledger::StatsJson(std::size_t aRunning, std::size_t aQueued) const
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
Ledger::ExecutionsJson(const std::string& aClick) const
{
  std::ostringstream text;
  text << "{\"click\":\"" << EscapeJson(aClick) << "\",\"executions\":{";
  const char* separator = "";
  for (const auto& [path, clicks] : executions_) {
    const auto found = clicks.find(aClick);
    if (found != clicks.end()) {
      text << separator << '"' << EscapeJson(path) << "\":" << found->second.started_;
      separator = ",";
    }
  }
  text << "}}\n";
  return text.str();
}

std::string
Ledger::AllExecutions() const
{
  std::ostringstream text;
  for (const auto& [path, clicks] : executions_) {
    for (const auto& [click, execution] : clicks) {
      text << path << ' ' << click << ' ' << execution.started_ << ' ' << execution.finished_ << ' '
           << execution.workMs_ << '\n';
    }
  }
  return text.str();
}

} // namespace fulmarway::standins
