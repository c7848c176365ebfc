#include "node/Settings.h"

#include "model/Address.h"
#include "model/Number.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cxxopts.hpp>
#include <map>
#include <ostream>

namespace fulmarway {

namespace {

enum class SettingKind : std::uint8_t
{
  kAddress,
  kOptionalAddress,
  kAddressList,
  kName,
  kSecret,
  kNumber,
  kOptionalNumber,
  kLogLevel,
  kInterface,
  /** Validated by the interface. */
  kText,
};

/** A setting; see VariableOf() for its environment variable. */
struct SettingSpec
{
  const char* name_;
  SettingKind kind_;
  const char* default_;
  const char* help_;
  std::uint64_t low_ = 0;
  std::uint64_t high_ = 0;
};

constexpr std::size_t kMinSecretBytes = 16;

constexpr std::array kSettings = {
  SettingSpec{ "listen", SettingKind::kAddress, "", "address for callers, IP:port" },
  SettingSpec{ "peer-listen", SettingKind::kAddress, "", "address for other nodes, IP:port" },
  SettingSpec{ "admin-listen", SettingKind::kAddress, "", "address for operators, IP:port" },
  SettingSpec{ "backend", SettingKind::kAddress, "", "address of the backend server, IP:port" },
  SettingSpec{ "service", SettingKind::kName, "", "service of the backend server" },
  SettingSpec{ "domain", SettingKind::kName, "", "failure domain of the VM" },
  SettingSpec{ "region", SettingKind::kName, "default", "region of the VM" },
  SettingSpec{ "log-service", SettingKind::kOptionalAddress, "", "log service, IP:port" },
  SettingSpec{ "interface",
               SettingKind::kInterface,
               "own",
               "protocols of callers, backend server and store: own or platform" },
  SettingSpec{ "store",
               SettingKind::kOptionalAddress,
               "",
               "store of configuration and announcements, IP:port; interface platform" },
  SettingSpec{ "report-listen",
               SettingKind::kOptionalAddress,
               "",
               "address for heartbeats of the backend server, IP:port; interface platform" },
  SettingSpec{ "bounds",
               SettingKind::kText,
               "",
               "time limits of the deployment, NAME=VALUE,...; interface platform" },
  SettingSpec{ "seeds",
               SettingKind::kAddressList,
               "",
               "peer addresses of some nodes to join through, IP:port,..." },
  SettingSpec{ "cluster-key", SettingKind::kSecret, "", "secret shared by all nodes" },
  SettingSpec{ "log-level", SettingKind::kLogLevel, "info", "debug, info, warn or error" },
  SettingSpec{ "stop-timeout-ms",
               SettingKind::kNumber,
               "30000",
               "longest graceful stop, milliseconds",
               3000,
               600000 },
  SettingSpec{ "accept-after-stop-ms",
               SettingKind::kNumber,
               "0",
               "time for which a stopping node accepts new connections, milliseconds",
               0,
               60000 },
  SettingSpec{ "retry-share-percent",
               SettingKind::kNumber,
               "10",
               "retries and hedges as a share of successes, percent",
               0,
               100 },
  SettingSpec{ "retry-burst",
               SettingKind::kNumber,
               "20",
               "retries that are allowed before any success",
               0,
               1000 },
  SettingSpec{ "log-retention-seconds",
               SettingKind::kNumber,
               "3600",
               "how long the log service keeps records, seconds",
               20,
               31536000 },
  SettingSpec{ "log-poll-ms",
               SettingKind::kNumber,
               "500",
               "interval of log reads, milliseconds",
               50,
               2000 },
  SettingSpec{ "max-connections",
               SettingKind::kNumber,
               "2000",
               "maximum number of caller connections",
               1,
               100000 },
  SettingSpec{
    "domain-spill-percent",
    SettingKind::kOptionalNumber,
    "",
    "largest share of the requests for a service that leaves the failure domain while it "
    "has servers, percent; 0 for never, not given: by latency alone",
    0,
    100 },
  SettingSpec{ "domain-byte-cost",
               SettingKind::kNumber,
               "50",
               "waiting time that the transfer of a byte between failure domains is worth, "
               "nanoseconds; with domain-spill-percent",
               0,
               1000000 },
  SettingSpec{
    "held-mb",
    SettingKind::kNumber,
    "64",
    "bytes of requests and answers that the process holds, all connections together, MiB",
    16,
    65536 },
};

/** FULMARWAY_ followed by the name of the setting in upper case, with '_' for '-'. */
std::string
VariableOf(const std::string& aName)
{
  std::string variable = "FULMARWAY_";
  for (const char letter : aName) {
    variable += letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
  }
  return variable;
}

std::string
HelpText()
{
  std::string text = "usage: fulmarwayd [--SETTING VALUE]... [--check-settings]\n"
                     "                  [--help] [--version]\n\n"
                     "Every setting can also be given as an environment variable.\n\n";
  for (const SettingSpec& spec : kSettings) {
    std::string line = std::string("  --") + spec.name_;
    line.resize(std::max<std::size_t>(line.size() + 2, 28), ' ');
    line += spec.help_;
    line += " (" + VariableOf(spec.name_);
    line += *spec.default_ == '\0' ? ")\n" : std::string(", default ") + spec.default_ + ")\n";
    text += line;
  }
  return text;
}

/** Replaces control characters, so that an error message stays on one line. */
std::string
ReplaceControlCharacters(std::string aText)
{
  std::replace_if(
    aText.begin(),
    aText.end(),
    [](unsigned char aLetter) { return std::iscntrl(aLetter) != 0; },
    '?');
  return aText;
}

/** Parses "IP:port" with a numeric IP address. */
std::optional<Poco::Net::SocketAddress>
ParseAddress(const std::string& aText)
{
  // POCO alone would also accept the ports "8,080" and " 8080", and host names.
  return IsNumericAddress(aText) ? std::optional(Poco::Net::SocketAddress(aText)) : std::nullopt;
}

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t comma = std::min(aText.find(',', start), aText.size());
    parts.push_back(aText.substr(start, comma - start));
    start = comma + 1;
  }
  return parts;
}

