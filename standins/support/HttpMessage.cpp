#include "support/HttpMessage.h"

#include "wire/HttpFraming.h"

#include <Poco/String.h>
#include <charconv>

namespace fulmarway::standins {

namespace {

/** Larger than the limit of a node, because /executions/all returns all executions of a long load
 * test in one body. */
constexpr std::size_t kMaxBodyBytes = 1U << 30;

using Extracted = tl::expected<std::optional<HttpMessage>, std::string>;

std::string
Describe(const UserError& aError)
{
  return aError.subject_ + ": " + aError.message_;
}

std::string
Describe(const InvalidRequest& aError)
{
  return Describe(aError.error_);
}

void
CopyHead(const Poco::Net::HTTPRequest& aHead, HttpMessage& aMessage)
{
  aMessage.method_ = aHead.getMethod();
  aMessage.target_ = aHead.getURI();
}

void
CopyHead(const HttpResponseHead& aHead, HttpMessage& aMessage)
{
  aMessage.status_ = aHead.Status();
}

/** kExtract is ExtractHttpRequest or ExtractHttpResponse. */
template<auto kExtract>
Extracted
ExtractMessage(std::string& aBuffer)
{
  auto extracted = kExtract(aBuffer, kMaxBodyBytes);
  if (!extracted) {
    return tl::unexpected(Describe(extracted.error()));
  }
  if (!*extracted) {
    return std::nullopt;
  }
  HttpMessage message;
  CopyHead((*extracted)->head_, message);
  for (const auto& [name, value] : (*extracted)->head_) {
    message.headers_.emplace_back(name, value);
  }
  message.body_ = std::move((*extracted)->body_);
  return message;
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
FindNumericHeader(const HttpMessage& aMessage, std::string_view aName)
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

Extracted
ExtractRequest(std::string& aBuffer)
{
  return ExtractMessage<ExtractHttpRequest>(aBuffer);
}

Extracted
ExtractResponse(std::string& aBuffer)
{
  return ExtractMessage<ExtractHttpResponse>(aBuffer);
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
  std::string text = "HTTP/1.1 " + std::to_string(aMessage.status_) + " " +
                     ReasonOfStatus(aMessage.status_) + "\r\n";
  AppendHeadersAndBody(aMessage, text);
  return text;
}

} // namespace fulmarway::standins
