#include "wire/HttpMapping.h"

#include "model/Address.h"
#include "model/Number.h"

#include <Poco/String.h>
#include <algorithm>
#include <array>
#include <cmath>

namespace fulmarway {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::string_view kCallPrefix = "/v1/call/";
constexpr std::string_view kTicketPrefix = "/v1/ticket/";
constexpr unsigned kMaxDeadlineMs = 600'000;
constexpr unsigned kMaxCallIndex = 10'000;
constexpr unsigned kMaxAttempt = 1'000;

tl::unexpected<InvalidRequest>
Invalid(std::uint16_t aStatus, std::string aSubject, std::string aMessage)
{
  return tl::unexpected(
    InvalidRequest{ aStatus, { std::move(aSubject), std::move(aMessage) }, Verdict::kNotRun });
}

bool
IsPrintableToken(std::string_view aText)
{
  return std::all_of(
    aText.begin(), aText.end(), [](char aChar) { return aChar > ' ' && aChar < '\x7f'; });
}

/** Splits aPath into service, kind and the rest; false when a name is not valid. */
bool
SplitServiceKind(std::string_view aPath,
                 std::string& aService,
                 std::string& aKind,
                 std::string& aRest)
{
  const std::size_t slash = aPath.find('/');
  if (slash == std::string_view::npos) {
    return false;
  }
  aService = aPath.substr(0, slash);
  aPath.remove_prefix(slash + 1);
  const std::size_t end = std::min(aPath.find_first_of("/?"), aPath.size());
  aKind = aPath.substr(0, end);
  aRest = aPath.substr(end);
  return IsName(aService) && IsName(aKind);
}

/** Reads an optional header with a number in [aLow, aHigh]. */
tl::expected<std::optional<unsigned>, InvalidRequest>
ReadNumber(const HTTPRequest& aHead, const char* aName, unsigned aLow, unsigned aHigh)
{
  if (!aHead.has(aName)) {
    return std::nullopt;
  }
  const auto value = ParseNumber(aHead.get(aName));
  if (!value || *value < aLow || *value > aHigh) {
    return Invalid(400,
                   aName,
                   "expected a number from " + std::to_string(aLow) + " to " +
                     std::to_string(aHigh));
  }
  return static_cast<unsigned>(*value);
}

tl::expected<void, InvalidRequest>
ReadPath(const HTTPRequest& aHead, CallerRequest& aRequest)
{
  std::string_view path = aHead.getURI();
  if (path.substr(0, kCallPrefix.size()) == kCallPrefix) {
    path.remove_prefix(kCallPrefix.size());
  } else if (path.substr(0, kTicketPrefix.size()) == kTicketPrefix) {
    path.remove_prefix(kTicketPrefix.size());
    aRequest.ticketOnly_ = true;
  } else {
    return Invalid(404, "path", "expected /v1/call/SERVICE/KIND or /v1/ticket/SERVICE/KIND");
  }
  if (!SplitServiceKind(path, aRequest.service_, aRequest.kind_, aRequest.target_)) {
    return Invalid(404, "path", "SERVICE and KIND are made of a-z, 0-9 and '-'");
  }
  return {};
}

tl::expected<void, InvalidRequest>
ReadNumbers(const HTTPRequest& aHead, CallerRequest& aRequest)
{
  const auto deadline = ReadNumber(aHead, header::kDeadline, 1, kMaxDeadlineMs);
  const auto attempt = ReadNumber(aHead, header::kAttempt, 1, kMaxAttempt);
  const auto callIndex = ReadNumber(aHead, header::kCallIndex, 0, kMaxCallIndex);
  for (const auto* number : { &deadline, &attempt, &callIndex }) {
    if (!*number) {
      return tl::unexpected(number->error());
    }
  }
  if (*deadline) {
    aRequest.deadline_ = std::chrono::milliseconds(**deadline);
  }
  aRequest.attempt_ = attempt->value_or(1);
  aRequest.callIndex_ = *callIndex;
  return {};
}

tl::expected<void, InvalidRequest>
ReadIdentifiers(const HTTPRequest& aHead, CallerRequest& aRequest)
{
  if (aHead.has(header::kRootRequestId)) {
    const std::string& rootRequestId = aHead.get(header::kRootRequestId);
    if (rootRequestId.empty() || rootRequestId.size() > kMaxRootRequestIdBytes ||
        !IsPrintableToken(rootRequestId)) {
      return Invalid(
        400, header::kRootRequestId, "expected 1 to 64 printable ASCII characters without spaces");
    }
    aRequest.rootRequestId_ = rootRequestId;
  }
  if (aHead.has(header::kParent)) {
    const auto parent = ParseHex64(aHead.get(header::kParent));
    if (!parent) {
      return Invalid(
        400, header::kParent, "expected the hexadecimal value that the node sent in this header");
    }
    aRequest.parent_ = RequestId{ *parent };
  }
  if (aHead.has(header::kTicket)) {
    const auto ticket = ParseTicket(aHead.get(header::kTicket));
    if (!ticket) {
      return Invalid(400, header::kTicket, ticket.error().message_);
    }
    aRequest.ticket_ = *ticket;
  }
  if (aHead.has(header::kTicketFor)) {
    std::string rest;
    if (!SplitServiceKind(aHead.get(header::kTicketFor),
                          aRequest.ticketForService_,
                          aRequest.ticketForKind_,
                          rest) ||
        !rest.empty()) {
      return Invalid(400, header::kTicketFor, "expected SERVICE/KIND");
    }
  }
  return {};
}

void
SetRetryAfter(Duration aDelay, HttpResponseHead& aHead)
{
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(aDelay).count();
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aDelay).count();
  aHead.set(header::kRetryAfter, std::to_string(seconds));
  aHead.set(header::kRetryAfterMs, std::to_string(milliseconds));
}

