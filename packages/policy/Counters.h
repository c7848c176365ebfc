/** \file
 * Event counters of a node and a bounded trace of its refused and failed requests. The reducer only
 * increments counters; the event loop publishes them.
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
  kBackendReoffers,
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
  kCompletionProbes,
};

inline constexpr std::size_t kCounterCount =
  static_cast<std::size_t>(CounterId::kCompletionProbes) + 1;

/** Metric name without the prefix "fulmarway_" and the suffix "_total". */
std::string_view
CounterName(CounterId aCounter);

/** The role in which a request was refused or failed. */
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

/** A refused or failed request, as listed by the operator command "why". */
struct TraceEntry
{
  std::string rootRequestId_;
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

/** The number of refusal keys is bounded by the declared kinds: refusals of undeclared services and
 * kinds are counted under empty names. */
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

/** Counts a refusal or failure and appends it to the trace, which evicts its oldest entry when it
 * is full. */
void
RecordRefusal(Counters& aCounters, RefusalKey aKey, std::string aRootRequestId, Instant aNow);

} // namespace fulmarway
