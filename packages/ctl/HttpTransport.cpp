#include "ctl/HttpTransport.h"

#include "model/Address.h"
#include "wire/ControlJson.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <chrono>
#include <istream>
#include <ostream>

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

/** Reads the body in chunks and checks the deadline before each, so that a node that sends slowly
 * cannot extend it. */
std::string
ReadBody(std::istream& aStream, Poco::Net::StreamSocket& aSocket, Clock::time_point aDeadline)
{
  std::string body;
  char chunk[4096];
  while (aStream.good()) {
    if (Clock::now() >= aDeadline) {
      throw Poco::TimeoutException("the reply did not arrive completely within the timeout");
    }
    aSocket.setReceiveTimeout(RemainingTime(aDeadline));
    aStream.read(chunk, sizeof chunk);
    body.append(chunk, static_cast<std::size_t>(aStream.gcount()));
    if (body.size() > kMaxControlJsonBytes) {
      throw Poco::DataFormatException("the reply is larger than any control document");
    }
  }
  return body;
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
    socket.setSendTimeout(RemainingTime(deadline));
    socket.setReceiveTimeout(RemainingTime(deadline));
    Poco::Net::HTTPClientSession session(socket);
    session.setTimeout(RemainingTime(deadline));
    Poco::Net::HTTPRequest request(
      aRequest.method_, aRequest.path_, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(aNode);
    request.setKeepAlive(false);
    if (!aRequest.body_.empty()) {
      request.setContentType("application/json");
      request.setContentLength64(static_cast<Poco::Int64>(aRequest.body_.size()));
    }
    session.sendRequest(request) << aRequest.body_;
    Poco::Net::HTTPResponse response;
    std::istream& stream = session.receiveResponse(response);
    std::string body = ReadBody(stream, session.socket(), deadline);
    const auto length = response.hasContentLength() ? response.getContentLength64() : -1;
    if (length >= 0 && static_cast<std::size_t>(length) != body.size()) {
      return tl::unexpected(
        TransportError{ TransportErrorCode::kNoReply,
                        "the node closed the connection before the end of the reply" });
    }
    return HttpReply{ static_cast<int>(response.getStatus()), std::move(body) };
  } catch (const Poco::Exception& error) {
    return tl::unexpected(TransportError{ TransportErrorCode::kNoReply, FormatError(error) });
  }
}

} // namespace fulmarway
