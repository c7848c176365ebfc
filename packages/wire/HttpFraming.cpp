#include "wire/HttpFraming.h"

#include "model/HttpStatus.h"
#include "model/Number.h"

#include <Poco/Net/MessageHeader.h>
#include <Poco/String.h>
#include <algorithm>

namespace fulmarway {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
/** Largest line with a chunk size and its extensions, which are ignored. */
constexpr std::size_t kMaxChunkLineBytes = 256;
/** Decoded chunks are removed from the buffer in blocks, since each removal moves the rest. */
constexpr std::size_t kDecodedBlockBytes = 64U << 10;
/** Interim answers before one final answer: one a second for a minute, from a server that reports
 * its progress. Without limits they could go on until the deadline of the request. */
constexpr std::uint32_t kMaxInterimAnswers = 60;
/** Bytes of these: four heads of the largest size. */
constexpr std::size_t kMaxInterimBytes = 4 * kMaxHeaderBytes;

enum class BodyError : std::uint8_t
{
  kMalformed,
  kTooLarge,
  kNoLength,
};

/** Where a body ends in the buffer, and its bytes without chunk headers. */
struct FramedBody
{
  std::string body_;
  std::size_t end_ = 0;
};

using BodyResult = tl::expected<std::optional<FramedBody>, BodyError>;

/** Finds the first aDelimiter at or after aPosition; nullopt while it may still arrive, an error
 * when more than aMaxBytes precede it. */
tl::expected<std::optional<std::size_t>, BodyError>
FindDelimiter(std::string_view aBuffer,
              std::string_view aDelimiter,
              std::size_t aPosition,
              std::size_t aMaxBytes)
{
  const std::string_view window = aBuffer.substr(aPosition, aMaxBytes + aDelimiter.size());
  const std::size_t found = window.find(aDelimiter);
  if (found != std::string_view::npos) {
    return aPosition + found;
  }
  if (window.size() == aMaxBytes + aDelimiter.size()) {
    return tl::unexpected(BodyError::kMalformed);
  }
  return std::nullopt;
}

/** Finds the end of the trailer section, which is ignored. aPosition is the line end after the size
 * of the last chunk, so that an empty trailer section also ends with kHeadEnd. */
tl::expected<std::optional<std::size_t>, BodyError>
FindTrailerEnd(std::string_view aBuffer, std::size_t aPosition)
{
  auto end = FindDelimiter(aBuffer, kHeadEnd, aPosition, kMaxHeaderBytes);
  if (end && *end) {
    **end += kHeadEnd.size();
  }
  return end;
}

/** Decodes the chunks that are complete and removes them from aBuffer once they fill a block. */
template<typename Head>
BodyResult
DecodeChunkedBody(std::string& aBuffer, DecodeProgress<Head>& aProgress, std::size_t aMaxBytes)
{
  std::size_t& position = aProgress.chunkStart_;
  const auto moveTo = [&](std::size_t aPosition) {
    aProgress.framedBytes_ += aPosition - position;
    position = aPosition;
  };
  while (true) {
    if (position - aProgress.bodyStart_ > kDecodedBlockBytes) {
      aBuffer.erase(aProgress.bodyStart_, position - aProgress.bodyStart_);
      position = aProgress.bodyStart_;
    }
    const auto lineEnd = FindDelimiter(aBuffer, kLineEnd, position, kMaxChunkLineBytes);
    if (!lineEnd) {
      return tl::unexpected(lineEnd.error());
    }
    if (!*lineEnd) {
      return std::nullopt;
    }
    std::string_view line = std::string_view(aBuffer).substr(position, **lineEnd - position);
    line = line.substr(0, std::min(line.find(';'), line.size()));
    const auto size = ParseNumber(line, 16);
    if (!size) {
      return tl::unexpected(BodyError::kMalformed);
    }
    // Without a limit, the chunk lines could be many times the body.
    const std::size_t framingBytes = aProgress.framedBytes_ - aProgress.body_.size();
    if (*size > aMaxBytes - aProgress.body_.size() || framingBytes > aMaxBytes + kMaxHeaderBytes) {
      return tl::unexpected(BodyError::kTooLarge);
    }
    if (*size == 0) {
      const auto end = FindTrailerEnd(aBuffer, **lineEnd);
      if (!end) {
        return tl::unexpected(end.error());
      }
      if (!*end) {
        return std::nullopt;
      }
      return FramedBody{ std::move(aProgress.body_), **end };
    }
    const std::size_t chunk = **lineEnd + kLineEnd.size();
    if (aBuffer.size() < chunk + *size + kLineEnd.size()) {
      return std::nullopt;
    }
    const std::size_t chunkEnd = chunk + *size;
    if (std::string_view(aBuffer).substr(chunkEnd, kLineEnd.size()) != kLineEnd) {
      return tl::unexpected(BodyError::kMalformed);
    }
    aProgress.body_.append(aBuffer, chunk, *size);
    moveTo(chunkEnd + kLineEnd.size());
  }
}

/** Whether the head declares the body length at most once and with a supported transfer coding. Two
 * recipients that disagree about the length see different messages on one connection (request
 * smuggling). */
bool
HasUnambiguousLength(const Poco::Net::HTTPMessage& aHead)
{
  std::size_t declaredLengths = 0;
  for (const auto& [name, value] : aHead) {
    const bool isCoding = Poco::icompare(name, Poco::Net::HTTPMessage::TRANSFER_ENCODING) == 0;
    if (isCoding && Poco::icompare(value, Poco::Net::HTTPMessage::CHUNKED_TRANSFER_ENCODING) != 0) {
      return false;
    }
    declaredLengths +=
      isCoding || Poco::icompare(name, Poco::Net::HTTPMessage::CONTENT_LENGTH) == 0 ? 1 : 0;
  }
  return declaredLengths <= 1;
}

template<typename Head>
BodyResult
DecodeBody(std::string& aBuffer,
           DecodeProgress<Head>& aProgress,
           std::size_t aMaxBytes,
           std::optional<std::size_t> aDefaultLength)
{
  const Head& head = *aProgress.head_;
  if (!HasUnambiguousLength(head)) {
    return tl::unexpected(BodyError::kMalformed);
  }
  if (head.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING)) {
    return DecodeChunkedBody(aBuffer, aProgress, aMaxBytes);
  }
  std::optional<std::size_t> length = aDefaultLength;
  if (head.hasContentLength()) {
    length = ParseNumber(head.get(Poco::Net::HTTPMessage::CONTENT_LENGTH), 10);
    if (!length) {
      return tl::unexpected(BodyError::kMalformed);
    }
  }
  if (!length) {
    return tl::unexpected(BodyError::kNoLength);
  }
  if (*length > aMaxBytes) {
    return tl::unexpected(BodyError::kTooLarge);
  }
  if (aBuffer.size() - aProgress.bodyStart_ < *length) {
    return std::nullopt;
  }
  return FramedBody{ aBuffer.substr(aProgress.bodyStart_, *length),
                     aProgress.bodyStart_ + *length };
}

