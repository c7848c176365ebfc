/** \file
 * Entry point of the node process: settings, signal handlers, clocks and logging.
 */
#include "LogOutput.h"
#include "node/Node.h"
#include "node/Signals.h"
#include "platform/Bounds.h"
#include "platform/Interface.h"

#include <Poco/Exception.h>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <memory>
#include <random>
#include <spdlog/spdlog.h>

namespace {

using namespace fulmarway;

constexpr int kExitFailed = 1;

ReceivedSignals gSignals;

std::optional<std::string>
ReadEnvironment(const std::string& aName)
{
  const char* value = std::getenv(aName.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

/** Includes time during which the VM was suspended, so that deadlines expire meanwhile. */
Instant
ReadMonotonicClock()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::seconds(time.tv_sec) +
                 std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

std::uint64_t
ReadWallClockMs()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

std::uint64_t
DrawRandomValue()
{
  // Reading std::random_device for every value is too slow: it uses the processor's hardware
  // generator, and two reads for each event took 60% of a node's CPU time. The values need not be
  // secret: tickets are protected by their MAC.
  static std::mt19937_64 generator = [] {
    std::random_device device;
    std::seed_seq seed{ device(), device(), device(), device(),
                        device(), device(), device(), device() };
    return std::mt19937_64(seed);
  }();
  return generator();
}

std::shared_ptr<LogOutput>
SetUpLogging(const std::string& aLevel)
{
  auto output = std::make_shared<LogOutput>();
  auto logger = std::make_shared<spdlog::logger>("fulmarwayd", output);
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
  logger->set_level(spdlog::level::from_str(aLevel));
  // The event loop flushes on each tick; an error is flushed at once, as the process may exit next.
  logger->flush_on(spdlog::level::err);
  spdlog::set_default_logger(logger);
  return output;
}

int
RunNode(const ProcessSettings& aSettings)
{
  const auto output = SetUpLogging(aSettings.logLevel_);
  InstallSignalHandlers(gSignals);
  try {
    const bool usesPlatformInterface = aSettings.interface_ == kPlatformInterface;
    Node node(aSettings,
              usesPlatformInterface ? platform::MakeInterface() : MakeOwnInterface(),
              { ReadMonotonicClock, ReadWallClockMs, DrawRandomValue },
              [output] { return output->DroppedLines(); });
    spdlog::info("event=started service={} domain={} peer_address={} retry_share_per_mille={} "
                 "stop_timeout_ms={}",
                 aSettings.node_.identity_.service_,
                 aSettings.node_.identity_.domain_,
                 aSettings.node_.identity_.peerAddress_,
                 aSettings.node_.backendRetries_.sharePerMille_,
                 aSettings.node_.stopTimeout_ / std::chrono::milliseconds(1));
    node.Run(gSignals);
    spdlog::info("event=stopped");
    spdlog::default_logger()->flush();
    return 0;
  } catch (const Poco::Exception& error) {
    spdlog::error("event=failed error=\"{}\"", error.displayText());
  } catch (const std::exception& error) {
    spdlog::error("event=failed error=\"{}\"", error.what());
  }
  return kExitFailed;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto result = ParseSettings({ aArguments + 1, aArguments + aCount }, ReadEnvironment);
  if (const auto status = ReportSettings(result, std::cout, std::cerr)) {
    return *status;
  }
  ProcessSettings settings = std::get<ProcessSettings>(*result);
  const auto bounds = platform::DecodeBounds(settings.bounds_);
  if (!bounds) {
    std::cerr << "fulmarwayd: --bounds: " << bounds.error().subject_ << ": "
              << bounds.error().message_ << '\n';
    return kExitBadSettings;
  }
  settings.node_ = WithBounds(std::move(settings.node_), *bounds);
  return RunNode(settings);
}
