/** \file
 * Guards against a setting that is read from the wrong source, an invalid value that is accepted,
 * and an error message that does not name what to change.
 */
#include "node/Settings.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>
#include <sstream>

using namespace fulmarway;

namespace {

using Settings = std::map<std::string, std::string>;

const Settings kValid = { { "listen", "127.0.0.1:7000" },
                          { "peer-listen", "127.0.0.1:7001" },
                          { "admin-listen", "127.0.0.1:7002" },
                          { "backend", "127.0.0.1:7003" },
                          { "service", "pricing" },
                          { "domain", "colombo-a" },
                          { "cluster-key", "0123456789abcdef" } };

std::string
VariableOf(std::string aName)
{
  std::transform(aName.begin(), aName.end(), aName.begin(), [](char aLetter) {
    return aLetter == '-' ? '_' : static_cast<char>(std::toupper(aLetter));
  });
  return "FULMARWAY_" + aName;
}

SettingsResult
Parse(const Settings& aFlags, const Settings& aVariables)
{
  std::vector<std::string> arguments;
  for (const auto& [name, value] : aFlags) {
    arguments.insert(arguments.end(), { "--" + name, value });
  }
  return ParseSettings(arguments, [&](const std::string& aName) {
    for (const auto& [name, value] : aVariables) {
      if (VariableOf(name) == aName) {
        return std::optional(value);
      }
    }
    return std::optional<std::string>();
  });
}

Settings
With(Settings aSettings, const std::string& aName, const std::string& aValue)
{
  aSettings.insert_or_assign(aName, aValue);
  return aSettings;
}

/** The parsed value of a setting, formatted as its flag. */
std::string
ValueOf(const ProcessSettings& aSettings, const std::string& aName)
{
  const NodeSettings& node = aSettings.node_;
  const auto milliseconds = [](Duration aTime) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
  };
  std::string seeds;
  for (const std::string& seed : node.seeds_) {
    seeds += (seeds.empty() ? "" : ",") + seed;
  }
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(node.logRetention_);
  const Settings values = {
    { "listen", aSettings.listen_.toString() },
    { "peer-listen", aSettings.peerListen_.toString() },
    { "admin-listen", aSettings.adminListen_.toString() },
    { "backend", aSettings.backend_.toString() },
    { "service", node.identity_.service_ },
    { "domain", node.identity_.domain_ },
    { "region", node.identity_.region_ },
    { "log-service", aSettings.logService_ ? aSettings.logService_->toString() : "" },
    { "seeds", seeds },
    { "cluster-key", node.clusterKey_.secret_ },
    { "log-level", aSettings.logLevel_ },
    { "stop-timeout-ms", milliseconds(node.stopTimeout_) },
    { "log-retention-seconds", std::to_string(seconds.count()) },
    { "log-poll-ms", milliseconds(node.logPollInterval_) },
    { "max-connections", std::to_string(aSettings.maxConnections_) },
    { "domain-spill-percent",
      node.domainSpill_.maxPercent_ ? std::to_string(*node.domainSpill_.maxPercent_) : "" },
    { "domain-byte-cost", std::to_string(node.domainSpill_.byteCostNs_) },
  };
  return values.at(aName);
}

struct SettingCase
{
  const char* name_;
  /** nullptr for a required setting. */
  const char* default_;
  std::vector<std::string> good_;
  std::vector<std::string> bad_;
  const char* allowed_;
};

const std::vector<std::string> kGoodAddresses = { "10.0.0.1:80", "[fd00::1]:65535" };
const std::vector<std::string> kBadAddresses = {
  "10.0.0.1",       "localhost:80", "10.0.0.1:0", ":80",           "10.0.0.1:65536",
  "10.0.0.1:8,080", "10.0.0.1: 80", "fd00::1:80", "10.0.0.1:80\nx"
};
const std::vector<std::string> kBadNames = { "", "Pricing", "a b", "a\nb", std::string(65, 'a') };
constexpr const char* kAddressAllowed = "IP:port with a numeric IP address";
constexpr const char* kNameAllowed = "1 to 64 characters of a-z, 0-9 and '-'";

std::vector<std::string>
Plus(std::vector<std::string> aValues, const std::string& aValue)
{
  aValues.push_back(aValue);
  return aValues;
}

