/** \file
 * Guards against a metric that is renamed, has no HELP text of its own, or exports the value of
 * another metric. Dashboards and alerts depend on the names.
 */
#include "NodeFixture.h"

#include <criterion/criterion.h>
#include <map>
#include <set>
#include <sstream>

using namespace fulmarway;

namespace {

const std::set<std::string> kCounters = {
  "attempts_total",
  "backend_answers_total",
  "backend_failures_total",
  "backend_reoffers_total",
  "backend_starts_total",
  "caller_pauses_total",
  "calls_answered_total",
  "calls_started_total",
  "cancellations_total",
  "config_fetches_total",
  "control_received_bytes_total",
  "control_sent_bytes_total",
  "dropped_log_lines_total",
  "gossip_received_total",
  "gossip_sent_total",
  "hedges_total",
  "invalid_answers_total",
  "invalid_datagrams_total",
  "invalid_peer_messages_total",
  "invalid_reports_total",
  "invalid_requests_total",
  "key_leases_lost_total",
  "log_append_failures_total",
  "log_appends_total",
  "log_read_failures_total",
  "log_reads_total",
  "omitted_log_lines_total",
  "peer_connections_lost_total",
  "quota_messages_received_total",
  "quota_messages_sent_total",
  "quota_tokens_returned_total",
  "quota_tokens_used_total",
  "refusals_total",
  "released_connections_total",
  "retries_total",
  "ticket_redirects_total",
  "ticket_repeats_total",
  "undecodable_log_records_total",
};

const std::set<std::string> kGauges = {
  "admission_level",    "backend_healthy",   "backend_rate_limit",
  "caller_connections", "concurrency_limit", "config_version",
  "held_bytes",         "key_lease_held",    "key_lease_since_seconds",
  "log_reachable",      "members",           "outbound_calls",
  "queued_requests",    "running_requests",  "store_era",
  "store_reachable",    "tickets",
};

struct Scrape
{
  std::map<std::string, std::string> help_;
  std::map<std::string, std::set<std::string>> namesByType_;
  std::map<std::string, std::string> values_;
};

/** Parses the text format, and strips the prefix of the names. */
Scrape
Read(const std::string& aText)
{
  constexpr std::string_view kPrefix = "fulmarway_";
  Scrape scrape;
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string first;
    std::string name;
    words >> first;
    if (first != "#") {
      cr_expect(first.compare(0, kPrefix.size(), kPrefix) == 0, "%s", line.c_str());
      const std::size_t space = line.rfind(' ');
      scrape.values_[line.substr(kPrefix.size(), space - kPrefix.size())] = line.substr(space + 1);
      continue;
    }
    std::string rest;
    words >> first >> name;
    std::getline(words >> std::ws, rest);
    name = name.substr(kPrefix.size());
    if (first == "HELP") {
      scrape.help_[name] = rest;
    } else {
      scrape.namesByType_[rest].insert(name);
    }
  }
  return scrape;
}

} // namespace

Test(metrics, names_types_and_help)
{
  const Scrape scrape = Read(RenderMetrics(MakeTestState(), {}));
  cr_expect(scrape.namesByType_.size() == 2);
  cr_expect(scrape.namesByType_.at("counter") == kCounters);
  cr_expect(scrape.namesByType_.at("gauge") == kGauges);
  std::set<std::string> texts;
  for (const auto& [name, help] : scrape.help_) {
    cr_expect(help.size() > 8, "%s has no HELP text", name.c_str());
    cr_expect(texts.insert(help).second, "%s: HELP text of another metric", name.c_str());
  }
}

/** In Prometheus a counter is recognized by its suffix, and a unit only by the name. */
Test(metrics, counters_end_in_total_and_bytes_are_named)
{
  for (const std::string& name : kCounters) {
    cr_expect(name.size() > 6 && name.compare(name.size() - 6, 6, "_total") == 0);
  }
  const Scrape scrape = Read(RenderMetrics(MakeTestState(), {}));
  for (const auto& [name, help] : scrape.help_) {
    const bool isInBytes = help.find("Bytes ") != std::string::npos;
    cr_expect_eq(isInBytes, name.find("_bytes") != std::string::npos, "%s", name.c_str());
  }
}

