/** \file
 * Command line of fulmarctl, the operator client: reads flags and environment variables, and runs
 * the statements from the arguments, a file, standard input or an interactive prompt.
 */
#include "ctl/HttpTransport.h"
#include "ctl/Parser.h"
#include "ctl/RequestTrace.h"
#include "ctl/Session.h"
#include "model/Address.h"

#include <Poco/Exception.h>
#include <chrono>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace fulmarway;

namespace {

struct Settings
{
  ClientSettings client_;
  OutputFormat format_ = OutputFormat::kTable;
  std::string scriptPath_;
  std::vector<std::string> arguments_;
};

/** A missing or invalid setting. The process exits with status 2, kUsage. */
struct SettingError
{
  std::string message_;
};

int
ToExitCode(ExitStatus aStatus)
{
  return static_cast<int>(aStatus);
}

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("fulmarctl", "Operates a Fulmarway deployment.");
  options.positional_help("[STATEMENT...]");
  options.add_options()("node",
                        "Admin addresses IP:PORT, separated by commas; tried in order "
                        "[FULMARWAY_NODE]",
                        cxxopts::value<std::string>());
  options.add_options()("operator",
                        "Operator name in the audit trail, $USER by default [FULMARWAY_OPERATOR]",
                        cxxopts::value<std::string>());
  options.add_options()(
    "output", "table or json [FULMARWAY_OUTPUT]", cxxopts::value<std::string>());
  options.add_options()("timeout",
                        "Timeout of a request to one node, such as 500ms or 2s "
                        "[FULMARWAY_TIMEOUT]",
                        cxxopts::value<std::string>());
  options.add_options()("file", "Run the statements in a file", cxxopts::value<std::string>());
  options.add_options()(
    "trace",
    "Print the log lines of the request with this id; the arguments are log files",
    cxxopts::value<std::string>());
  options.add_options()("help", "Show this help");
  options.add_options()("version", "Show the version");
  return options;
}

/** Returns the value of the flag, or of the environment variable if the flag is not given, or
 * aDefault if neither is set. */
std::string
ReadSetting(const cxxopts::ParseResult& aFlags,
            const char* aFlag,
            const char* aVariable,
            const std::string& aDefault)
{
  if (aFlags.count(aFlag) > 0) {
    return aFlags[aFlag].as<std::string>();
  }
  const char* value = std::getenv(aVariable);
  return value != nullptr ? value : aDefault;
}

std::vector<std::string>
ParseNodeAddresses(const std::string& aText)
{
  std::vector<std::string> nodes;
  std::istringstream stream(aText);
  for (std::string node; std::getline(stream, node, ',');) {
    if (!IsNumericAddress(node)) {
      throw SettingError{ "--node " + node + ": must be IP:PORT, for example 10.0.0.1:7002" };
    }
    nodes.push_back(std::move(node));
  }
  return nodes;
}

Settings
ReadSettings(const cxxopts::ParseResult& aFlags)
{
  Settings settings;
  settings.client_.nodes_ = ParseNodeAddresses(ReadSetting(aFlags, "node", "FULMARWAY_NODE", ""));
  const char* user = std::getenv("USER");
  settings.client_.operator_ =
    ReadSetting(aFlags, "operator", "FULMARWAY_OPERATOR", user != nullptr ? user : "unknown");
  if (settings.client_.operator_.empty() || settings.client_.operator_.size() > kMaxNameBytes) {
    throw SettingError{ "--operator " + settings.client_.operator_ + ": must have 1 to " +
                        std::to_string(kMaxNameBytes) + " bytes" };
  }
  const std::string output = ReadSetting(aFlags, "output", "FULMARWAY_OUTPUT", "table");
  if (output != "table" && output != "json") {
    throw SettingError{ "--output " + output + ": must be table or json" };
  }
  settings.format_ = output == "json" ? OutputFormat::kJson : OutputFormat::kTable;
  const std::string timeout = ReadSetting(aFlags, "timeout", "FULMARWAY_TIMEOUT", "2s");
  const auto duration = ParseDuration(timeout);
  if (!duration || *duration == Duration::zero()) {
    throw SettingError{ "--timeout " + timeout + ": must be a duration such as 500ms or 2s" };
  }
  settings.client_.timeout_ = *duration;
  if (aFlags.count("file") > 0) {
    settings.scriptPath_ = aFlags["file"].as<std::string>();
  }
  // Statements are not a positional option, because cxxopts splits string lists at commas.
  settings.arguments_ = aFlags.unmatched();
  if (!settings.scriptPath_.empty() && !settings.arguments_.empty()) {
    throw SettingError{ "--file " + settings.scriptPath_ +
                        ": cannot be used together with statements as arguments" };
  }
  return settings;
}

