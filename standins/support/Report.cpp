#include "support/Report.h"

#include "support/Text.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace fulmarway::standins {

namespace {

/** Names and values in output order. A time series is one value, joined by commas. */
using Fields = std::vector<std::pair<std::string, std::string>>;

std::string
JoinCounts(const PerSecond& aCounts)
{
  std::string text;
  for (const std::uint64_t count : aCounts) {
    text += (text.empty() ? "" : ",") + std::to_string(count);
  }
  return text;
}

std::string
FormatMilliseconds(std::chrono::microseconds aValue)
{
  std::ostringstream text;
  text << std::chrono::duration<double, std::milli>(aValue).count();
  return text.str();
}

template<typename Key>
std::uint64_t
CountOf(const std::map<Key, std::uint64_t>& aCounts, const Key& aKey)
{
  const auto found = aCounts.find(aKey);
  return found == aCounts.end() ? 0 : found->second;
}

Fields
FieldsOf(const std::string& aPath, const KindReport& aKind, const ExecutionReport& aExecutions)
{
  const auto outcome = [&](Outcome aOutcome) {
    return std::to_string(CountOf(aKind.outcomes_, aOutcome));
  };
  Fields fields = {
    { "offered", std::to_string(aKind.offered_) },
    { "whole", outcome(Outcome::kWhole) },
    { "wrong", outcome(Outcome::kWrong) },
    { "notRun", outcome(Outcome::kNotRun) },
    { "mayHaveRun", outcome(Outcome::kMayHaveRun) },
    { "failed", outcome(Outcome::kFailed) },
    { "attempts", std::to_string(aKind.attempts_) },
    { "timeouts", std::to_string(aKind.timeouts_) },
    { "p50Ms", FormatMilliseconds(aKind.latency_.Percentile(50)) },
    { "p99Ms", FormatMilliseconds(aKind.latency_.Percentile(99)) },
    { "p999Ms", FormatMilliseconds(aKind.latency_.Percentile(99.9)) },
    { "maxMs", FormatMilliseconds(aKind.latency_.Max()) },
    { "notRunThatRan", std::to_string(CountOf(aExecutions.notRunThatRan_, aPath)) },
    { "duplicates", std::to_string(CountOf(aExecutions.duplicates_, aPath)) },
    { "offeredPerSecond", JoinCounts(aKind.offeredPerSecond_) },
    { "wholeOfArrivals", JoinCounts(aKind.wholeOfArrivals_) },
    { "wholePerSecond", JoinCounts(aKind.wholePerSecond_) },
  };
  for (const auto& [reason, count] : aKind.reasons_) {
    fields.emplace_back("reason." + reason, std::to_string(count));
  }
  return fields;
}

std::uint64_t
SumOf(const std::map<std::string, std::uint64_t>& aCounts)
{
  std::uint64_t sum = 0;
  for (const auto& [path, count] : aCounts) {
    sum += count;
  }
  return sum;
}

/** Unlike the fields of the kinds, the totals include paths that only downstream calls use. */
Fields
TotalsOf(const Report& aReport, const ExecutionReport& aExecutions)
{
  std::ostringstream work;
  work << aExecutions.workMs_;
  std::ostringstream wasted;
  wasted << aExecutions.wastedMs_;
  return {
    { "clicks", std::to_string(aReport.rootRequests_.size()) },
    { "notRunThatRan", std::to_string(SumOf(aExecutions.notRunThatRan_)) },
    { "duplicates", std::to_string(SumOf(aExecutions.duplicates_)) },
    { "workMs", work.str() },
    { "wastedMs", wasted.str() },
    { "latenessP99Ms", FormatMilliseconds(aReport.lateness_.Percentile(99)) },
    { "latenessMaxMs", FormatMilliseconds(aReport.lateness_.Max()) },
  };
}

std::string
FormatLine(const std::string& aName, const Fields& aFields)
{
  std::string line = aName;
  for (const auto& [key, value] : aFields) {
    line += " " + key + "=" + value;
  }
  return line + "\n";
}

std::string
FormatObject(const Fields& aFields)
{
  std::string text;
  for (const auto& [key, value] : aFields) {
    const bool series = key.ends_with("PerSecond") || key == "wholeOfArrivals";
    text += (text.empty() ? "\"" : ",\"") + EscapeJson(key) + "\":";
    text += series ? "[" + value + "]" : value;
  }
  return "{" + text + "}";
}

/** Ids of the root requests that aPredicate selects, as a JSON array. */
std::string
FormatIds(const Report& aReport, const auto& aPredicate)
{
  std::string text;
  for (const auto& [rootRequestId, record] : aReport.rootRequests_) {
    if (aPredicate(record)) {
      text += (text.empty() ? "\"" : ",\"") + EscapeJson(rootRequestId) + "\"";
    }
  }
  return "[" + text + "]";
}

} // namespace

void
AddToSecond(PerSecond& aCounts, std::chrono::nanoseconds aTime)
{
  const auto second = static_cast<std::size_t>(
    std::max<std::int64_t>(0, std::chrono::floor<std::chrono::seconds>(aTime).count()));
  if (second >= aCounts.size()) {
    aCounts.resize(second + 1);
  }
  ++aCounts[second];
}

ExecutionReport
CheckExecutions(const Report& aReport,
                const std::string& aExecutions,
                const std::vector<std::string>& aAtMostOncePaths)
{
  ExecutionReport result;
  std::map<std::pair<std::string, std::string>, std::uint64_t> starts;
  std::istringstream input(aExecutions);
  std::string path;
  std::string rootRequestId;
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  double workMs = 0;
  while (input >> path >> rootRequestId >> started >> finished >> workMs) {
    const auto found = aReport.rootRequests_.find(rootRequestId);
    if (found == aReport.rootRequests_.end()) {
      continue;
    }
    starts[{ path, rootRequestId }] += started;
    result.workMs_ += workMs;
    result.wastedMs_ += found->second.outcome_ == Outcome::kWhole ? 0 : workMs;
  }
  for (const auto& [key, count] : starts) {
    const RootRequestRecord& record = aReport.rootRequests_.at(key.second);
    if (count > 0 && record.provenNotRun_) {
      ++result.notRunThatRan_[key.first];
    }
    if (count > 1 && std::ranges::find(aAtMostOncePaths, key.first) != aAtMostOncePaths.end()) {
      result.duplicates_[key.first] += count - 1;
    }
  }
  return result;
}

std::string
ToLines(const Report& aReport, const ExecutionReport& aExecutions)
{
  std::string text;
  for (const auto& [path, kind] : aReport.kinds_) {
    text += FormatLine(path, FieldsOf(path, kind, aExecutions));
  }
  return text + FormatLine("total", TotalsOf(aReport, aExecutions));
}

std::string
ToJson(const Report& aReport, const ExecutionReport& aExecutions)
{
  std::string kinds;
  for (const auto& [path, kind] : aReport.kinds_) {
    kinds += (kinds.empty() ? "\"" : ",\"") + EscapeJson(path) +
             "\":" + FormatObject(FieldsOf(path, kind, aExecutions));
  }
  const auto notRun = [](const RootRequestRecord& aRecord) { return aRecord.provenNotRun_; };
  const auto complete = [](const RootRequestRecord& aRecord) {
    return aRecord.outcome_ == Outcome::kWhole;
  };
  return "{\"kinds\":{" + kinds + "},\"total\":" + FormatObject(TotalsOf(aReport, aExecutions)) +
         ",\"notRunClicks\":" + FormatIds(aReport, notRun) +
         ",\"wholeClicks\":" + FormatIds(aReport, complete) + "}\n";
}

} // namespace fulmarway::standins