bool
IsControlChar(char aChar)
{
  return (static_cast<unsigned char>(aChar) < ' ' && aChar != '\t') || aChar == '\x7f';
}

/** Whether the value has no control characters, even after another recipient decodes its encoded
 * words (RFC 2047), which may contain line ends. */
bool
IsSafeFieldValue(const std::string& aValue)
{
  const auto isPlain = [](const std::string& aText) {
    return std::none_of(aText.begin(), aText.end(), IsControlChar);
  };
  return isPlain(aValue) && (aValue.find("=?") == std::string::npos ||
                             isPlain(Poco::Net::MessageHeader::decodeWord(aValue)));
}

std::string_view
TrimSpaces(std::string_view aText)
{
  const std::size_t start = std::min(aText.find_first_not_of(" \t"), aText.size());
  aText.remove_prefix(start);
  return aText.substr(0, aText.find_last_not_of(" \t") + 1);
}

/** Adds the fields of the lines in aText, which ends with an empty line; false when a line is not
 * "NAME: VALUE". Other line ends, folded lines and spaces around names are rejected, since
 * recipients interpret them differently. */
bool
ParseFields(std::string_view aText, Poco::Net::HTTPMessage& aHead)
{
  while (!aText.starts_with(kLineEnd)) {
    const std::size_t end = std::min(aText.find(kLineEnd), aText.size());
    const std::string_view line = aText.substr(0, end);
    const std::size_t nameEnd = line.find_first_of(": \t");
    if (nameEnd == 0 || nameEnd >= line.size() || line[nameEnd] != ':' ||
        std::any_of(line.begin(), line.end(), IsControlChar)) {
      return false;
    }
    const std::string value(TrimSpaces(line.substr(nameEnd + 1)));
    if (!IsSafeFieldValue(value)) {
      return false;
    }
    aHead.add(std::string(line.substr(0, nameEnd)), value);
    aText.remove_prefix(std::min(end + kLineEnd.size(), aText.size()));
  }
  return true;
}

