/** \file
 * Incremental decoding of HTTP/1.1 messages from a byte stream into POCO's types for heads. A body
 * is complete only when all bytes that the head declares have arrived.
 */
#pragma once

#include "model/Error.h"
#include "wire/HttpMapping.h"

#include <Poco/Net/HTTPRequest.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace fulmarway {

/** A complete message; the body is without chunk headers. */
template<typename Head>
struct HttpMessage
{
  Head head_;
  std::string body_;
};

using HttpRequestMessage = HttpMessage<Poco::Net::HTTPRequest>;
using HttpResponseMessage = HttpMessage<HttpResponseHead>;

/** How far the first message of a buffer has been decoded. Without it, a message that arrives in
 * many small parts would be decoded from its start at each of them, and four answers of 4 MB that
 * go on by one byte a millisecond would keep a core busy. */
template<typename Head>
struct DecodeProgress
{
  /** Bytes in which no end of the head begins. */
  std::size_t searchedBytes_ = 0;
  /** Set once the head is complete. */
  std::optional<Head> head_;
  std::size_t bodyStart_ = 0;
  /** Next chunk of a chunked body, as an offset in the buffer. */
  std::size_t chunkStart_ = 0;
  /** Bytes of the body, and its bytes with the chunk headers, that have been decoded. */
  std::string body_;
  std::size_t framedBytes_ = 0;
};

using RequestProgress = DecodeProgress<Poco::Net::HTTPRequest>;

struct ResponseProgress : DecodeProgress<HttpResponseHead>
{
  /** The request was HEAD, so the answer ends with its head. */
  bool answersHead_ = false;
  /** Interim answers that were skipped, and their bytes. */
  std::uint32_t interimAnswers_ = 0;
  std::size_t interimBytes_ = 0;
  /** One of them announced that the connection is closed after the final answer. */
  bool closesAfterAnswer_ = false;
};

/** Removes the first complete request from aBuffer; nullopt while bytes are missing. After an error
 * the caller of this function must send the error response and close the connection. */
tl::expected<std::optional<HttpRequestMessage>, InvalidRequest>
ExtractHttpRequest(std::string& aBuffer, std::size_t aMaxBodyBytes);

/** ExtractHttpRequest() with the operator's limit on the size of the head. */
tl::expected<std::optional<HttpRequestMessage>, InvalidRequest>
ExtractHttpRequestWithLimits(std::string& aBuffer,
                             std::size_t aMaxHeaderBytes,
                             std::size_t aMaxBodyBytes);

/** Continues from aProgress, which must belong to aBuffer and is reset when a request was removed.
 */
tl::expected<std::optional<HttpRequestMessage>, InvalidRequest>
ContinueHttpRequest(std::string& aBuffer,
                    std::size_t aMaxHeaderBytes,
                    std::size_t aMaxBodyBytes,
                    RequestProgress& aProgress);

/** Removes the first complete final response from aBuffer, and the interim responses (1xx) before
 * it; nullopt while bytes are missing. A response without a declared length ends with the
 * connection, see ParseCloseDelimitedResponse(). */
tl::expected<std::optional<HttpResponseMessage>, UserError>
ExtractHttpResponse(std::string& aBuffer, std::size_t aMaxBodyBytes);

/** The same from aProgress on, which must belong to aBuffer and is reset, but for answersHead_,
 * when a response was removed. */
tl::expected<std::optional<HttpResponseMessage>, UserError>
ContinueHttpResponse(std::string& aBuffer, std::size_t aMaxBodyBytes, ResponseProgress& aProgress);

/** Returns the response in aBuffer after the peer has closed the connection in order. The body is
 * everything after the head. A head that is incomplete or declares a length is an error: the
 * response was truncated, since ExtractHttpResponse() removes complete ones. */
tl::expected<HttpResponseMessage, UserError>
ParseCloseDelimitedResponse(std::string aBuffer, std::size_t aMaxBodyBytes);

/** Sets Content-Length and returns head and body as bytes. */
std::string
FormatHttp(Poco::Net::HTTPRequest& aHead, std::string_view aBody);

/** The same. An answer whose status excludes a body has neither a body nor a length. */
std::string
FormatHttp(HttpResponseHead& aHead, std::string_view aBody);

/** The answer to a HEAD request: the head as bytes, with the length that aHead has, if its status
 * allows one. */
std::string
FormatHttpHead(HttpResponseHead& aHead);

} // namespace fulmarway
