/** \file
 * Stand-in for a backend server. Prints one line when it accepts connections, and serves until
 * SIGTERM or SIGINT.
 */
#include "BackendServer.h"
#include "support/Arguments.h"

using namespace fulmarway::standins;

namespace {

cxxopts::Options
DescribeOptions()
{
  cxxopts::Options options("backend-server", "Simulated backend server");
  const auto text = [] { return cxxopts::value<std::string>(); };
  const auto list = [] { return cxxopts::value<std::vector<std::string>>(); };
  const auto number = [](const char* aDefault) {
    return cxxopts::value<std::uint64_t>()->default_value(aDefault);
  };
  auto add = options.add_options();
  add("listen", "IP:PORT", text());
  add("slots", "maximum number of requests executed concurrently", number("8"));
  add("queue-limit", "maximum queue length; further requests get status 503", number("0"));
  add("node", "IP:PORT of the local node, for downstream calls", text());
  add("plan", "file with one --kind value on each line", text());
  add("kind",
      "PATH=SERVICE_MS[,long-share=S][,long-factor=F][,calls=SERVICE/KIND;...][,bytes=N]",
      list());
  add("once", "PATH that must execute at most once for each root request", list());
  add("distribution", "exponential or constant", text()->default_value("exponential"));
  add("cold-start-ms", "time until /health answers 200", number("0"));
  add("seed", "random seed of the service times", number("1"));
  add("peers", "SERVICE=IP:PORT,... to call directly instead of through the node", list());
  add("call-retries", "retries of a failed direct call", number("0"));
  add("call-timeout-ms", "timeout of downstream calls without a deadline", number("2000"));
  add("keep-abandoned", "continue requests whose caller has closed the connection");
  add("interim", "interim answers (1xx) before each answer", number("0"));
  add("invalid-status-every", "one in so many answers has a status that is none", number("0"));
  return options;
}

BackendSettings
SettingsOf(const cxxopts::ParseResult& aParsed)
{
  const auto milliseconds = [&](const char* aName) {
    return std::chrono::milliseconds(aParsed[aName].as<std::uint64_t>());
  };
  BackendSettings settings;
  settings.listen_ = Poco::Net::SocketAddress(aParsed["listen"].as<std::string>());
  settings.slots_ = aParsed["slots"].as<std::uint64_t>();
  settings.interimAnswers_ = aParsed["interim"].as<std::uint64_t>();
  settings.invalidStatusEvery_ = aParsed["invalid-status-every"].as<std::uint64_t>();
  if (aParsed.count("queue-limit") > 0) {
    settings.queueLimit_ = aParsed["queue-limit"].as<std::uint64_t>();
  }
  if (aParsed.count("node") > 0) {
    settings.node_ = Poco::Net::SocketAddress(aParsed["node"].as<std::string>());
  }
  if (aParsed.count("plan") > 0) {
    settings.plan_ = ReadPlan(aParsed["plan"].as<std::string>());
  }
  for (const std::string& text : OptionValues(aParsed, "kind")) {
    const KindPlan kind = ParseKindPlan(text);
    settings.plan_[kind.path_] = kind;
  }
  for (const std::string& text : OptionValues(aParsed, "once")) {
    settings.atMostOncePaths_.insert(NormalizeKindPath(text));
  }
  const std::string distribution = aParsed["distribution"].as<std::string>();
  if (distribution != "exponential" && distribution != "constant") {
    throw std::invalid_argument("--distribution: must be exponential or constant, not '" +
                                distribution + "'");
  }
  settings.distribution_ =
    distribution == "constant" ? Distribution::kConstant : Distribution::kExponential;
  settings.coldStart_ = milliseconds("cold-start-ms");
  settings.seed_ = aParsed["seed"].as<std::uint64_t>();
  settings.peers_ = ParseServiceAddresses(OptionValues(aParsed, "peers"));
  settings.callRetries_ = aParsed["call-retries"].as<std::uint64_t>();
  settings.callTimeout_ = milliseconds("call-timeout-ms");
  settings.keepAbandoned_ = aParsed.count("keep-abandoned") > 0;
  return settings;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunProgram(DescribeOptions(), aCount, aArguments, [](const cxxopts::ParseResult& aParsed) {
    const BackendSettings settings = SettingsOf(aParsed);
    StopOnSignals();
    EventLoop loop;
    const BackendServer server(loop, settings);
    std::cout << "listening on " << settings.listen_.toString() << std::endl;
    loop.Run();
  });
}