bool
IsSupportedVersion(std::string_view aText)
{
  return aText == Poco::Net::HTTPMessage::HTTP_1_1 || aText == Poco::Net::HTTPMessage::HTTP_1_0;
}

/** Parses "METHOD URI VERSION". */
bool
ParseStartLine(std::string_view aLine, Poco::Net::HTTPRequest& aHead)
{
  const std::size_t methodEnd = aLine.find(' ');
  const std::size_t uriEnd = aLine.rfind(' ');
  if (methodEnd == 0 || methodEnd == std::string_view::npos || uriEnd <= methodEnd + 1) {
    return false;
  }
  const std::string_view uri = aLine.substr(methodEnd + 1, uriEnd - methodEnd - 1);
  const std::string_view version = aLine.substr(uriEnd + 1);
  if (uri.find(' ') != std::string_view::npos || !IsSupportedVersion(version)) {
    return false;
  }
  aHead.setMethod(std::string(aLine.substr(0, methodEnd)));
  aHead.setURI(std::string(uri));
  aHead.setVersion(std::string(version));
  return true;
}

/** Parses "VERSION STATUS REASON". */
bool
ParseStartLine(std::string_view aLine, HttpResponseHead& aHead)
{
  constexpr std::size_t kStatusDigits = 3;
  const std::size_t versionEnd = aLine.find(' ');
  if (versionEnd == std::string_view::npos || !IsSupportedVersion(aLine.substr(0, versionEnd))) {
    return false;
  }
  const std::string_view rest = aLine.substr(versionEnd + 1);
  const auto status = ParseNumber(rest.substr(0, kStatusDigits));
  if (!status || (rest.size() > kStatusDigits && rest[kStatusDigits] != ' ')) {
    return false;
  }
  const auto number = static_cast<unsigned>(*status);
  if (!IsFinalStatus(number) && !IsInterimStatus(number)) {
    return false;
  }
  aHead.setVersion(std::string(aLine.substr(0, versionEnd)));
  aHead.SetStatus(number, std::string(rest.substr(std::min(kStatusDigits + 1, rest.size()))));
  return true;
}

/** Parses the head, which ends with an empty line; nullopt when it is malformed. Replaces POCO's
 * stream parser, which used a third of a node's processor time. */
template<typename Head>
std::optional<Head>
ParseHead(std::string_view aText)
{
  const std::size_t end = aText.find(kLineEnd);
  const std::string_view line = aText.substr(0, end);
  Head head;
  if (end == std::string_view::npos || std::any_of(line.begin(), line.end(), IsControlChar) ||
      !ParseStartLine(line, head) || !ParseFields(aText.substr(end + kLineEnd.size()), head)) {
    return std::nullopt;
  }
  return head;
}

InvalidRequest
ToInvalidRequest(BodyError aError)
{
  switch (aError) {
    case BodyError::kTooLarge:
      return { 413, { "body", "larger than the limit" } };
    case BodyError::kNoLength:
      // Does not occur: a request without a declared length has an empty body.
      return { 411, { "body", "has neither Content-Length nor a chunked Transfer-Encoding" } };
    case BodyError::kMalformed:
      break;
  }
  return { 400, { "body", "malformed or ambiguous length, or malformed chunk" } };
}

enum class HeadStatus : std::uint8_t
{
  kIncomplete,
  kComplete,
  kTooLarge,
  kMalformed,
};

/** Finds and parses the head unless aProgress has it already. */
template<typename Head>
HeadStatus
FindHead(std::string_view aBuffer, std::size_t aMaxBytes, DecodeProgress<Head>& aProgress)
{
  if (aProgress.head_) {
    return HeadStatus::kComplete;
  }
  const std::size_t headEnd = aBuffer.find(kHeadEnd, aProgress.searchedBytes_);
  if (std::min(headEnd, aBuffer.size()) > aMaxBytes) {
    return HeadStatus::kTooLarge;
  }
  if (headEnd == std::string_view::npos) {
    aProgress.searchedBytes_ = aBuffer.size() - std::min(aBuffer.size(), kHeadEnd.size() - 1);
    return HeadStatus::kIncomplete;
  }
  aProgress.bodyStart_ = headEnd + kHeadEnd.size();
  aProgress.chunkStart_ = aProgress.bodyStart_;
  aProgress.head_ = ParseHead<Head>(aBuffer.substr(0, aProgress.bodyStart_));
  return aProgress.head_ ? HeadStatus::kComplete : HeadStatus::kMalformed;
}

