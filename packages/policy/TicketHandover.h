/** \file
 * Transfer of ticket tables to a successor during a planned stop: splits the tables into message
 * parts on the sending node, and reassembles them on the receiving node.
 */
#pragma once

#include "model/PeerMessage.h"
#include "model/Time.h"
#include "policy/ExecutorTickets.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace fulmarway {

inline constexpr std::uint32_t kMaxHandoverParts = 4096;
/** Handovers that may be received concurrently. */
inline constexpr std::size_t kMaxIncompleteHandovers = 8;
/** Executors whose tickets one node may hold, including the local one. A rolling restart of a
 * ten-node service within the ticket window adds ten. */
inline constexpr std::size_t kMaxExecutorsPerNode = 256;
/** Accepted handovers are recorded until the process ends; when the limit is reached, further
 * handovers are refused. Without the record, a part that is received again after the tables have
 * expired would restore them. A node accepts about one handover a day. */
inline constexpr std::size_t kMaxAcceptedHandovers = 4096;
/** An incomplete handover expires when no part has arrived for this long. */
inline constexpr Duration kIncompleteHandoverTimeout = std::chrono::seconds(60);

/** The parts received so far from one node. */
struct IncompleteHandover
{
  std::uint32_t partCount_ = 1;
  std::map<std::uint32_t, Handover> parts_;
  std::size_t tickets_ = 0;
  std::size_t bytes_ = 0;
  Instant lastPartAt_;

  bool operator==(const IncompleteHandover&) const = default;
};

struct ReceivedHandovers
{
  std::map<ExecutorKey, IncompleteHandover> incomplete_;
  std::set<ExecutorKey> accepted_;

  bool operator==(const ReceivedHandovers&) const = default;
};

struct HandoverLimits
{
  std::size_t maxTickets_ = 0;
  std::size_t maxBytes_ = 0;
};

enum class PartOutcome : std::uint8_t
{
  /** Exceeds a limit or contradicts an earlier part; the part was not stored. */
  kRefused,
  kMissingParts,
  kComplete,
};

/** Stores one part of a handover that has not been accepted yet. If all incomplete handovers
 * together would exceed aLimits, refuses the part and discards the handover. */
PartOutcome
CollectPart(ReceivedHandovers& aReceived,
            const Handover& aPart,
            const HandoverLimits& aLimits,
            Instant aNow);

/** Removes a complete handover and returns its tables, merging those that were split over several
 * parts. */
std::vector<HandoverTable>
ExtractTables(ReceivedHandovers& aReceived, const ExecutorKey& aFrom);

/** Removes incomplete handovers after kIncompleteHandoverTimeout. */
void
ExpireIncompleteHandovers(ReceivedHandovers& aReceived, Instant aNow);

/** Restores the tickets of one executor from aTable and adds their answers to aCache. The epoch
 * clock continues from the epoch in aTable at aNow. */
ExecutorTickets
FromHandoverTable(const HandoverTable& aTable,
                  AnswerCache& aCache,
                  const AnswerCacheLimits& aLimits,
                  Instant aNow);

/** Splits the finished tickets of all executors into parts. Deterministic; returns at least one
 * part. Tables without tickets are included, because the right to execute tickets that have not
 * been presented yet is transferred with them. */
std::vector<Handover>
MakeHandoverParts(const ExecutorKey& aFrom,
                  const ExecutorKey& aSuccessor,
                  const ExecutorMap& aExecutors,
                  const AnswerCache& aCache,
                  std::size_t aMaxPartBytes);

} // namespace fulmarway
