#include "node/Settings.h"

#include "model/Address.h"
#include "wire/Number.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <algorithm>
#include <array>
#include <cxxopts.hpp>
#include <map>

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
  kLogLevel,
};

/** One setting; the environment variable is FULMARWAY_ and the name in capitals. */
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
  SettingSpec{ "seeds", SettingKind::kAddressList, "", "peer addresses of some nodes" },
  SettingSpec{ "cluster-key", SettingKind::kSecret, "", "secret shared by all nodes" },
  SettingSpec{ "log-level", SettingKind::kLogLevel, "info", "debug, info, warn or error" },
  SettingSpec{ "stop-timeout-ms",
               SettingKind::kNumber,
               "30000",
               "longest graceful stop, milliseconds",
               3000,
               600000 },
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
               "connections of callers",
               1,
               100000 },
};

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

UserError
BadSetting(const std::string& aName, const std::string& aValue, const std::string& aAllowed)
{
  return { "--" + aName, "value \"" + aValue + "\": expected " + aAllowed };
}

/** Parses "IP:port" with a numeric IP address. */
std::optional<Poco::Net::SocketAddress>
ParseAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  Poco::Net::IPAddress host;
  const auto port = ParseNumber(std::string_view(aText).substr(colon + 1));
  constexpr unsigned kMaxPort = 65535;
  if (!Poco::Net::IPAddress::tryParse(aText.substr(0, colon), host) || !port || *port == 0 ||
      *port > kMaxPort) {
    return std::nullopt;
  }
  return Poco::Net::SocketAddress(host, static_cast<Poco::UInt16>(*port));
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

/** What is allowed for the setting, when the value is not; nullopt for a valid value. */
std::optional<std::string>
CheckValue(const SettingSpec& aSpec, const std::string& aValue)
{
  switch (aSpec.kind_) {
    case SettingKind::kAddress:
      return ParseAddress(aValue) ? std::nullopt
                                  : std::optional<std::string>("IP:port with a numeric IP address");
    case SettingKind::kOptionalAddress:
      return aValue.empty() || ParseAddress(aValue)
               ? std::nullopt
               : std::optional<std::string>("IP:port with a numeric IP address");
    case SettingKind::kAddressList:
      return IsAddressList(aValue)
               ? std::nullopt
               : std::optional<std::string>("IP:port,IP:port,... with numeric IP addresses");
    case SettingKind::kName:
      return IsName(aValue) ? std::nullopt
                            : std::optional<std::string>("1 to 64 characters of a-z, 0-9 and '-'");
    case SettingKind::kSecret:
      return aValue.size() >= kMinSecretBytes ? std::nullopt
                                              : std::optional<std::string>("at least 16 bytes");
    case SettingKind::kLogLevel:
      return aValue == "debug" || aValue == "info" || aValue == "warn" || aValue == "error"
               ? std::nullopt
               : std::optional<std::string>("debug, info, warn or error");
    case SettingKind::kNumber:
      break;
  }
  const auto number = ParseNumber(aValue);
  if (number && *number >= aSpec.low_ && *number <= aSpec.high_) {
    return std::nullopt;
  }
  return "a number from " + std::to_string(aSpec.low_) + " to " + std::to_string(aSpec.high_);
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
    if (const auto allowed = CheckValue(spec, value)) {
      const bool isSecret = spec.kind_ == SettingKind::kSecret;
      return tl::unexpected(BadSetting(spec.name_, isSecret ? "(hidden)" : value, *allowed));
    }
    values.emplace(spec.name_, std::move(value));
  }
  return values;
}

Duration
Milliseconds(const std::string& aValue)
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
  settings.logLevel_ = aValues.at("log-level");

  NodeSettings& node = settings.node_;
  node.identity_.peerAddress_ = settings.peerListen_.toString();
  node.identity_.id_ = NodeIdOf(node.identity_.peerAddress_);
  node.identity_.adminAddress_ = settings.adminListen_.toString();
  node.identity_.service_ = aValues.at("service");
  node.identity_.domain_ = aValues.at("domain");
  node.identity_.region_ = aValues.at("region");
  node.clusterKey_.secret_ = aValues.at("cluster-key");
  node.seeds_ = SplitList(aValues.at("seeds"));
  node.stopTimeout_ = Milliseconds(aValues.at("stop-timeout-ms"));
  node.logPollInterval_ = Milliseconds(aValues.at("log-poll-ms"));
  node.logRetention_ = std::chrono::seconds(*ParseNumber(aValues.at("log-retention-seconds")));
  return settings;
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
  try {
    const auto flags = MakeOptions().parse(static_cast<int>(arguments.size()), arguments.data());
    if (flags.count("help") > 0) {
      return PrintAndExit{ HelpText() };
    }
    if (flags.count("version") > 0) {
      return PrintAndExit{ "fulmarwayd " FULMARWAY_VERSION "\n" };
    }
    if (!flags.unmatched().empty()) {
      return tl::unexpected(UserError{ flags.unmatched().front(), "not a setting; see --help" });
    }
    const auto values = CollectValues(flags, aEnvironment);
    if (!values) {
      return tl::unexpected(values.error());
    }
    ProcessSettings settings = MakeSettings(*values);
    settings.checkOnly_ = flags.count("check-settings") > 0;
    return settings;
  } catch (const std::exception& error) {
    return tl::unexpected(UserError{ "command line", error.what() });
  }
}

} // namespace fulmarway