const SettingCase kCases[] = {
  { "listen", nullptr, kGoodAddresses, Plus(kBadAddresses, ""), kAddressAllowed },
  { "peer-listen", nullptr, kGoodAddresses, Plus(kBadAddresses, ""), kAddressAllowed },
  { "admin-listen", nullptr, kGoodAddresses, Plus(kBadAddresses, ""), kAddressAllowed },
  { "backend", nullptr, kGoodAddresses, Plus(kBadAddresses, ""), kAddressAllowed },
  { "service", nullptr, { "a", std::string(64, 'a') }, kBadNames, kNameAllowed },
  { "domain", nullptr, { "perth-a" }, kBadNames, kNameAllowed },
  { "region", "default", { "region-1" }, kBadNames, kNameAllowed },
  { "log-service", "", Plus(kGoodAddresses, ""), kBadAddresses, kAddressAllowed },
  { "seeds",
    "",
    { "", "10.0.0.1:80", "10.0.0.1:80,[fd00::1]:81" },
    { "10.0.0.1", ",10.0.0.1:80", "10.0.0.1:80,,10.0.0.2:80", "10.0.0.1:80 10.0.0.2:80" },
    "IP:port,IP:port,... with numeric IP addresses" },
  { "cluster-key", nullptr, { std::string(16, 'k') }, { "", std::string(15, 'k') }, "16 bytes" },
  { "log-level",
    "info",
    { "debug", "info", "warn", "error" },
    { "", "INFO", "trace" },
    "debug, info, warn or error" },
  { "domain-spill-percent",
    "",
    { "", "0", "40", "100" },
    { "101", "-1", "all" },
    "a number from 0 to 100" },
  { "domain-byte-cost", "50", { "0", "1000000" }, { "", "1000001" }, "a number from 0 to 1000000" },
  { "stop-timeout-ms",
    "30000",
    { "3000", "600000" },
    { "", "2999", "600001", "30,000", "-3000", "3e3", "30 s" },
    "a number from 3000 to 600000" },
  { "log-retention-seconds",
    "3600",
    { "20", "31536000" },
    { "19", "31536001", " 20", "18446744073709551636" },
    "a number from 20 to 31536000" },
  { "log-poll-ms", "500", { "50", "2000" }, { "49", "2001", "+50" }, "from 50 to 2000" },
  { "max-connections", "2000", { "1", "100000" }, { "0", "100001" }, "from 1 to 100000" },
};

void
CheckAccepted(const SettingsResult& aResult, const char* aName, const std::string& aValue)
{
  cr_assert(aResult.has_value(), "%s=%s refused", aName, aValue.c_str());
  cr_expect_eq(
    ValueOf(std::get<ProcessSettings>(*aResult), aName), aValue, "%s=%s", aName, aValue.c_str());
}

/** Exit status 2 and one line that names the setting, the value and what is allowed. */
void
CheckRefused(const SettingsResult& aResult,
             const std::string& aName,
             const std::string& aValue,
             const std::string& aAllowed)
{
  std::ostringstream output;
  std::ostringstream errors;
  cr_expect(
    ReportSettings(aResult, output, errors) == 2, "%s=%s taken", aName.c_str(), aValue.c_str());
  const std::string line = errors.str();
  cr_expect(output.str().empty());
  cr_expect_eq(std::count(line.begin(), line.end(), '\n'), 1, "%s", line.c_str());
  cr_expect(line.find("--" + aName + ":") != std::string::npos, "%s", line.c_str());
  cr_expect(line.find(aAllowed) != std::string::npos, "%s", line.c_str());
  const bool isSecret = aName == "cluster-key";
  const std::string shown = isSecret ? "(hidden)" : aValue.substr(0, aValue.find('\n'));
  cr_expect(line.find('"' + shown) != std::string::npos, "%s", line.c_str());
  cr_expect(!isSecret || aValue.empty() || line.find(aValue) == std::string::npos);
}

} // namespace

Test(settings, good_values_from_flag_and_variable)
{
  for (const SettingCase& row : kCases) {
    for (const std::string& value : row.good_) {
      CheckAccepted(Parse(With(kValid, row.name_, value), {}), row.name_, value);
      Settings others = kValid;
      others.erase(row.name_);
      CheckAccepted(Parse(others, { { row.name_, value } }), row.name_, value);
    }
  }
}

Test(settings, bad_values_from_flag_and_variable)
{
  for (const SettingCase& row : kCases) {
    for (const std::string& value : row.bad_) {
      CheckRefused(Parse(With(kValid, row.name_, value), {}), row.name_, value, row.allowed_);
      Settings others = kValid;
      others.erase(row.name_);
      CheckRefused(Parse(others, { { row.name_, value } }), row.name_, value, row.allowed_);
    }
  }
}

