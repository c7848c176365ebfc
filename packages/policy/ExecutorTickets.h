/** \file
 * The tickets issued for one incarnation of an executor, grouped by epoch, and that incarnation's
 * epoch clock.
 */
#pragma once

#include "model/Ids.h"
#include "model/PeerMessage.h"
#include "model/Ticket.h"
#include "model/Time.h"
#include "model/Verdict.h"
#include "policy/AnswerCache.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace fulmarway {

/** One incarnation of one executor. */
struct ExecutorKey
{
  NodeId executor_;
  Incarnation incarnation_;

  auto operator<=>(const ExecutorKey&) const = default;
};

struct ExecutorKeyHash
{
  std::size_t operator()(const ExecutorKey& aKey) const noexcept
  {
    return std::hash<Bits128>{}(aKey.incarnation_) ^ aKey.executor_.value_;
  }
};

/** Identifies a ticket among those of the same executor and epoch. */
struct TicketKey
{
  Bits128 nonce_;
  Bits128 mac_;

  auto operator<=>(const TicketKey&) const = default;
};

struct TicketKeyHash
{
  std::size_t operator()(const TicketKey& aKey) const noexcept
  {
    return std::hash<Bits128>{}(aKey.nonce_) ^ aKey.mac_.low_;
  }
};

enum class TicketPhase : std::uint8_t
{
  /** Recorded, but not yet sent to the backend server. */
  kQueued,
  kRunning,
  kFinished,
};

struct TicketEntry
{
  std::uint64_t digest_ = 0;
  /** Valid for TicketFinalState::kAnswered. The cache may have evicted the answer since. */
  AnswerNumber answer_ = kNoAnswer;
  TicketPhase phase_ = TicketPhase::kQueued;
  /** Valid for TicketPhase::kFinished. */
  TicketFinalState finalState_ = TicketFinalState::kClosed;
  Reason reason_ = Reason::kNone;

  bool operator==(const TicketEntry&) const = default;
};

/** The tickets of one epoch. All of them expire at the same time, so expiry needs no index by time.
 */
struct EpochTickets
{
  std::unordered_map<TicketKey, TicketEntry, TicketKeyHash> entries_;
  /** Bit mask of the closed buckets, see BucketOf(). A bucket is closed when one of its tickets is
   * refused as not run because the table is full. The refused ticket has no entry, so from then on
   * no ticket of the bucket without an entry may execute. Closing single buckets rather than the
   * entire epoch limits the effect of a short shortage. */
  std::uint64_t closedBuckets_ = 0;

  bool operator==(const EpochTickets&) const = default;
};

/** The bit of the ticket's bucket in EpochTickets::closedBuckets_. */
constexpr std::uint64_t
BucketOf(const TicketKey& aKey)
{
  constexpr std::uint64_t kBuckets = 64;
  return std::uint64_t{ 1 } << (aKey.mac_.low_ % kBuckets);
}

struct ExecutorTickets
{
  /** The epoch at `baseTime_`. */
  std::uint32_t baseEpoch_ = 1;
  Instant baseTime_;
  /** The highest epoch used so far. The epoch never falls below it, even if the clock goes back, so
   * that a ticket whose entry was removed on expiry stays expired. */
  std::uint32_t latestEpoch_ = 1;
  std::map<std::uint32_t, EpochTickets> epochs_;

  bool operator==(const ExecutorTickets&) const = default;
};

using ExecutorMap = std::unordered_map<ExecutorKey, ExecutorTickets, ExecutorKeyHash>;

ExecutorKey
ExecutorOf(const Ticket& aTicket);

TicketKey
KeyOf(const Ticket& aTicket);

/** The executor's epoch at aNow, never below latestEpoch_. */
std::uint32_t
EpochAt(const ExecutorTickets& aTickets, Duration aEpochLength, Instant aNow);

/** nullptr when the ticket has no entry. */
TicketEntry*
FindEntry(ExecutorTickets& aTickets, const Ticket& aTicket);

/** Whether a ticket of aEpoch is outside the validity window at aCurrentEpoch. */
constexpr bool
IsExpired(std::uint32_t aEpoch, std::uint32_t aCurrentEpoch, std::uint32_t aWindowEpochs)
{
  return std::uint64_t{ aEpoch } + aWindowEpochs < aCurrentEpoch;
}

/** Adds a queued entry for a ticket that has none. */
void
AddEntry(ExecutorTickets& aTickets, const Ticket& aTicket, std::uint64_t aDigest);

/** Removes at most aBudget finished tickets of expired epochs together with their cached answers.
 * Returns the number removed. Unfinished tickets stay until they are finished. */
std::size_t
ExpireTickets(ExecutorTickets& aTickets,
              AnswerCache& aCache,
              std::uint32_t aWindowEpochs,
              std::size_t aBudget);

/** Whether every ticket of a stopped executor has expired and been removed, so that the executor's
 * tickets need not be held any longer. No ticket is issued for a stopped executor after the epoch
 * in which its table was handed over, and no other node is more than one epoch ahead. */
bool
AllTicketsExpired(const ExecutorTickets& aTickets, std::uint32_t aWindowEpochs);

} // namespace fulmarway
