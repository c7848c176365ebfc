/** \file
 * What is known about a request that got no ordinary answer: whether it may have run, and why.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace fulmarway {

/** Whether a request ran. For a request with a ticket the verdict speaks about the ticket. */
enum class Verdict : std::uint8_t
{
  /** It has not run and cannot run later. */
  kNotRun,
  /** It is unknown whether it ran, runs or will run. */
  kMayHaveRun,
  /** It ran to its end. */
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
  /** The node knows no configuration yet. */
  kNoConfiguration,
  /** The backend server stated that it did not run the request. */
  kRefusedByBackend,
  kAnswerNotKept,
};

inline constexpr std::uint8_t kReasonCount = static_cast<std::uint8_t>(Reason::kAnswerNotKept) + 1;

/** A refusal or failure as it travels between nodes and to the caller. */
struct Refusal
{
  Verdict verdict_ = Verdict::kNotRun;
  Reason reason_ = Reason::kNone;
  /** Earliest time for a repeat; nullopt where a repeat is not allowed. */
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
