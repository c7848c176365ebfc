/** \file
 * Incremental reading of HTTP/1.1 messages from a byte stream. POCO parses the head; the body is
 * complete only when all bytes that the head declares are there.
 */
#pragma once

#include "model/Error.h"
#include "wire/HttpMapping.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace fulmarway {

/** A whole message. */
template<typename Head>
struct HttpMessage
{
  Head head_;
  std::string body_;
};

using HttpRequestMessage = HttpMessage<Poco::Net::HTTPRequest>;
using HttpResponseMessage = HttpMessage<Poco::Net::HTTPResponse>;

/** Removes the first whole request from aBuffer; nullopt while bytes are missing. After an error
 * the connection must be closed once the error was answered. */
tl::expected<std::optional<HttpRequestMessage>, InvalidRequest>
TakeHttpRequest(std::string& aBuffer, std::size_t aMaxBodyBytes);

/** The same with a bound on the head that the operator has set. */
tl::expected<std::optional<HttpRequestMessage>, InvalidRequest>
TakeHttpRequestWithin(std::string& aBuffer, std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes);

/** Whether aBuffer begins with the whole head of a message. */
bool
HasWholeHead(std::string_view aBuffer);

/** Removes the first whole response from aBuffer; nullopt while bytes are missing. A response
 * without a declared length is never whole here, see TakeLastHttpResponse(). */
tl::expected<std::optional<HttpResponseMessage>, UserError>
TakeHttpResponse(std::string& aBuffer, std::size_t aMaxBodyBytes);

/** The response that a connection which was closed in order has left in aBuffer. Without a declared
 * length the body is all that came after the head; an error when a declared length was not reached.
 */
tl::expected<HttpResponseMessage, UserError>
TakeLastHttpResponse(std::string aBuffer, std::size_t aMaxBodyBytes);

/** Head and body as bytes; sets Content-Length. */
std::string
FormatHttp(Poco::Net::HTTPRequest& aHead, std::string_view aBody);

std::string
FormatHttp(Poco::Net::HTTPResponse& aHead, std::string_view aBody);

} // namespace fulmarway