std::uint16_t
StatusOfNotRun(Reason aReason)
{
  switch (aReason) {
    case Reason::kInvalidRequest:
    case Reason::kTicketInvalid:
      return 400;
    case Reason::kUnknownKey:
      return 401;
    case Reason::kUnknownService:
    case Reason::kUnknownKind:
      return 404;
    case Reason::kRequestMismatch:
      return 409;
    case Reason::kTooLarge:
      return 413;
    case Reason::kTicketNeeded:
      return 428;
    case Reason::kRepeatLimit:
    case Reason::kOverQuota:
      return 429;
    case Reason::kDeadline:
      return 504;
    case Reason::kTooDeep:
      return 508;
    default:
      return 503;
  }
}

std::string
Explain(const Refusal& aRefusal)
{
  return std::string(ToString(aRefusal.verdict_)) + ": " + std::string(ToString(aRefusal.reason_)) +
         "\n";
}

tl::expected<CallerRequest, InvalidRequest>
ReadCallerRequest(const HTTPRequest& aHead, std::string aBody)
{
  CallerRequest request;
  request.method_ = aHead.getMethod();
  if (request.method_ != HTTPRequest::HTTP_GET && request.method_ != HTTPRequest::HTTP_POST) {
    return Invalid(405, "method", "expected GET or POST");
  }
  for (const auto read : { ReadPath, ReadNumbers, ReadIdentifiers }) {
    if (const auto done = read(aHead, request); !done) {
      return tl::unexpected(done.error());
    }
  }
  if (const std::string& type = aHead.getContentType(); type != HTTPRequest::UNKNOWN_CONTENT_TYPE) {
    request.contentType_ = type;
  }
  request.body_ = std::move(aBody);
  return request;
}

/** A malformed attempt number counts as a retry, since an earlier attempt may have run. */
bool
IsCallerRetryWithTicket(const HTTPRequest& aHead)
{
  return aHead.has(header::kTicket) && aHead.has(header::kAttempt) &&
         ParseNumber(aHead.get(header::kAttempt)) != 1;
}

} // namespace

tl::expected<CallerRequest, InvalidRequest>
ParseCallerRequest(const HTTPRequest& aHead, std::string aBody)
{
  auto request = ReadCallerRequest(aHead, std::move(aBody));
  if (!request && IsCallerRetryWithTicket(aHead)) {
    request.error().verdict_ = Verdict::kMayHaveRun;
  }
  return request;
}

std::uint16_t
StatusOf(const Refusal& aRefusal)
{
  switch (aRefusal.verdict_) {
    case Verdict::kNotRun:
      return StatusOfNotRun(aRefusal.reason_);
    case Verdict::kMayHaveRun:
      return aRefusal.reason_ == Reason::kDeadline ? 504 : 502;
    case Verdict::kRan:
      return 200;
  }
  return 500;
}