ClientEnvironment
MakeEnvironment()
{
  ClientEnvironment environment;
  environment.transport_ = SendHttp;
  environment.now_ = [] {
    return Instant(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
  };
  environment.sleep_ = [](Duration aDuration) { std::this_thread::sleep_for(aDuration); };
  environment.random_ = [] {
    std::random_device device;
    return (std::uint64_t{ device() } << 32U) | device();
  };
  return environment;
}

std::string
ReadStream(std::istream& aStream)
{
  return { std::istreambuf_iterator<char>(aStream), std::istreambuf_iterator<char>() };
}

/** Parses and runs a script. Prints a syntax error with its position in aSource. */
ExitStatus
RunScriptText(Session& aSession,
              const Settings& aSettings,
              std::string_view aText,
              const char* aSource)
{
  const auto script = ParseScript(aText);
  if (!script) {
    std::cerr << RenderSyntaxError(script.error(), aSource);
    return ExitStatus::kUsage;
  }
  const auto isHelp = [](const Statement& aStatement) {
    return std::holds_alternative<HelpStatement>(aStatement);
  };
  if (aSettings.client_.nodes_.empty() && !std::all_of(script->begin(), script->end(), isHelp)) {
    std::cerr << "--node: not set; pass the admin address IP:PORT of at least one node, or set "
                 "FULMARWAY_NODE\n";
    return ExitStatus::kUsage;
  }
  const ExitStatus status = aSession.Run(*script);
  std::cout.flush();
  return status;
}

/** Runs each line of standard input as a script, and returns the status of the last one. */
ExitStatus
RunPrompt(Session& aSession, const Settings& aSettings)
{
  ExitStatus status = ExitStatus::kDone;
  std::string line;
  while (std::cout << "fulmarctl> " << std::flush && std::getline(std::cin, line)) {
    if (line == "quit" || line == "exit") {
      return status;
    }
    status = RunScriptText(aSession, aSettings, line, "input");
  }
  std::cout << '\n';
  return status;
}

std::string
ReadFile(const std::string& aFlag, const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    throw SettingError{ aFlag + " " + aPath +
                        ": cannot open the file; check its path and permissions" };
  }
  return ReadStream(file);
}

/** Prints the log lines of a request from local log files, without contacting a node. */
ExitStatus
PrintTrace(const std::string& aId, const std::vector<std::string>& aPaths)
{
  if (aId.empty() || aPaths.empty()) {
    throw SettingError{ "--trace " + aId +
                        ": needs a request id, followed by at least one log file" };
  }
  std::vector<NodeLog> logs;
  for (const std::string& path : aPaths) {
    logs.push_back({ path, ReadFile("--trace", path) });
  }
  const auto trace = TraceRequest(aId, logs);
  if (trace.empty()) {
    std::cerr << "no log line mentions request " << aId
              << "; pass the logs of all nodes that handled it (nodes omit lines above the rate "
                 "limit of an event)\n";
    return ExitStatus::kRefused;
  }
  std::cout << RenderTrace(trace);
  return ExitStatus::kDone;
}

ExitStatus
RunStatements(const Settings& aSettings)
{
  Client client(aSettings.client_, MakeEnvironment());
  Session session(client, aSettings.format_, std::cout, std::cerr);
  if (!aSettings.scriptPath_.empty()) {
    return RunScriptText(
      session, aSettings, ReadFile("--file", aSettings.scriptPath_), aSettings.scriptPath_.c_str());
  }
  if (!aSettings.arguments_.empty()) {
    std::string text;
    for (const std::string& argument : aSettings.arguments_) {
      text += (text.empty() ? "" : " ") + argument;
    }
    return RunScriptText(session, aSettings, text, "arguments");
  }
  if (isatty(STDIN_FILENO) != 0) {
    return RunPrompt(session, aSettings);
  }
  return RunScriptText(session, aSettings, ReadStream(std::cin), "input");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult flags = options.parse(aCount, aArguments);
    if (flags.count("help") > 0) {
      std::cout << options.help() << '\n' << HelpText({});
      return ToExitCode(ExitStatus::kDone);
    }
    if (flags.count("version") > 0) {
      std::cout << "fulmarctl " FULMARWAY_VERSION "\n";
      return ToExitCode(ExitStatus::kDone);
    }
    if (flags.count("trace") > 0) {
      return ToExitCode(PrintTrace(flags["trace"].as<std::string>(), flags.unmatched()));
    }
    return ToExitCode(RunStatements(ReadSettings(flags)));
  } catch (const SettingError& error) {
    std::cerr << error.message_ << '\n';
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n';
  }
  return ToExitCode(ExitStatus::kUsage);
}
