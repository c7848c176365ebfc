/** \file
 * What is kept for a ticket only while it is queued or running: who waits for it, and the tickets
 * of its deeper calls.
 */
#pragma once

#include "model/Ids.h"
#include "model/Ticket.h"
#include "policy/ExecutorTickets.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fulmarway {

/** At most this many requests wait for one ticket; more repeats are refused. */
inline constexpr std::size_t kMaxWaiters = 64;
/** At most this many deeper calls are recorded for one ticket. */
inline constexpr std::size_t kMaxChildTickets = 256;

/** Requests that wait for a ticket, each to be sent the outcome. */
using Waiters = std::vector<RequestId>;

struct UnfinishedTicket
{
  Waiters waiters_;
  /** Tickets of deeper calls by call index. */
  std::map<std::uint32_t, Ticket> children_;

  bool operator==(const UnfinishedTicket&) const = default;
};

struct TicketHash
{
  std::size_t operator()(const Ticket& aTicket) const noexcept
  {
    return TicketKeyHash{}(KeyOf(aTicket));
  }
};

using UnfinishedTicketMap = std::unordered_map<Ticket, UnfinishedTicket, TicketHash>;

/** A request that waits already is not added again. False when there are too many. */
bool
AddWaiter(UnfinishedTicket& aTicket, RequestId aRequester);

/** The recorded ticket of the call index, or else aProposed, which is recorded. nullopt when there
 * are too many. */
std::optional<Ticket>
RecordChild(UnfinishedTicket& aTicket, std::uint32_t aCallIndex, const Ticket& aProposed);

/** Removes the record of the call index when it is aRefused. */
void
ReleaseChild(UnfinishedTicket& aTicket, std::uint32_t aCallIndex, const Ticket& aRefused);

} // namespace fulmarway
