/** \file
 * Outcome of a request that was refused or failed: whether it may have been executed, and the
 * reason.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace fulmarway {

/** Whether a request was executed. For a request with a ticket, the verdict covers all requests
 * with the ticket. */
enum class Verdict : std::uint8_t
{
  /** Not executed, and it will not be executed later. */
  kNotRun,
  /** Unknown whether the request was, is being or will be executed. */
  kMayHaveRun,
  /** Executed to completion. */
  kRan,
};

/** Why a request was refused or failed. */
enum class Reason : std::uint8_t
{
  kNone,
  kInvalidRequest,
  kUnknownService,
  kUnknownKind,
  kTooLarge,
  kTicketNeeded,
  kTicketInvalid,
  kTicketClosed,
  kTicketExpired,
  kTicketOfLostExecutor,
  kTicketTableFull,
  kTicketMoved,
  kRequestMismatch,
  kShedByLevel,
  kShedByQueue,
  kDeadline,
  kDraining,
  kNoBackendServer,
  kBackendUnreachable,
  kBackendLost,
  kConnectionLost,
  kRepeatLimit,
  kCancelled,
  kTooDeep,
  /** The node has not received a configuration yet. */
  kNoConfiguration,
  /** The backend server reported that it did not execute the request. */
  kRefusedByBackend,
  kAnswerNotKept,
  /** No client account has the key, or the request has none. */
  kUnknownKey,
  /** The node cannot prove that its configuration is recent enough to accept keys. */
  kNoKeyLease,
  kOverQuota,
  /** No node could tell whether the account has quota left. */
  kQuotaUnavailable,
  /** The request has little chance to complete, because its required calls are being refused. */
  kUnlikelyToComplete,
};

inline constexpr std::uint8_t kReasonCount =
  static_cast<std::uint8_t>(Reason::kUnlikelyToComplete) + 1;

/** A refusal or failure, sent between nodes and to the caller. */
struct Refusal
{
  Verdict verdict_ = Verdict::kNotRun;
  Reason reason_ = Reason::kNone;
  /** Minimum delay before a retry; nullopt if the request must not be retried. */
  std::optional<Duration> retryAfter_;

  bool operator==(const Refusal&) const = default;
};

std::string_view
ToString(Verdict aVerdict);

std::string_view
ToString(Reason aReason);

std::optional<Verdict>
ParseVerdict(std::string_view aText);

} // namespace fulmarway
