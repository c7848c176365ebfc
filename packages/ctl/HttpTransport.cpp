#include "ctl/HttpTransport.h"

#include "model/Address.h"
#include "wire/ControlJson.h"
#include "wire/HttpFraming.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

namespace fulmarway {

namespace {

using Clock = std::chrono::steady_clock;

Poco::Timespan
RemainingTime(Clock::time_point aDeadline)
{
  const auto remaining =
    std::chrono::duration_cast<std::chrono::microseconds>(aDeadline - Clock::now());
  // At least 1 ms, because POCO treats a timeout of 0 as no timeout.
  return std::max<Poco::Timespan::TimeDiff>(remaining.count(), 1000);
}

std::string
FormatError(const Poco::Exception& aError)
{
  return aError.message().empty() ? aError.name() : aError.message();
}

using ReplyResult = tl::expected<HttpReply, TransportError>;

ReplyResult
MakeReply(HttpResponseMessage aAnswer)
{
  return HttpReply{ static_cast<int>(aAnswer.head_.Status()), std::move(aAnswer.body_) };
}

ReplyResult
MakeNoReply(std::string aMessage)
{
  return tl::unexpected(TransportError{ TransportErrorCode::kNoReply, std::move(aMessage) });
}

std::string
Describe(const UserError& aError)
{
  return aError.subject_ + ": " + aError.message_;
}

void
SendAll(Poco::Net::StreamSocket& aSocket, std::string_view aBytes, Clock::time_point aDeadline)
{
  while (!aBytes.empty()) {
    aSocket.setSendTimeout(RemainingTime(aDeadline));
    const int sent = aSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
    aBytes.remove_prefix(static_cast<std::size_t>(std::max(sent, 0)));
  }
}

/** Reads the final answer. Checks the deadline before each part, so that a node that sends slowly
 * cannot extend it. */
ReplyResult
ReceiveReply(Poco::Net::StreamSocket& aSocket, Clock::time_point aDeadline)
{
  std::string buffer;
  ResponseProgress progress;
  std::array<char, 4096> chunk{};
  while (Clock::now() < aDeadline) {
    aSocket.setReceiveTimeout(RemainingTime(aDeadline));
    const int count = aSocket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
    if (count <= 0) {
      auto answer = ParseCloseDelimitedResponse(std::move(buffer), kMaxControlJsonBytes);
      return answer ? MakeReply(std::move(*answer)) : MakeNoReply(Describe(answer.error()));
    }
    buffer.append(chunk.data(), static_cast<std::size_t>(count));
    auto answer = ContinueHttpResponse(buffer, kMaxControlJsonBytes, progress);
    if (!answer) {
      return MakeNoReply(Describe(answer.error()));
    }
    if (*answer) {
      return MakeReply(std::move(**answer));
    }
  }
  return MakeNoReply("the reply did not arrive completely within the timeout");
}

} // namespace

tl::expected<HttpReply, TransportError>
SendHttp(const std::string& aNode, const HttpRequest& aRequest, Duration aTimeout)
{
  if (!IsNumericAddress(aNode)) {
    return tl::unexpected(
      TransportError{ TransportErrorCode::kNotConnected, "the address must be numeric, IP:PORT" });
  }
  const Clock::time_point deadline = Clock::now() + aTimeout;
  Poco::Net::StreamSocket socket;
  try {
    socket.connect(Poco::Net::SocketAddress(aNode), RemainingTime(deadline));
  } catch (const Poco::Exception& error) {
    return tl::unexpected(TransportError{ TransportErrorCode::kNotConnected, FormatError(error) });
  }
  try {
    Poco::Net::HTTPRequest request(
      aRequest.method_, aRequest.path_, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(aNode);
    request.setKeepAlive(false);
    if (!aRequest.body_.empty()) {
      request.setContentType("application/json");
    }
    SendAll(socket, FormatHttp(request, aRequest.body_), deadline);
    return ReceiveReply(socket, deadline);
  } catch (const Poco::Exception& error) {
    return MakeNoReply(FormatError(error));
  }
}

} // namespace fulmarway