Test(settings, left_out)
{
  for (const SettingCase& row : kCases) {
    Settings others = kValid;
    others.erase(row.name_);
    if (row.default_ == nullptr) {
      CheckRefused(Parse(others, {}), row.name_, "", row.allowed_);
    } else {
      CheckAccepted(Parse(others, {}), row.name_, row.default_);
    }
  }
}

/** A leftover environment variable must not override the command line. */
Test(settings, a_flag_outranks_its_variable)
{
  for (const SettingCase& row : kCases) {
    const Settings flags = With(kValid, row.name_, row.good_.front());
    CheckAccepted(Parse(flags, { { row.name_, row.good_.back() } }), row.name_, row.good_.front());
    CheckAccepted(Parse(flags, { { row.name_, row.bad_.back() } }), row.name_, row.good_.front());
  }
}

Test(settings, bad_command_lines)
{
  const struct
  {
    std::vector<std::string> arguments_;
    const char* named_;
  } cases[] = {
    { { "--listen" }, "--listen: value \"\": expected IP:port" },
    { { "--domain", "a", "--seeds" }, "--seeds: value \"\": expected IP:port,IP:port" },
    { { "--listne", "127.0.0.1:1" }, "listne" },
    { { "127.0.0.1:7000" }, "127.0.0.1:7000: not a setting; see --help" },
    { { "a\nb" }, "a?b: not a setting; see --help" },
  };
  for (const auto& row : cases) {
    std::ostringstream output;
    std::ostringstream errors;
    const auto result =
      ParseSettings(row.arguments_, [](const std::string&) { return std::nullopt; });
    cr_expect(ReportSettings(result, output, errors) == 2, "%s", row.named_);
    const std::string line = errors.str();
    cr_expect_eq(std::count(line.begin(), line.end(), '\n'), 1, "%s", line.c_str());
    cr_expect(line.find(row.named_) != std::string::npos, "%s", line.c_str());
  }
}

Test(settings, help_version_and_check)
{
  std::ostringstream output;
  std::ostringstream errors;
  const auto nothing = [](const std::string&) { return std::nullopt; };
  cr_expect(ReportSettings(ParseSettings({ "--version" }, nothing), output, errors) == 0);
  cr_expect_eq(output.str(), "fulmarwayd " FULMARWAY_VERSION "\n");
  cr_expect(ReportSettings(ParseSettings({ "--help" }, nothing), output, errors) == 0);
  for (const SettingCase& row : kCases) {
    const std::string line = std::string("  --") + row.name_ + " ";
    cr_expect(output.str().find(line) != std::string::npos, "%s", row.name_);
    cr_expect(output.str().find(VariableOf(row.name_)) != std::string::npos, "%s", row.name_);
  }
  cr_expect(ReportSettings(Parse(kValid, {}), output, errors) == std::nullopt);
  auto checked = std::get<ProcessSettings>(*Parse(kValid, {}));
  checked.checkOnly_ = true;
  cr_expect(ReportSettings(checked, output, errors) == 0);
  cr_expect(errors.str().empty());
}

/** Guards against a setting that ends the process with an exception in place of an error. */
Test(settings, arbitrary_values_are_accepted_or_refused)
{
  const auto expectResult = [](const SettingsResult& aResult, const char* aName) {
    cr_expect(aResult || !aResult.error().message_.empty(), "%s", aName);
  };
  const char* odd[] = { "",
                        "-1",
                        "1e400",
                        "18446744073709551616",
                        "9223372036854775807",
                        "0x10",
                        "\xff\xfe",
                        "[[[[",
                        "127.0.0.1:99999",
                        "::",
                        ",,,",
                        "{\"a\":",
                        "nan",
                        "1;2" };
  for (const SettingCase& row : kCases) {
    for (const char* value : odd) {
      expectResult(Parse(With(kValid, row.name_, value), {}), row.name_);
      expectResult(Parse(kValid, { { row.name_, value } }), row.name_);
    }
  }
  rc::check("arbitrary arguments are accepted or refused",
            [&](const std::vector<std::string>& aArguments) {
              const auto nothing = [](const std::string&) { return std::nullopt; };
              expectResult(ParseSettings(aArguments, nothing), "arguments");
            });
}