/** The complete message, which is removed from aBuffer. */
template<typename Head>
HttpMessage<Head>
RemoveMessage(std::string& aBuffer, DecodeProgress<Head>& aProgress, FramedBody aBody)
{
  HttpMessage<Head> message{ std::move(*aProgress.head_), std::move(aBody.body_) };
  aBuffer.erase(0, aBody.end_);
  aProgress = {};
  return message;
}

/** Whether the interim answer declares a body. It ends with its head all the same; if a server sent
 * one, its bytes would be read as the final answer. */
bool
DeclaresBody(const HttpResponseHead& aHead)
{
  return aHead.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING) ||
         aHead.get(Poco::Net::HTTPMessage::CONTENT_LENGTH, "0") != "0";
}

/** Removes the interim answer in aProgress from aBuffer. Returns the error of one that is not
 * accepted. */
std::optional<UserError>
SkipInterimAnswer(std::string& aBuffer, ResponseProgress& aProgress)
{
  if (DeclaresBody(*aProgress.head_)) {
    return UserError{ "interim response", "declares a body" };
  }
  aProgress.interimAnswers_ += 1;
  aProgress.interimBytes_ += aProgress.bodyStart_;
  aProgress.closesAfterAnswer_ = aProgress.closesAfterAnswer_ || !aProgress.head_->getKeepAlive();
  if (aProgress.interimAnswers_ > kMaxInterimAnswers ||
      aProgress.interimBytes_ > kMaxInterimBytes) {
    return UserError{ "interim responses", "more than the limit" };
  }
  aBuffer.erase(0, aProgress.bodyStart_);
  static_cast<DecodeProgress<HttpResponseHead>&>(aProgress) = {};
  return std::nullopt;
}

/** The complete final answer, which is removed from aBuffer. */
HttpResponseMessage
RemoveAnswer(std::string& aBuffer, ResponseProgress& aProgress, FramedBody aBody)
{
  HttpResponseMessage message = RemoveMessage(aBuffer, aProgress, std::move(aBody));
  if (aProgress.closesAfterAnswer_) {
    message.head_.setKeepAlive(false);
  }
  const bool answersHead = aProgress.answersHead_;
  aProgress = {};
  aProgress.answersHead_ = answersHead;
  return message;
}

std::string
FormatStartLine(const Poco::Net::HTTPRequest& aHead)
{
  return aHead.getMethod() + ' ' + aHead.getURI() + ' ' + aHead.getVersion();
}

std::string
FormatStartLine(const HttpResponseHead& aHead)
{
  return aHead.getVersion() + ' ' + std::to_string(aHead.Status()) + ' ' + aHead.Reason();
}

template<typename Head>
std::string
FormatMessage(const Head& aHead, std::string_view aBody)
{
  std::string text = FormatStartLine(aHead);
  text += kLineEnd;
  for (const auto& [name, value] : aHead) {
    text += name;
    text += ": ";
    text += value;
    text += kLineEnd;
  }
  text += kLineEnd;
  text += aBody;
  return text;
}

} // namespace

tl::expected<std::optional<HttpRequestMessage>, InvalidRequest>
ExtractHttpRequest(std::string& aBuffer, std::size_t aMaxBodyBytes)
{
  return ExtractHttpRequestWithLimits(aBuffer, kMaxHeaderBytes, aMaxBodyBytes);
}

tl::expected<std::optional<HttpRequestMessage>, InvalidRequest>
ExtractHttpRequestWithLimits(std::string& aBuffer,
                             std::size_t aMaxHeaderBytes,
                             std::size_t aMaxBodyBytes)
{
  std::string buffer = aBuffer;
  RequestProgress progress;
  auto request = ContinueHttpRequest(buffer, aMaxHeaderBytes, aMaxBodyBytes, progress);
  if (request && *request) {
    aBuffer = std::move(buffer);
  }
  return request;
}

tl::expected<std::optional<HttpRequestMessage>, InvalidRequest>
ContinueHttpRequest(std::string& aBuffer,
                    std::size_t aMaxHeaderBytes,
                    std::size_t aMaxBodyBytes,
                    RequestProgress& aProgress)
{
  switch (FindHead(aBuffer, aMaxHeaderBytes, aProgress)) {
    case HeadStatus::kIncomplete:
      return std::nullopt;
    case HeadStatus::kTooLarge:
      return tl::unexpected(InvalidRequest{ 431, { "head", "larger than the limit" } });
    case HeadStatus::kMalformed:
      return tl::unexpected(InvalidRequest{ 400, { "head", "malformed" } });
    case HeadStatus::kComplete:
      break;
  }
  auto framed = DecodeBody(aBuffer, aProgress, aMaxBodyBytes, 0);
  if (!framed) {
    return tl::unexpected(ToInvalidRequest(framed.error()));
  }
  if (!*framed) {
    return std::nullopt;
  }
  return RemoveMessage(aBuffer, aProgress, std::move(**framed));
}

