/** \file
 * HTTP/1.1 messages taken from byte buffers, with the framing of the nodes, and written to them.
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

/** The value of a header, compared without case; nullopt when it is absent. */
std::optional<std::string>
FindHeader(const HttpMessage& aMessage, std::string_view aName);

/** A header that holds a non-negative number; nullopt when it is absent or not a number. */
std::optional<double>
FindNumber(const HttpMessage& aMessage, std::string_view aName);

/** Removes the first whole message from aBuffer; nullopt while it is incomplete. The error says
 * what is malformed. */
tl::expected<std::optional<HttpMessage>, std::string>
TakeRequest(std::string& aBuffer);

tl::expected<std::optional<HttpMessage>, std::string>
TakeResponse(std::string& aBuffer);

std::string
FormatRequest(const HttpMessage& aMessage, std::string_view aHost);

std::string
FormatResponse(const HttpMessage& aMessage);

} // namespace fulmarway::standins
