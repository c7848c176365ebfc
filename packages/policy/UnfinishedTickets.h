/** \file
 * State of a ticket that is needed only while it is queued or running: the requests that wait for
 * the outcome, and the tickets of its downstream calls.
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

/** Requests that may wait for one ticket; further ticket retries are refused. */
inline constexpr std::size_t kMaxWaitersPerTicket = 64;
/** Downstream calls whose tickets may be recorded for one ticket. */
inline constexpr std::size_t kMaxChildTicketsPerParent = 256;

/** Requests to which the outcome of a ticket will be sent. */
using Waiters = std::vector<RequestId>;

struct UnfinishedTicket
{
  Waiters waiters_;
  /** Tickets of the downstream calls by call index. */
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

/** Adds aRequester unless it is already waiting. Returns false if the limit is reached. */
bool
AddWaiter(UnfinishedTicket& aTicket, RequestId aRequester);

/** Returns the ticket recorded for the call index; if there is none, records and returns aProposed.
 * Returns nullopt if the limit is reached. */
std::optional<Ticket>
FindOrInsertChild(UnfinishedTicket& aTicket, std::uint32_t aCallIndex, const Ticket& aProposed);

/** Removes the ticket recorded for the call index if it is aRefused. */
void
ReleaseChild(UnfinishedTicket& aTicket, std::uint32_t aCallIndex, const Ticket& aRefused);

} // namespace fulmarway
