/** \file
 * Settings of the node process, read from flags and environment variables and validated at start.
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
  /** Without the identity's generation and incarnation, which the Node sets. */
  NodeSettings node_;
  Poco::Net::SocketAddress listen_;
  Poco::Net::SocketAddress peerListen_;
  Poco::Net::SocketAddress adminListen_;
  Poco::Net::SocketAddress backend_;
  std::optional<Poco::Net::SocketAddress> logService_;
  /** Listen address for heartbeats of the local backend server; only used by an interface with
   * heartbeats. */
  std::optional<Poco::Net::SocketAddress> reportListen_;
  /** Only used by an interface with a store. */
  std::optional<Poco::Net::SocketAddress> store_;
  /** kOwnInterface or kPlatformInterface, see NodeInterface.h. */
  std::string interface_;
  /** Time limits of the deployment, in the syntax of the interface; may be empty. */
  std::string bounds_;
  std::size_t maxConnections_ = 2000;
  /** Limit of the bytes that the process holds for others, see HeldBytes.h. */
  std::size_t maxHeldBytes_ = std::size_t{ 64 } << 20;
  std::string logLevel_ = "info";
  /** --check-settings: exit after validating the settings. */
  bool checkOnly_ = false;
};

/** --help or --version was given: print the text and exit with status 0. */
struct PrintAndExit
{
  std::string text_;
};

using SettingsResult = tl::expected<std::variant<ProcessSettings, PrintAndExit>, UserError>;

/** Value of an environment variable; nullopt when it is not set. */
using Environment = std::function<std::optional<std::string>(const std::string&)>;

/** A flag takes precedence over its environment variable. An error names the setting, its value and
 * the allowed values. */
SettingsResult
ParseSettings(const std::vector<std::string>& aArguments, const Environment& aEnvironment);

/** Exit status for an invalid or missing setting. */
inline constexpr int kExitBadSettings = 2;

/** Prints an error as one line, or the requested text. Returns the exit status of the process, or
 * nullopt if the node should start. */
std::optional<int>
ReportSettings(const SettingsResult& aResult, std::ostream& aOutput, std::ostream& aErrors);

} // namespace fulmarway