bool
IsAddressList(const std::string& aText)
{
  const auto parts = SplitList(aText);
  return std::all_of(parts.begin(), parts.end(), [](const std::string& aPart) {
    return ParseAddress(aPart).has_value();
  });
}

/** Describes the allowed values of a setting, for error messages. */
std::string
AllowedValues(const SettingSpec& aSpec)
{
  switch (aSpec.kind_) {
    case SettingKind::kAddress:
    case SettingKind::kOptionalAddress:
      return "IP:port with a numeric IP address";
    case SettingKind::kAddressList:
      return "IP:port,IP:port,... with numeric IP addresses";
    case SettingKind::kName:
      return "1 to 64 characters of a-z, 0-9 and '-'";
    case SettingKind::kSecret:
      return "at least 16 bytes";
    case SettingKind::kLogLevel:
      return "debug, info, warn or error";
    case SettingKind::kInterface:
      return "own or platform";
    case SettingKind::kText:
      return "NAME=VALUE,...";
    case SettingKind::kNumber:
    case SettingKind::kOptionalNumber:
      break;
  }
  return "a number from " + std::to_string(aSpec.low_) + " to " + std::to_string(aSpec.high_);
}

bool
IsAllowed(const SettingSpec& aSpec, const std::string& aValue)
{
  switch (aSpec.kind_) {
    case SettingKind::kAddress:
      return IsNumericAddress(aValue);
    case SettingKind::kOptionalAddress:
      return aValue.empty() || IsNumericAddress(aValue);
    case SettingKind::kAddressList:
      return IsAddressList(aValue);
    case SettingKind::kName:
      return IsName(aValue);
    case SettingKind::kSecret:
      return aValue.size() >= kMinSecretBytes;
    case SettingKind::kLogLevel:
      return aValue == "debug" || aValue == "info" || aValue == "warn" || aValue == "error";
    case SettingKind::kInterface:
      return aValue == kOwnInterface || aValue == kPlatformInterface;
    case SettingKind::kText:
      return true;
    case SettingKind::kOptionalNumber:
      if (aValue.empty()) {
        return true;
      }
      break;
    case SettingKind::kNumber:
      break;
  }
  const auto number = ParseNumber(aValue);
  return number && *number >= aSpec.low_ && *number <= aSpec.high_;
}

UserError
BadSetting(const SettingSpec& aSpec, const std::string& aValue)
{
  const bool isSecret = aSpec.kind_ == SettingKind::kSecret;
  return { std::string("--") + aSpec.name_,
           "value \"" + (isSecret ? "(hidden)" : ReplaceControlCharacters(aValue)) +
             "\": expected " + AllowedValues(aSpec) };
}

using Values = std::map<std::string, std::string>;

tl::expected<Values, UserError>
CollectValues(const cxxopts::ParseResult& aFlags, const Environment& aEnvironment)
{
  Values values;
  for (const SettingSpec& spec : kSettings) {
    std::string value = aEnvironment(VariableOf(spec.name_)).value_or(spec.default_);
    if (aFlags.count(spec.name_) > 0) {
      value = aFlags[spec.name_].as<std::string>();
    }
    if (!IsAllowed(spec, value)) {
      return tl::unexpected(BadSetting(spec, value));
    }
    values.emplace(spec.name_, std::move(value));
  }
  return values;
}

Duration
ParseMilliseconds(const std::string& aValue)
{
  return std::chrono::milliseconds(*ParseNumber(aValue));
}