std::string
FormatCallerReply(const CallerReply& aReply, HttpResponseHead& aHead)
{
  const Refusal& outcome = aReply.outcome_;
  aHead.set(header::kVerdict, std::string(ToString(outcome.verdict_)));
  if (outcome.reason_ != Reason::kNone) {
    aHead.set(header::kReason, std::string(ToString(outcome.reason_)));
  }
  if (!aReply.rootRequestId_.empty()) {
    aHead.set(header::kRootRequestId, aReply.rootRequestId_);
  }
  if (aReply.ticket_) {
    aHead.set(header::kTicket, FormatTicket(*aReply.ticket_));
  }
  if (outcome.retryAfter_) {
    SetRetryAfter(*outcome.retryAfter_, aHead);
  }
  if (aReply.answer_) {
    aHead.SetStatus(aReply.answer_->status_);
    if (!aReply.answer_->contentType_.empty()) {
      aHead.setContentType(aReply.answer_->contentType_);
    }
    return aReply.answer_->body_;
  }
  aHead.SetStatus(StatusOf(outcome));
  aHead.setContentType("text/plain");
  return Explain(outcome);
}

std::string
FormatInvalidRequest(const InvalidRequest& aInvalid, HttpResponseHead& aHead)
{
  aHead.SetStatus(aInvalid.status_);
  const std::string verdict(ToString(aInvalid.verdict_));
  aHead.set(header::kVerdict, verdict);
  const Reason reason = aInvalid.status_ == HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE
                          ? Reason::kTooLarge
                          : Reason::kInvalidRequest;
  aHead.set(header::kReason, std::string(ToString(reason)));
  aHead.setContentType("text/plain");
  return verdict + ": " + aInvalid.error_.subject_ + ": " + aInvalid.error_.message_ + "\n";
}

void
FormatBackendRequest(const BackendRequest& aRequest, HTTPRequest& aHead)
{
  const Request& request = aRequest.request_;
  aHead.setMethod(request.method_);
  aHead.setVersion(HTTPRequest::HTTP_1_1);
  aHead.setURI('/' + request.service_ + '/' + request.kind_ + request.target_);
  if (!request.contentType_.empty()) {
    aHead.setContentType(request.contentType_);
  }
  aHead.set(header::kRootRequestId, request.rootRequestId_);
  aHead.set(header::kParent, ToHex(aRequest.id_.value_));
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(aRequest.remaining_);
  aHead.set(header::kDeadline,
            std::to_string(std::max<std::chrono::milliseconds::rep>(remaining.count(), 1)));
  if (request.ticket_) {
    aHead.set(header::kTicket, FormatTicket(*request.ticket_));
  }
}

bool
IsRefusedByBackend(const HttpResponseHead& aHead)
{
  return aHead.Status() == HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
         aHead.get(header::kVerdict, "") == ToString(Verdict::kNotRun);
}

std::optional<BackendLoad>
ParseLoadList(std::string_view aText)
{
  constexpr std::size_t kMinNumbers = 3;
  constexpr std::size_t kMaxNumbers = 4;
  constexpr std::uint64_t kMaxCount = 1'000'000;
  constexpr std::uint64_t kMaxWorkTimePercent = 100'000;
  std::array<std::uint64_t, kMaxNumbers> numbers = { 0, 0, 0, 100 };
  std::size_t count = 0;
  for (bool isLast = false; !isLast; ++count) {
    const std::size_t comma = aText.find(',');
    isLast = comma == std::string_view::npos;
    const auto number = ParseNumber(Poco::trim(std::string(aText.substr(0, comma))));
    if (count == kMaxNumbers || !number ||
        *number > (count == kMinNumbers ? kMaxWorkTimePercent : kMaxCount)) {
      return std::nullopt;
    }
    numbers.at(count) = *number;
    aText.remove_prefix(isLast ? aText.size() : comma + 1);
  }
  if (count < kMinNumbers || numbers[2] == 0 || numbers[3] == 0) {
    return std::nullopt;
  }
  return BackendLoad{ static_cast<std::uint32_t>(numbers[0]),
                      static_cast<std::uint32_t>(numbers[1]),
                      static_cast<std::uint32_t>(numbers[2]),
                      static_cast<std::uint32_t>(numbers[3]) };
}

std::optional<BackendLoad>
ParseBackendLoad(const HttpResponseHead& aHead)
{
  return aHead.has(header::kLoad) ? ParseLoadList(aHead.get(header::kLoad)) : std::nullopt;
}

BackendSignals
ParseBackendSignals(const HttpResponseHead& aHead)
{
  return { aHead.has(header::kRateLimit) ? ParseDecimal(aHead.get(header::kRateLimit))
                                         : std::nullopt };
}

} // namespace fulmarway
