/** \file
 * Stand-in for the log service of the platform, with fault injection, for tests, the demo and
 * benchmarks. It is never shipped.
 */
#include "LogStore.h"

#include "model/Address.h"
#include "support/Arguments.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <charconv>
#include <csignal>
#include <iterator>
#include <mutex>
#include <stdexcept>
#include <thread>

using namespace fulmarway;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

namespace {

constexpr std::size_t kMaxRecordBytes = 4U << 20;
constexpr std::uint64_t kMaxPageRecords = 1000;
/** POCO uses one thread for each open connection; each node keeps up to two connections. */
constexpr int kMaxConnections = 512;

struct Faults
{
  bool down_ = false;
  std::chrono::milliseconds delay_{ 0 };
  /** Number of further appends that are stored but get no response. */
  std::uint64_t appendsWithoutResponse_ = 0;
};

/** Shared by the threads of all connections; `mutex_` guards the other members. */
struct Service
{
  explicit Service(const LogStoreSettings& aSettings)
    : store_(aSettings)
  {
  }

  std::mutex mutex_;
  LogStore store_;
  Faults faults_;
};

struct BadRequest
{
  std::string message_;
};

/** Parses a query parameter as an unsigned integer; nullopt when it is absent. Throws BadRequest
 * when it is malformed. */
std::optional<std::uint64_t>
ParseUnsignedParameter(const Poco::URI& aUri, const std::string& aName)
{
  for (const auto& [name, value] : aUri.getQueryParameters()) {
    if (name != aName) {
      continue;
    }
    std::uint64_t number = 0;
    const char* end = value.data() + value.size();
    const auto [parsedTo, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc{} || parsedTo != end) {
      throw BadRequest{ name + ": must be a whole number" };
    }
    return number;
  }
  return std::nullopt;
}

void
SendResponse(HTTPServerResponse& aResponse,
             HTTPResponse::HTTPStatus aStatus,
             const char* aType,
             const std::string& aBody)
{
  aResponse.setStatusAndReason(aStatus);
  aResponse.setContentType(aType);
  aResponse.setContentLength64(static_cast<Poco::Int64>(aBody.size()));
  aResponse.send() << aBody;
}

void
SetOffsets(HTTPServerResponse& aResponse, const LogOffsets& aOffsets)
{
  aResponse.set("Fulmarway-Earliest", std::to_string(aOffsets.earliest_));
  aResponse.set("Fulmarway-Latest", std::to_string(aOffsets.latest_));
}

void
CloseWithoutResponse(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse)
{
  aResponse.setKeepAlive(false);
  static_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest).socket().shutdown();
}

class Handler : public Poco::Net::HTTPRequestHandler
{
public:
  explicit Handler(Service& aService)
    : service_(aService)
  {
  }

  // Overrides a POCO function, hence the name.
  void handleRequest(HTTPServerRequest& aRequest, // NOLINT(readability-identifier-naming)
                     HTTPServerResponse& aResponse) override
  {
    try {
      const Poco::URI uri(aRequest.getURI());
      const std::string route = aRequest.getMethod() + ' ' + uri.getPath();
      if (route == "POST /faults") {
        SetFaults(uri, aResponse);
        return;
      }
      Faults faults;
      {
        const std::lock_guard lock(service_.mutex_);
        faults = service_.faults_;
      }
      std::this_thread::sleep_for(faults.delay_);
      if (faults.down_) {
        CloseWithoutResponse(aRequest, aResponse);
      } else if (route == "POST /append") {
        Append(aRequest, aResponse);
      } else if (route == "GET /records") {
        Records(uri, aResponse);
      } else if (route == "GET /offsets") {
        const std::lock_guard lock(service_.mutex_);
        SetOffsets(aResponse, service_.store_.Offsets(LogStore::Clock::now()));
        SendResponse(aResponse, HTTPResponse::HTTP_OK, "text/plain", "");
      } else {
        SendResponse(aResponse, HTTPResponse::HTTP_NOT_FOUND, "text/plain", "unknown path\n");
      }
    } catch (const BadRequest& error) {
      SendResponse(aResponse, HTTPResponse::HTTP_BAD_REQUEST, "text/plain", error.message_ + '\n');
    } catch (const Poco::SyntaxException&) {
      SendResponse(aResponse, HTTPResponse::HTTP_BAD_REQUEST, "text/plain", "invalid URI\n");
    }
  }

private:
  void SetFaults(const Poco::URI& aUri, HTTPServerResponse& aResponse)
  {
    const auto down = ParseUnsignedParameter(aUri, "down");
    const auto delay = ParseUnsignedParameter(aUri, "delay-ms");
    const auto loseAnswers = ParseUnsignedParameter(aUri, "lose-answers");
    {
      const std::lock_guard lock(service_.mutex_);
      Faults& faults = service_.faults_;
      faults.down_ = down ? *down != 0 : faults.down_;
      faults.delay_ = delay ? std::chrono::milliseconds(*delay) : faults.delay_;
      faults.appendsWithoutResponse_ = loseAnswers.value_or(faults.appendsWithoutResponse_);
    }
    SendResponse(aResponse, HTTPResponse::HTTP_OK, "text/plain", "");
  }