Test(metrics, every_counter_shows_its_own_value)
{
  NodeState state = MakeTestState();
  for (std::size_t index = 0; index < kCounterCount; ++index) {
    state.counters_.Add(static_cast<CounterId>(index), 1000 + index);
  }
  const LoopCounters loop{ 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13 };
  const Scrape scrape = Read(RenderMetrics(state, loop));
  for (std::size_t index = 0; index < kCounterCount; ++index) {
    const auto name = std::string(CounterName(static_cast<CounterId>(index))) + "_total";
    cr_expect_eq(scrape.values_.at(name), std::to_string(1000 + index), "%s", name.c_str());
  }
  const std::map<std::string, std::string> expected = {
    { "invalid_requests_total", "1" },   { "invalid_peer_messages_total", "2" },
    { "invalid_datagrams_total", "3" },  { "undecodable_log_records_total", "4" },
    { "control_sent_bytes_total", "5" }, { "control_received_bytes_total", "6" },
    { "caller_connections", "7" },       { "backend_healthy", "0" },
    { "invalid_reports_total", "8" },    { "omitted_log_lines_total", "9" },
    { "dropped_log_lines_total", "10" }, { "released_connections_total", "11" },
    { "invalid_answers_total", "12" },   { "caller_pauses_total", "13" },
  };
  for (const auto& [name, value] : expected) {
    cr_expect_eq(scrape.values_.at(name), value, "%s", name.c_str());
  }
}

/** Guards against a lease that is shown as missing where none is needed, and against a time that is
 * shown for a lease that has ended. */
Test(metrics, key_lease_is_shown_where_it_is_needed)
{
  NodeState state = MakeTestState();
  const auto read = [&](const char* aName) {
    return std::stod(Read(RenderMetrics(state, {})).values_.at(aName));
  };
  cr_expect_eq(read("key_lease_held"), 1);
  cr_expect_eq(read("key_lease_since_seconds"), 0);
  state.settings_.keyRemovalBound_ = std::chrono::seconds(5);
  state.log_.state_.config_.accounts_.emplace();
  cr_expect_eq(read("key_lease_held"), 0);
  state.keyLease_ = { Instant{ std::chrono::seconds(1) }, true, 1'796'000'000'500 };
  cr_expect_eq(read("key_lease_held"), 1);
  cr_expect_eq(read("key_lease_since_seconds"), 1'796'000'000.5);
}

/** A large value in exponent form or rounded to six digits would hide a slow change. */
Test(metrics, large_counters_keep_their_digits)
{
  NodeState state = MakeTestState();
  state.counters_.Add(CounterId::kAttempts, 123456789012);
  const Scrape scrape = Read(RenderMetrics(state, {}));
  cr_expect_eq(std::stod(scrape.values_.at("attempts_total")), 123456789012.0);
}

Test(metrics, refusals_tell_sides_verdicts_and_reasons_apart)
{
  NodeState state = MakeTestState();
  for (const RefusalSide side : { RefusalSide::kInbound, RefusalSide::kOutbound }) {
    for (const Verdict verdict : { Verdict::kNotRun, Verdict::kMayHaveRun }) {
      RecordRefusal(state.counters_,
                    { side, "dispatch", "list", Importance::kHigh, verdict, Reason::kDeadline },
                    "click",
                    Instant{});
    }
  }
  const Scrape scrape = Read(RenderMetrics(state, {}));
  for (const char* side : { "inbound", "outbound" }) {
    for (const char* verdict : { "not-run", "may-have-run" }) {
      const std::string name = std::string("refusals_total{side=\"") + side +
                               "\",service=\"dispatch\",kind=\"list\",importance=\"high\","
                               "verdict=\"" +
                               verdict + "\",reason=\"deadline\"}";
      cr_expect(
        scrape.values_.contains(name) && scrape.values_.at(name) == "1", "%s", name.c_str());
    }
  }
}