tl::expected<std::optional<HttpResponseMessage>, UserError>
ExtractHttpResponse(std::string& aBuffer, std::size_t aMaxBodyBytes)
{
  std::string buffer = aBuffer;
  ResponseProgress progress;
  auto response = ContinueHttpResponse(buffer, aMaxBodyBytes, progress);
  if (response && *response) {
    aBuffer = std::move(buffer);
  }
  return response;
}

tl::expected<std::optional<HttpResponseMessage>, UserError>
ContinueHttpResponse(std::string& aBuffer, std::size_t aMaxBodyBytes, ResponseProgress& aProgress)
{
  while (true) {
    switch (FindHead(aBuffer, kMaxHeaderBytes, aProgress)) {
      case HeadStatus::kIncomplete:
        return std::nullopt;
      case HeadStatus::kTooLarge:
        return tl::unexpected(UserError{ "response head", "larger than the limit" });
      case HeadStatus::kMalformed:
        return tl::unexpected(UserError{ "response head", "malformed" });
      case HeadStatus::kComplete:
        break;
    }
    if (!IsInterimStatus(aProgress.head_->Status())) {
      break;
    }
    if (auto error = SkipInterimAnswer(aBuffer, aProgress)) {
      return tl::unexpected(std::move(*error));
    }
  }
  if (aProgress.answersHead_ || IsBodilessStatus(aProgress.head_->Status())) {
    return RemoveAnswer(aBuffer, aProgress, FramedBody{ {}, aProgress.bodyStart_ });
  }
  auto framed = DecodeBody(aBuffer, aProgress, aMaxBodyBytes, std::nullopt);
  if (!framed && framed.error() == BodyError::kNoLength &&
      aBuffer.size() - aProgress.bodyStart_ <= aMaxBodyBytes) {
    // The body ends when the connection closes, see ParseCloseDelimitedResponse().
    return std::nullopt;
  }
  if (!framed) {
    return tl::unexpected(UserError{ "response body", "malformed or too large" });
  }
  if (!*framed) {
    return std::nullopt;
  }
  return RemoveAnswer(aBuffer, aProgress, std::move(**framed));
}

tl::expected<HttpResponseMessage, UserError>
ParseCloseDelimitedResponse(std::string aBuffer, std::size_t aMaxBodyBytes)
{
  ResponseProgress progress;
  if (FindHead(aBuffer, kMaxHeaderBytes, progress) != HeadStatus::kComplete) {
    return tl::unexpected(UserError{ "response head", "incomplete, malformed or too large" });
  }
  const HttpResponseHead& head = *progress.head_;
  if (IsInterimStatus(head.Status())) {
    return tl::unexpected(UserError{ "response", "ends after an interim one" });
  }
  const bool isCloseDelimited = HasUnambiguousLength(head) && !head.hasContentLength() &&
                                !head.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING);
  if (!isCloseDelimited || aBuffer.size() - progress.bodyStart_ > aMaxBodyBytes) {
    return tl::unexpected(UserError{ "response", "truncated or too large" });
  }
  return HttpResponseMessage{ head, aBuffer.substr(progress.bodyStart_) };
}

std::string
FormatHttp(Poco::Net::HTTPRequest& aHead, std::string_view aBody)
{
  aHead.setContentLength64(static_cast<Poco::Int64>(aBody.size()));
  return FormatMessage(aHead, aBody);
}

std::string
FormatHttp(HttpResponseHead& aHead, std::string_view aBody)
{
  if (IsBodilessStatus(aHead.Status())) {
    return FormatHttpHead(aHead);
  }
  aHead.setContentLength64(static_cast<Poco::Int64>(aBody.size()));
  return FormatMessage(aHead, aBody);
}

std::string
FormatHttpHead(HttpResponseHead& aHead)
{
  if (IsBodilessStatus(aHead.Status())) {
    aHead.erase(Poco::Net::HTTPMessage::CONTENT_LENGTH);
  }
  return FormatMessage(aHead, {});
}

} // namespace fulmarway
