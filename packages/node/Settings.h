/** \file
 * Settings of the node process, from flags and environment variables, checked at start.
 */
#pragma once

#include "model/Error.h"
#include "policy/NodeState.h"

#include <Poco/Net/SocketAddress.h>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace fulmarway {

/** Values of the setting `interface`. */
inline constexpr std::string_view kOwnInterface = "own";
inline constexpr std::string_view kPlatformInterface = "platform";

struct ProcessSettings
{
  /** Without the identity's generation and incarnation, which are drawn at start. */
  NodeSettings node_;
  Poco::Net::SocketAddress listen_;
  Poco::Net::SocketAddress peerListen_;
  Poco::Net::SocketAddress adminListen_;
  Poco::Net::SocketAddress backend_;
  std::optional<Poco::Net::SocketAddress> logService_;
  /** Where the own backend server sends its reports; only with an interface that has reports. */
  std::optional<Poco::Net::SocketAddress> reportListen_;
  /** Only with an interface that has a store. */
  std::optional<Poco::Net::SocketAddress> store_;
  /** Which set of outside functions the node uses, see NodeInterface.h. */
  std::string interface_;
  /** Times that the deployment allows, in the form of the interface; may be empty. */
  std::string bounds_;
  std::size_t maxConnections_ = 2000;
  std::string logLevel_ = "info";
  /** --check-settings: end after the check. */
  bool checkOnly_ = false;
};

/** --help or --version was given: print the text and end with status 0. */
struct PrintAndExit
{
  std::string text_;
};

using SettingsResult = tl::expected<std::variant<ProcessSettings, PrintAndExit>, UserError>;

/** Value of an environment variable; nullopt when it is not set. */
using Environment = std::function<std::optional<std::string>(const std::string&)>;

/** A flag outranks its environment variable. The error names the setting, its value and what is
 * allowed. */
SettingsResult
ParseSettings(const std::vector<std::string>& aArguments, const Environment& aEnvironment);

/** Exit status for an invalid or missing setting. */
inline constexpr int kExitBadSettings = 2;

/** Prints an error as one line, or the text that was asked for. Returns the exit status of the
 * process, or nullopt when the node is to run. */
std::optional<int>
ReportSettings(const SettingsResult& aResult, std::ostream& aOutput, std::ostream& aErrors);

} // namespace fulmarway
