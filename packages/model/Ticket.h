/** \file
 * Tickets: idempotency keys that name the only node that may execute the request.
 */
#pragma once

#include "model/Error.h"
#include "model/Ids.h"
#include "model/Mac.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace fulmarway {

/** Names a non-idempotent request and its only executor. The MAC also covers service and kind. */
struct Ticket
{
  NodeId executor_;
  Incarnation incarnation_;
  /** The executor's ticket epoch at the time of issue, see TicketTable. */
  std::uint32_t epoch_ = 0;
  Bits128 nonce_;
  Bits128 mac_;

  auto operator<=>(const Ticket&) const = default;
};

/** The request kind for which a ticket is valid. */
struct TicketScope
{
  std::string_view service_;
  std::string_view kind_;
};

/** Issues a ticket with a valid MAC. */
Ticket
IssueTicket(const ClusterKey& aKey,
            TicketScope aScope,
            NodeId aExecutor,
            Incarnation aIncarnation,
            std::uint32_t aEpoch,
            Bits128 aNonce);

/** Nonce of the ticket of a downstream call, derived from the parent's ticket. aAttempt is the
 * number of tickets for the same call index that were refused as not run. */
Bits128
ChildNonce(const ClusterKey& aKey,
           const Ticket& aParent,
           std::uint32_t aCallIndex,
           std::uint32_t aAttempt);

bool
IsAuthentic(const ClusterKey& aKey, TicketScope aScope, const Ticket& aTicket);

/** Text form for headers: "t1" and five hexadecimal fields, separated by dots. */
std::string
FormatTicket(const Ticket& aTicket);

/** Parses the text form; the error names the malformed field. Does not verify the MAC. */
tl::expected<Ticket, UserError>
ParseTicket(std::string_view aText);

} // namespace fulmarway