ProcessSettings
MakeSettings(const Values& aValues)
{
  ProcessSettings settings;
  settings.listen_ = *ParseAddress(aValues.at("listen"));
  settings.peerListen_ = *ParseAddress(aValues.at("peer-listen"));
  settings.adminListen_ = *ParseAddress(aValues.at("admin-listen"));
  settings.backend_ = *ParseAddress(aValues.at("backend"));
  settings.logService_ = ParseAddress(aValues.at("log-service"));
  settings.maxConnections_ = *ParseNumber(aValues.at("max-connections"));
  settings.maxHeldBytes_ = static_cast<std::size_t>(*ParseNumber(aValues.at("held-mb"))) << 20;
  settings.logLevel_ = aValues.at("log-level");
  settings.interface_ = aValues.at("interface");
  settings.bounds_ = aValues.at("bounds");
  settings.store_ = ParseAddress(aValues.at("store"));
  settings.reportListen_ = ParseAddress(aValues.at("report-listen"));

  NodeSettings& node = settings.node_;
  node.identity_.peerAddress_ = settings.peerListen_.toString();
  node.identity_.id_ = NodeIdOf(node.identity_.peerAddress_);
  node.identity_.adminAddress_ = settings.adminListen_.toString();
  node.identity_.service_ = aValues.at("service");
  node.identity_.domain_ = aValues.at("domain");
  node.identity_.region_ = aValues.at("region");
  node.clusterKey_.secret_ = aValues.at("cluster-key");
  node.seeds_ = SplitList(aValues.at("seeds"));
  node.stopTimeout_ = ParseMilliseconds(aValues.at("stop-timeout-ms"));
  node.acceptAfterStop_ = ParseMilliseconds(aValues.at("accept-after-stop-ms"));
  node.retries_.retrySharePercent_ =
    static_cast<std::uint32_t>(*ParseNumber(aValues.at("retry-share-percent")));
  node.retries_.retryBurst_ = static_cast<std::uint32_t>(*ParseNumber(aValues.at("retry-burst")));
  if (const auto percent = ParseNumber(aValues.at("domain-spill-percent"))) {
    node.domainSpill_.maxPercent_ = static_cast<std::uint32_t>(*percent);
  }
  node.domainSpill_.byteCostNs_ =
    static_cast<std::uint32_t>(*ParseNumber(aValues.at("domain-byte-cost")));
  node.usesStore_ = settings.interface_ == kPlatformInterface;
  node.usesTickets_ = !node.usesStore_;
  node.logPollInterval_ = ParseMilliseconds(aValues.at("log-poll-ms"));
  node.logRetention_ = std::chrono::seconds(*ParseNumber(aValues.at("log-retention-seconds")));
  return settings;
}

/** Whether the argument is "--SETTING", so that the next argument is its value. */
bool
IsFlagName(const std::string& aArgument)
{
  return std::any_of(kSettings.begin(), kSettings.end(), [&](const SettingSpec& aSpec) {
    return aArgument == std::string("--") + aSpec.name_;
  });
}

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("fulmarwayd");
  for (const SettingSpec& spec : kSettings) {
    options.add_options()(spec.name_, spec.help_, cxxopts::value<std::string>());
  }
  options.add_options()("check-settings", "")("help", "")("version", "");
  return options;
}

} // namespace

SettingsResult
ParseSettings(const std::vector<std::string>& aArguments, const Environment& aEnvironment)
{
  std::vector<const char*> arguments{ "fulmarwayd" };
  for (const std::string& argument : aArguments) {
    arguments.push_back(argument.c_str());
  }
  for (const SettingSpec& spec : kSettings) {
    // cxxopts would report a flag without a value, but not its allowed values.
    if (arguments.back() == std::string("--") + spec.name_ &&
        (aArguments.size() < 2 || !IsFlagName(aArguments[aArguments.size() - 2]))) {
      return tl::unexpected(BadSetting(spec, ""));
    }
  }
  try {
    const auto flags = MakeOptions().parse(static_cast<int>(arguments.size()), arguments.data());
    if (flags.count("help") > 0) {
      return PrintAndExit{ HelpText() };
    }
    if (flags.count("version") > 0) {
      return PrintAndExit{ "fulmarwayd " FULMARWAY_VERSION "\n" };
    }
    if (!flags.unmatched().empty()) {
      return tl::unexpected(UserError{ ReplaceControlCharacters(flags.unmatched().front()),
                                       "not a setting; see --help" });
    }
    const auto values = CollectValues(flags, aEnvironment);
    if (!values) {
      return tl::unexpected(values.error());
    }
    ProcessSettings settings = MakeSettings(*values);
    settings.checkOnly_ = flags.count("check-settings") > 0;
    return settings;
  } catch (const std::exception& error) {
    return tl::unexpected(
      UserError{ "command line", ReplaceControlCharacters(error.what()) + "; see --help" });
  }
}

std::optional<int>
ReportSettings(const SettingsResult& aResult, std::ostream& aOutput, std::ostream& aErrors)
{
  if (!aResult) {
    aErrors << "fulmarwayd: " << aResult.error().subject_ << ": " << aResult.error().message_
            << '\n';
    return kExitBadSettings;
  }
  if (const auto* text = std::get_if<PrintAndExit>(&*aResult)) {
    aOutput << text->text_;
    return 0;
  }
  return std::get<ProcessSettings>(*aResult).checkOnly_ ? std::optional(0) : std::nullopt;
}

} // namespace fulmarway
