#include "support/HttpMessage.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>
#include <charconv>
#include <sstream>

namespace fulmarway::standins {

namespace {

constexpr std::size_t kMaxHeadBytes = 64U << 10;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

using Taken = tl::expected<std::optional<HttpMessage>, std::string>;

void
CopyHead(const Poco::Net::HTTPRequest& aHead, HttpMessage& aMessage)
{
  aMessage.method_ = aHead.getMethod();
  aMessage.target_ = aHead.getURI();
}

void
CopyHead(const Poco::Net::HTTPResponse& aHead, HttpMessage& aMessage)
{
  aMessage.status_ = aHead.getStatus();
}

template<typename Head>
Taken
Take(std::string& aBuffer)
{
  const std::size_t headEnd = aBuffer.find(kHeadEnd);
  if (headEnd == std::string::npos) {
    if (aBuffer.size() > kMaxHeadBytes) {
      return tl::unexpected(std::string("head too large"));
    }
    return std::nullopt;
  }
  try {
    Head head;
    std::istringstream input(aBuffer.substr(0, headEnd + kHeadEnd.size()));
    head.read(input);
    if (head.getChunkedTransferEncoding()) {
      return tl::unexpected(std::string("chunked body"));
    }
    const std::size_t bodyStart = headEnd + kHeadEnd.size();
    const std::size_t length =
      head.hasContentLength() ? static_cast<std::size_t>(head.getContentLength64()) : 0;
    if (aBuffer.size() - bodyStart < length) {
      return std::nullopt;
    }
    HttpMessage message;
    CopyHead(head, message);
    for (const auto& [name, value] : head) {
      message.headers_.emplace_back(name, value);
    }
    message.body_ = aBuffer.substr(bodyStart, length);
    aBuffer.erase(0, bodyStart + length);
    return message;
  } catch (const Poco::Exception& error) {
    return tl::unexpected(error.displayText());
  }
}

void
AppendHeadersAndBody(const HttpMessage& aMessage, std::string& aText)
{
  for (const auto& [name, value] : aMessage.headers_) {
    aText += name + ": " + value + "\r\n";
  }
  aText += "Content-Length: " + std::to_string(aMessage.body_.size()) + "\r\n\r\n";
  aText += aMessage.body_;
}

} // namespace

std::optional<std::string>
FindHeader(const HttpMessage& aMessage, std::string_view aName)
{
  for (const auto& [name, value] : aMessage.headers_) {
    if (Poco::icompare(name, std::string(aName)) == 0) {
      return value;
    }
  }
  return std::nullopt;
}

std::optional<double>
FindNumber(const HttpMessage& aMessage, std::string_view aName)
{
  const std::optional<std::string> text = FindHeader(aMessage, aName);
  double value = 0;
  if (!text ||
      std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc{} ||
      value < 0) {
    return std::nullopt;
  }
  return value;
}

Taken
TakeRequest(std::string& aBuffer)
{
  return Take<Poco::Net::HTTPRequest>(aBuffer);
}

Taken
TakeResponse(std::string& aBuffer)
{
  return Take<Poco::Net::HTTPResponse>(aBuffer);
}

std::string
FormatRequest(const HttpMessage& aMessage, std::string_view aHost)
{
  std::string text = aMessage.method_ + " " + aMessage.target_ + " HTTP/1.1\r\nHost: ";
  text += std::string(aHost) + "\r\n";
  AppendHeadersAndBody(aMessage, text);
  return text;
}

std::string
FormatResponse(const HttpMessage& aMessage)
{
  const auto status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aMessage.status_);
  std::string text = "HTTP/1.1 " + std::to_string(aMessage.status_) + " " +
                     Poco::Net::HTTPResponse::getReasonForStatus(status) + "\r\n";
  AppendHeadersAndBody(aMessage, text);
  return text;
}

} // namespace fulmarway::standins
