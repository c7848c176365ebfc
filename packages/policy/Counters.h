/** \file
 * What a node counts. The event loop publishes the counters; the reducer only adds.
 */
#pragma once

#include "model/Importance.h"
#include "model/Verdict.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "model/Ids.h"
#include "model/Time.h"

namespace fulmarway {

enum class CounterId : std::uint8_t
{
  kCallsStarted,
  kCallsAnswered,
  kAttempts,
  kRetries,
  kHedges,
  kTicketRepeats,
  kTicketRedirects,
  kBackendStarts,
  kBackendAnswers,
  kBackendFailures,
  kCancellations,
  kPeerConnectionsLost,
  kGossipReceived,
  kGossipSent,
  kLogReads,
  kLogReadFailures,
  kLogAppends,
  kLogAppendFailures,
  kConfigFetches,
};

inline constexpr std::size_t kCounterCount =
  static_cast<std::size_t>(CounterId::kConfigFetches) + 1;

/** Name without the prefix "fulmarway_" and the suffix "_total". */
std::string_view
CounterName(CounterId aCounter);

/** Where a request was refused or failed. */
enum class RefusalSide : std::uint8_t
{
  kInbound,
  kOutbound,
};

/** "inbound" or "outbound". */
std::string_view
ToString(RefusalSide aSide);

struct RefusalKey
{
  RefusalSide side_ = RefusalSide::kInbound;
  std::string service_;
  std::string kind_;
  Importance importance_ = Importance::kNormal;
  Verdict verdict_ = Verdict::kNotRun;
  Reason reason_ = Reason::kNone;

  auto operator<=>(const RefusalKey&) const = default;
};

/** One decision about a request, for the operators' question "why". */
struct TraceEntry
{
  std::string clickId_;
  Instant at_;
  std::string service_;
  std::string kind_;
  RefusalSide side_ = RefusalSide::kInbound;
  Verdict verdict_ = Verdict::kNotRun;
  Reason reason_ = Reason::kNone;

  bool operator==(const TraceEntry&) const = default;
};

/** Refused and failed requests that are kept for "why". */
inline constexpr std::size_t kMaxTraceEntries = 4096;
/** Keys are bounded by the declared kinds, and unknown names are counted without their name. */
struct Counters
{
  std::array<std::uint64_t, kCounterCount> values_{};
  std::map<RefusalKey, std::uint64_t> refusals_;
  std::deque<TraceEntry> trace_;

  bool operator==(const Counters&) const = default;

  void Add(CounterId aCounter, std::uint64_t aCount = 1)
  {
    values_[static_cast<std::size_t>(aCounter)] += aCount;
  }

  std::uint64_t Value(CounterId aCounter) const
  {
    return values_[static_cast<std::size_t>(aCounter)];
  }
};

/** Counts a refusal or failure and remembers it for "why". */
void
NoteRefusal(Counters& aCounters, RefusalKey aKey, std::string aClickId, Instant aNow);

} // namespace fulmarway
