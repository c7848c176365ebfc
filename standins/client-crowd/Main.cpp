/** \file
 * Clients outside the limits: open many connections, send what no client of the platform sends, and
 * keep the connections open without reading until the program is ended.
 */
#include "support/Arguments.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <unistd.h>

namespace fulmarway::standins {

namespace {

constexpr std::size_t kMebibyte = std::size_t{ 1 } << 20;
/** A server that reads no more within this time is left with what it has. */
constexpr Poco::Timespan::TimeDiff kSendTimeoutUs = 300'000;
/** All bodies stay below the limit of 4 MiB, unless the case is to exceed it. */
constexpr std::size_t kStalledBodyBytes = 4 * kMebibyte - (64U << 10);
constexpr std::size_t kSmallChunksBodyBytes = 2 * kMebibyte;
constexpr std::size_t kExcessiveBodyBytes = 16 * kMebibyte;
constexpr int kRequestsAhead = 100'000;
/** Below the size from which the node counts a request as long. */
constexpr std::size_t kShortBodyBytes = 63U << 10;

std::string
MakeHead(const std::string& aField)
{
  return "POST /v1/call/dispatch/list HTTP/1.1\r\nHost: crowd.example\r\n" + aField + "\r\n\r\n";
}

/** Chunks of aChunkBytes that add up to aBodyBytes at least, without the last chunk. */
std::string
MakeChunks(std::size_t aBodyBytes, std::size_t aChunkBytes)
{
  char size[32];
  const int digits = std::snprintf(size, sizeof size, "%zx\r\n", aChunkBytes);
  const std::string chunk =
    std::string(size, static_cast<std::size_t>(digits)) + std::string(aChunkBytes, 'x') + "\r\n";
  std::string chunks;
  for (std::size_t sent = 0; sent < aBodyBytes; sent += aChunkBytes) {
    chunks += chunk;
  }
  return chunks;
}

std::string
MakeRequestsAhead(const std::string& aRequest)
{
  std::string requests;
  for (int i = 0; i < kRequestsAhead; ++i) {
    requests += aRequest;
  }
  return requests;
}

const std::string kChunked = "Transfer-Encoding: chunked";

/** What one connection sends, by the name of the case. */
const std::map<std::string, std::function<std::string()>> kCases = {
  { "large-chunks", [] { return MakeHead(kChunked) + MakeChunks(kStalledBodyBytes, 64U << 10); } },
  { "small-chunks", [] { return MakeHead(kChunked) + MakeChunks(kSmallChunksBodyBytes, 4); } },
  { "stalled-length",
    [] {
      return MakeHead("Content-Length: " + std::to_string(kStalledBodyBytes + 1)) +
             std::string(kStalledBodyBytes, 'x');
    } },
  { "stalled-short",
    [] {
      return MakeHead("Content-Length: " + std::to_string(kShortBodyBytes + 1)) +
             std::string(kShortBodyBytes, 'x');
    } },
  { "announced-excess",
    [] {
      return MakeHead("Content-Length: " + std::to_string(1024 * kMebibyte)) +
             std::string(kExcessiveBodyBytes, 'x');
    } },
  { "sent-excess", [] { return MakeHead(kChunked) + MakeChunks(kExcessiveBodyBytes, 64U << 10); } },
  { "requests-ahead", [] { return MakeRequestsAhead("GET / HTTP/1.1\r\n\r\n"); } },
  { "valid-requests-ahead",
    [] { return MakeRequestsAhead("GET /v1/call/dispatch/list HTTP/1.1\r\n\r\n"); } },
};

/** Sends until all is sent, or the server reads no more or closes. */
void
SendUntilStuck(Poco::Net::StreamSocket& aSocket, const std::string& aBytes)
{
  try {
    for (std::size_t sent = 0; sent < aBytes.size();) {
      const auto length = std::min<std::size_t>(aBytes.size() - sent, kMebibyte);
      sent +=
        static_cast<std::size_t>(aSocket.sendBytes(aBytes.data() + sent, static_cast<int>(length)));
    }
  } catch (const Poco::Exception&) {
    // The server closed the connection or reads no more, as it may.
  }
}

void
Run(const cxxopts::ParseResult& aParsed)
{
  const Poco::Net::SocketAddress address(aParsed["server"].as<std::string>());
  const std::string bytes = kCases.at(aParsed["case"].as<std::string>())();
  std::vector<Poco::Net::StreamSocket> sockets;
  std::size_t refused = 0;
  for (std::size_t i = 0; i < aParsed["connections"].as<std::size_t>(); ++i) {
    try {
      sockets.emplace_back(address);
      sockets.back().setSendTimeout(Poco::Timespan(kSendTimeoutUs));
      SendUntilStuck(sockets.back(), bytes);
    } catch (const Poco::Exception&) {
      ++refused;
    }
  }
  std::cout << "sent connections=" << sockets.size() << " refused=" << refused << std::endl;
  pause();
}

} // namespace

} // namespace fulmarway::standins

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("client-crowd", "clients outside the limits of the operator");
  options.add_options()("server", "address, IP:port", cxxopts::value<std::string>())(
    "case", "what each connection sends", cxxopts::value<std::string>())(
    "connections", "number of connections", cxxopts::value<std::size_t>());
  return fulmarway::standins::RunProgram(
    std::move(options), aCount, aArguments, fulmarway::standins::Run);
}
