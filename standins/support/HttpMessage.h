/** \file
 * Parsing and formatting of HTTP/1.1 messages. Parsing uses the framing code of the nodes.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace fulmarway::standins {

/** A request or a response. */
struct HttpMessage
{
  /** Requests only. */
  std::string method_ = "GET";
  /** Requests only: path and query. */
  std::string target_;
  /** Responses only. */
  int status_ = 200;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;

  bool operator==(const HttpMessage&) const = default;
};

/** The value of the first header named aName, case-insensitive; nullopt when it is absent. */
std::optional<std::string>
FindHeader(const HttpMessage& aMessage, std::string_view aName);

/** The value of a header as a number; nullopt when it is absent, not a number or negative. */
std::optional<double>
FindNumericHeader(const HttpMessage& aMessage, std::string_view aName);

/** Removes the first complete message from aBuffer and returns it; nullopt while the message is
 * incomplete. The error describes what is malformed. */
tl::expected<std::optional<HttpMessage>, std::string>
ExtractRequest(std::string& aBuffer);

tl::expected<std::optional<HttpMessage>, std::string>
ExtractResponse(std::string& aBuffer);

std::string
FormatRequest(const HttpMessage& aMessage, std::string_view aHost);

std::string
FormatResponse(const HttpMessage& aMessage);

} // namespace fulmarway::standins
