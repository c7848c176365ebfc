/** \file
 * The messages of a planned stop: splitting ticket tables into parts and collecting the parts.
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
/** Handovers that are received at the same time. */
inline constexpr std::size_t kMaxIncompleteHandovers = 8;
/** Executors whose tickets one node holds, its own included. A rolling restart of a service of ten
 * nodes within the ticket window adds ten. */
inline constexpr std::size_t kMaxExecutors = 256;
/** Accepted handovers are remembered as long as the process runs, because a repeated part that
 * arrives after the tables have expired must not bring them back. A node accepts about one a day;
 * further ones are refused. */
inline constexpr std::size_t kMaxAcceptedHandovers = 4096;
/** An incomplete handover is dropped when no part has arrived for this long. */
inline constexpr Duration kIncompleteHandoverTimeout = std::chrono::seconds(60);

/** Parts that have arrived from one node. */
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
  /** Out of bounds or contradicts an earlier part; nothing was kept. */
  kRefused,
  kMissingParts,
  kComplete,
};

/** Collects a part of a handover that has not been accepted. */
PartOutcome
CollectPart(ReceivedHandovers& aReceived,
            const Handover& aPart,
            const HandoverLimits& aLimits,
            Instant aNow);

/** Removes and returns the tables of a complete handover; those split over parts are joined. */
std::vector<HandedTable>
TakeTables(ReceivedHandovers& aReceived, const ExecutorKey& aFrom);

void
DropStaleHandovers(ReceivedHandovers& aReceived, Instant aNow);

/** Takes over the tickets of one executor. Its epoch clock goes on from the handed epoch at aNow.
 */
ExecutorTickets
FromHandedTable(const HandedTable& aTable,
                RememberedAnswers& aAnswers,
                const AnswerLimits& aLimits,
                Instant aNow);

/** All finished tickets in parts; at least one part, and the same parts for equal arguments. Tables
 * without tickets are included, since the right to run tickets that were never presented moves with
 * them. */
std::vector<Handover>
MakeHandover(const ExecutorKey& aFrom,
             const ExecutorKey& aSuccessor,
             const ExecutorMap& aExecutors,
             const RememberedAnswers& aAnswers,
             std::size_t aPartBytes);

} // namespace fulmarway
