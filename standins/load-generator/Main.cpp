/** \file
 * Stand-in for callers: generates an open-loop load, reports the outcomes and checks them against
 * the executions on the backend servers.
 */
#include "Caller.h"
#include "support/Arguments.h"

#include <algorithm>
#include <stdexcept>

using namespace fulmarway::standins;

namespace {

constexpr std::chrono::seconds kFetchTimeout{ 10 };

std::chrono::nanoseconds
ToNanoseconds(double aSeconds)
{
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
    std::chrono::duration<double>(aSeconds));
}

cxxopts::Options
DescribeOptions()
{
  cxxopts::Options options("load-generator", "Simulated callers with an open-loop load");
  const auto text = [](const char* aDefault) {
    return cxxopts::value<std::string>()->default_value(aDefault);
  };
  const auto list = [] { return cxxopts::value<std::vector<std::string>>(); };
  const auto number = [](const char* aDefault) {
    return cxxopts::value<std::uint64_t>()->default_value(aDefault);
  };
  auto add = options.add_options();
  add("entries", "IP:PORT,... of the entry nodes", text(""));
  add("direct", "SERVICE=IP:PORT,... of backend servers to call directly, without a node", list());
  add("mix", "SERVICE/KIND=RATE,... in root requests per second", text(""));
  add(
    "step",
    "SECONDS:FACTOR[:SERVICE/KIND],... multiplies the rate of all kinds or of one from SECONDS on",
    text(""));
  add("seconds", "duration of the load", cxxopts::value<double>()->default_value("10"));
  add("retries", "caller retries of a root request", number("0"));
  add("once", "SERVICE/KIND that must execute at most once and needs a ticket", list());
  add("once-retries", "caller retries of a root request of a --once kind", number("2"));
  add("aggressive", "retry immediately and ignore Retry-After");
  add("deadline-ms", "deadline of each attempt", number("1000"));
  add("connections", "maximum number of connections to each entry", number("800"));
  add("seed", "random seed of the arrivals", number("1"));
  add("click-prefix", "prefix of the root request ids", text("c"));
  add("check", "IP:PORT,... of the backend servers whose executions to check", text(""));
  add("check-once", "SERVICE/KIND of downstream calls that must execute at most once", list());
  add("json", "print JSON instead of lines");
  return options;
}

void
AddSteps(std::string_view aText, std::vector<KindLoad>& aKinds)
{
  for (const std::string& text : Split(aText, ',')) {
    const std::vector<std::string> parts = Split(text, ':');
    if (parts.size() < 2 || parts.size() > 3) {
      throw std::invalid_argument("--step: must be SECONDS:FACTOR[:SERVICE/KIND]: '" + text + "'");
    }
    for (KindLoad& kind : aKinds) {
      if (parts.size() == 2 || parts[2] == kind.path_) {
        kind.steps_.push_back({ ToNanoseconds(ParseNumber(parts[0])), ParseNumber(parts[1]) });
      }
    }
  }
  for (KindLoad& kind : aKinds) {
    std::ranges::stable_sort(kind.steps_, {}, &RateStep::at_);
  }
}

CallerSettings
SettingsOf(const cxxopts::ParseResult& aParsed)
{
  CallerSettings settings;
  const std::vector<std::string> atMostOncePaths = OptionValues(aParsed, "once");
  for (const std::string& text : Split(aParsed["mix"].as<std::string>(), ',')) {
    const auto [path, rate] = SplitKeyValue(text);
    settings.kinds_.push_back(
      { path,
        ParseNumber(rate),
        {},
        std::ranges::find(atMostOncePaths, path) != atMostOncePaths.end() });
  }
  AddSteps(aParsed["step"].as<std::string>(), settings.kinds_);
  settings.entries_ = ParseAddresses(aParsed["entries"].as<std::string>());
  settings.direct_ = ParseServiceAddresses(OptionValues(aParsed, "direct"));
  for (const KindLoad& kind : settings.kinds_) {
    const auto found = settings.direct_.find(kind.path_.substr(0, kind.path_.find('/')));
    if (settings.entries_.empty() && found == settings.direct_.end()) {
      throw std::invalid_argument("'" + kind.path_ +
                                  "': needs --entries, or --direct for its service");
    }
  }
  settings.duration_ = ToNanoseconds(aParsed["seconds"].as<double>());
  settings.retries_ = static_cast<std::uint32_t>(aParsed["retries"].as<std::uint64_t>());
  settings.atMostOnceRetries_ =
    static_cast<std::uint32_t>(aParsed["once-retries"].as<std::uint64_t>());
  settings.aggressive_ = aParsed.count("aggressive") > 0;
  settings.deadline_ = std::chrono::milliseconds(aParsed["deadline-ms"].as<std::uint64_t>());
  settings.connectionsPerEntry_ = aParsed["connections"].as<std::uint64_t>();
  settings.seed_ = aParsed["seed"].as<std::uint64_t>();
  settings.rootRequestIdPrefix_ = aParsed["click-prefix"].as<std::string>();
  return settings;
}

/** Fetches the execution lines of all backend servers. Throws std::runtime_error when one of them
 * does not respond, because CheckExecutions() would miss violations without its data. */
std::string
FetchExecutions(const std::vector<Poco::Net::SocketAddress>& aBackends)
{
  EventLoop loop;
  HttpClient client(loop, {});
  std::string lines;
  std::size_t open = aBackends.size();
  std::string missing;
  for (const Poco::Net::SocketAddress& address : aBackends) {
    HttpMessage request;
    request.target_ = "/executions/all";
    client.Send(address, request, kFetchTimeout, [&](const CallResult& aResult) {
      if (aResult.response_ && aResult.response_->status_ == 200) {
        lines += aResult.response_->body_;
      } else {
        missing = address.toString();
      }
      if (--open == 0) {
        loop.Stop();
      }
    });
  }
  if (open > 0) {
    loop.Run();
  }
  if (!missing.empty() || open > 0) {
    throw std::runtime_error("cannot fetch /executions/all from backend server " + missing);
  }
  return lines;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunProgram(DescribeOptions(), aCount, aArguments, [](const cxxopts::ParseResult& aParsed) {
    StopOnSignals();
    EventLoop loop;
    Caller caller(loop, SettingsOf(aParsed));
    loop.Run();
    const Report report = caller.ExtractReport();
    std::vector<std::string> atMostOncePaths = OptionValues(aParsed, "once");
    for (const std::string& path : OptionValues(aParsed, "check-once")) {
      atMostOncePaths.push_back(path);
    }
    const std::string executions =
      FetchExecutions(ParseAddresses(aParsed["check"].as<std::string>()));
    const ExecutionReport checked = CheckExecutions(report, executions, atMostOncePaths);
    std::cout << (aParsed.count("json") > 0 ? ToJson(report, checked) : ToLines(report, checked));
  });
}
