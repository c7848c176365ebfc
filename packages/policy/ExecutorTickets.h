/** \file
 * The tickets of one incarnation of one executor, with that incarnation's epoch clock.
 */
#pragma once

#include "model/Ids.h"
#include "model/PeerMessage.h"
#include "model/Ticket.h"
#include "model/Time.h"
#include "model/Verdict.h"
#include "policy/RememberedAnswers.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace fulmarway {

/** One run of one executor. */
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

/** What tells the tickets of one executor and epoch apart. */
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
  /** Recorded; not passed to the backend server yet. */
  kQueued,
  kRunning,
  kFinished,
};

struct TicketEntry
{
  std::uint64_t digest_ = 0;
  /** For TicketFate::kAnswered. The answer may have been dropped to make room for later ones. */
  AnswerNumber answer_ = kNoAnswer;
  TicketPhase phase_ = TicketPhase::kQueued;
  /** Valid for TicketPhase::kFinished. */
  TicketFate fate_ = TicketFate::kClosed;
  Reason reason_ = Reason::kNone;

  bool operator==(const TicketEntry&) const = default;
};

/** The tickets of one epoch. They expire together, so expiry needs no index. */
struct EpochTickets
{
  std::unordered_map<TicketKey, TicketEntry, TicketKeyHash> entries_;
  /** One bit for each bucket, see BucketOf(). The bit is set when a ticket of the bucket was
   * refused as not run because the table was full. That ticket has no entry, so no ticket of the
   * bucket without an entry may run from then on. Buckets keep a short shortage from closing the
   * epoch. */
  std::uint64_t closedBuckets_ = 0;

  bool operator==(const EpochTickets&) const = default;
};

/** The bit of a ticket's bucket in EpochTickets::closedBuckets_. */
constexpr std::uint64_t
BucketOf(const TicketKey& aKey)
{
  constexpr std::uint64_t kBuckets = 64;
  return std::uint64_t{ 1 } << (aKey.mac_.low_ % kBuckets);
}

struct ExecutorTickets
{
  /** The epoch at `since_`. */
  std::uint32_t baseEpoch_ = 1;
  Instant since_;
  /** The highest epoch used so far. The clock never falls below it, so that a ticket that was
   * dropped as expired stays expired. */
  std::uint32_t latestEpoch_ = 1;
  std::map<std::uint32_t, EpochTickets> epochs_;

  bool operator==(const ExecutorTickets&) const = default;
};

using ExecutorMap = std::unordered_map<ExecutorKey, ExecutorTickets, ExecutorKeyHash>;

ExecutorKey
ExecutorOf(const Ticket& aTicket);

TicketKey
KeyOf(const Ticket& aTicket);

/** The executor's epoch at aNow. */
std::uint32_t
EpochAt(const ExecutorTickets& aTickets, Duration aEpochLength, Instant aNow);

/** nullptr when the ticket has no entry. */
TicketEntry*
FindEntry(ExecutorTickets& aTickets, const Ticket& aTicket);

/** Whether a ticket of aEpoch is too old at aCurrentEpoch. */
constexpr bool
IsExpired(std::uint32_t aEpoch, std::uint32_t aCurrentEpoch, std::uint32_t aWindowEpochs)
{
  return std::uint64_t{ aEpoch } + aWindowEpochs < aCurrentEpoch;
}

/** Records a ticket that has no entry as queued. */
void
AddEntry(ExecutorTickets& aTickets, const Ticket& aTicket, std::uint64_t aDigest);

/** Drops at most aBudget finished tickets of expired epochs, with their answers. Returns how many.
 * Unfinished tickets stay until they are finished. */
std::size_t
DropExpired(ExecutorTickets& aTickets,
            RememberedAnswers& aAnswers,
            std::uint32_t aWindowEpochs,
            std::size_t aBudget);

/** Whether every ticket of a stopped executor has expired and was dropped. An executor that has
 * stopped issues no tickets after the epoch in which its table was handed over, and no other node
 * is more than one epoch ahead. */
bool
IsSpent(const ExecutorTickets& aTickets, std::uint32_t aWindowEpochs);

} // namespace fulmarway