  void Append(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse)
  {
    std::string bytes(std::istreambuf_iterator<char>(aRequest.stream()), {});
    if (bytes.size() > kMaxRecordBytes) {
      SendResponse(
        aResponse, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "text/plain", "record too long\n");
      return;
    }
    std::optional<std::uint64_t> offset;
    bool dropResponse = false;
    {
      const std::lock_guard lock(service_.mutex_);
      offset = service_.store_.Append(std::move(bytes), LogStore::Clock::now());
      dropResponse = offset && service_.faults_.appendsWithoutResponse_ > 0;
      service_.faults_.appendsWithoutResponse_ -= dropResponse ? 1 : 0;
    }
    if (dropResponse) {
      CloseWithoutResponse(aRequest, aResponse);
    } else if (offset) {
      SendResponse(aResponse,
                   HTTPResponse::HTTP_OK,
                   "application/json",
                   "{\"offset\":" + std::to_string(*offset) + '}');
    } else {
      SendResponse(
        aResponse, HTTPResponse::HTTP_TOO_MANY_REQUESTS, "text/plain", "too many appends\n");
    }
  }

  void Records(const Poco::URI& aUri, HTTPServerResponse& aResponse)
  {
    const std::uint64_t from = ParseUnsignedParameter(aUri, "from").value_or(0);
    const std::uint64_t limit =
      std::min(ParseUnsignedParameter(aUri, "limit").value_or(kMaxPageRecords), kMaxPageRecords);
    LogPage page;
    {
      const std::lock_guard lock(service_.mutex_);
      page = service_.store_.Read(from, limit, LogStore::Clock::now());
    }
    std::string body;
    for (const StoredRecord& record : page.records_) {
      body += std::to_string(record.offset_) + ' ' + std::to_string(record.bytes_.size()) + '\n' +
              record.bytes_ + '\n';
    }
    SetOffsets(aResponse, page.offsets_);
    SendResponse(aResponse, HTTPResponse::HTTP_OK, "application/octet-stream", body);
  }

  Service& service_;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit HandlerFactory(Service& aService)
    : service_(aService)
  {
  }

  // Overrides a POCO function, hence the name.
  Poco::Net::HTTPRequestHandler* createRequestHandler( // NOLINT(readability-identifier-naming)
    const HTTPServerRequest&) override
  {
    return new Handler(service_);
  }

private:
  Service& service_;
};

/** Blocks until one of aSignals arrives. They must be blocked before any thread starts, so that no
 * other thread receives them. */
void
WaitForStopSignal(const sigset_t& aSignals)
{
  int received = 0;
  sigwait(&aSignals, &received);
}

void
Serve(const std::string& aListen, const LogStoreSettings& aSettings)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  Service service(aSettings);
  Poco::ThreadPool threads(2, kMaxConnections);
  Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(aListen), kMaxConnections);
  Poco::AutoPtr<Poco::Net::HTTPServerParams> parameters = new Poco::Net::HTTPServerParams;
  parameters->setMaxThreads(kMaxConnections);
  parameters->setMaxQueued(kMaxConnections);
  parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
  Poco::Net::HTTPServer server(new HandlerFactory(service), threads, socket, parameters);
  server.start();
  std::cout << "listening on " << socket.address().toString() << std::endl;
  WaitForStopSignal(signals);
  server.stopAll(true);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("log-service", "Simulated log service; keeps records in memory.");
  options.add_options()(
    "listen", "Address IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:7900"));
  options.add_options()("retention-seconds",
                        "Retention time of a record",
                        cxxopts::value<std::uint32_t>()->default_value("3600"));
  options.add_options()("appends-per-second",
                        "Further appends within a second get status 429",
                        cxxopts::value<std::uint32_t>()->default_value("400"));
  return standins::RunProgram(options, aCount, aArguments, [](const cxxopts::ParseResult& aFlags) {
    const auto listen = aFlags["listen"].as<std::string>();
    if (!IsNumericAddress(listen)) {
      throw std::invalid_argument("--listen " + listen +
                                  ": must be IP:PORT, for example 127.0.0.1:7900");
    }
    Serve(listen,
          { std::chrono::seconds(aFlags["retention-seconds"].as<std::uint32_t>()),
            aFlags["appends-per-second"].as<std::uint32_t>() });
  });
}
