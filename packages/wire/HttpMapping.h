/** \file
 * Maps the HTTP messages of callers and backend servers to typed values and back.
 * docs/INTERFACES.md documents the statuses and headers.
 */
#pragma once

#include "model/BackendLoad.h"
#include "model/BackendSignals.h"
#include "model/CallerRequest.h"
#include "model/Error.h"
#include "wire/HttpResponseHead.h"

#include <Poco/Net/HTTPRequest.h>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace fulmarway {

namespace header {

inline constexpr const char* kDeadline = "Fulmarway-Deadline-Ms";
inline constexpr const char* kRootRequestId = "Fulmarway-Click";
inline constexpr const char* kAttempt = "Fulmarway-Attempt";
inline constexpr const char* kTicket = "Fulmarway-Ticket";
inline constexpr const char* kTicketFor = "Fulmarway-Ticket-For";
inline constexpr const char* kCallIndex = "Fulmarway-Call-Index";
inline constexpr const char* kParent = "Fulmarway-Parent";
inline constexpr const char* kVerdict = "Fulmarway-Verdict";
inline constexpr const char* kReason = "Fulmarway-Reason";
inline constexpr const char* kRetryAfter = "Retry-After";
/** The delay of Retry-After in milliseconds; Retry-After itself is rounded up to seconds. */
/** Of an answer of a backend server: "RUNNING,WAITING,SLOTS,WORK-TIME-PERCENT". */
inline constexpr const char* kLoad = "Fulmarway-Load";
/** Of an answer of a backend server: requests per second that it takes from all nodes together. */
inline constexpr const char* kRateLimit = "Fulmarway-Rate-Limit";
inline constexpr const char* kRetryAfterMs = "Fulmarway-Retry-After-Ms";

} // namespace header

/** A request that is refused before it reaches the reducer; this attempt has not run. */
struct InvalidRequest
{
  std::uint16_t status_ = 400;
  UserError error_;
  /** With a ticket, the verdict covers all attempts under it: an earlier one may have run. */
  Verdict verdict_ = Verdict::kNotRun;

  bool operator==(const InvalidRequest&) const = default;
};

/** Largest header block; a larger one is refused with status 431. */
inline constexpr std::size_t kMaxHeaderBytes = 16U << 10;

/** Reads the request line and headers of a caller's request. */
tl::expected<CallerRequest, InvalidRequest>
ParseCallerRequest(const Poco::Net::HTTPRequest& aHead, std::string aBody);

/** Sets status and headers and returns the body: that of the answer, or a line that explains the
 * refusal. */
std::string
FormatCallerReply(const CallerReply& aReply, HttpResponseHead& aHead);

std::string
FormatInvalidRequest(const InvalidRequest& aInvalid, HttpResponseHead& aHead);

std::uint16_t
StatusOf(const Refusal& aRefusal);

/** Sets the request line and headers for the local backend server. */
void
FormatBackendRequest(const BackendRequest& aRequest, Poco::Net::HTTPRequest& aHead);

/** Whether the backend server reports that it refused the request without executing it. */
bool
IsRefusedByBackend(const HttpResponseHead& aHead);

/** Parses the numbers of running and waiting requests, of slots, and the work time in percent,
 * separated by commas. The last one may be absent. nullopt for any other text, including numbers
 * out of range, so that an odd report is dropped without an effect on the answer. */
std::optional<BackendLoad>
ParseLoadList(std::string_view aText);

/** The load in the header kLoad. */
std::optional<BackendLoad>
ParseBackendLoad(const HttpResponseHead& aHead);

/** The signals in the header kRateLimit. */
BackendSignals
ParseBackendSignals(const HttpResponseHead& aHead);

} // namespace fulmarway
