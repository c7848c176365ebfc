/** \file
 * The executor's table of tickets, which ensures that each request with a ticket is executed at
 * most once. A retry joins the execution in flight or gets its cached answer.
 */
#pragma once

#include "model/Call.h"
#include "model/Ids.h"
#include "model/PeerMessage.h"
#include "model/Step.h"
#include "model/Time.h"
#include "policy/AnswerCache.h"
#include "policy/ExecutorTickets.h"
#include "policy/TicketHandover.h"
#include "policy/UnfinishedTickets.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace fulmarway {

struct TicketSettings
{
  Duration epochLength_ = std::chrono::seconds(30);
  /** Number of epochs for which a ticket stays valid. */
  std::uint32_t windowEpochs_ = 40;
  std::size_t maxTickets_ = 65536;
  /** Total size of the cached answers. */
  std::size_t maxAnswerBytes_ = 16U << 20;
  /** An answer with a larger body is not cached. */
  std::size_t maxBodyBytes_ = 256U << 10;
  /** Maximum size of one handover message, so that it does not delay calls on the same connection
   * for long. A ticket that is larger on its own is still sent. */
  std::size_t maxHandoverPartBytes_ = 256U << 10;

  auto operator<=>(const TicketSettings&) const = default;
};

/** What to do with a request that carries a ticket. */
enum class TicketAction : std::uint8_t
{
  /** A new ticket was recorded. Submit the request to admission, then call StartTicket() and
   * CompleteTicket(), or CloseTicket() if it is refused. */
  kExecute,
  /** The same request is in flight; the requester was added to its waiters. */
  kJoined,
  /** Send the cached answer. */
  kReplay,
  /** Send the refusal. */
  kRefuse,
};

struct TicketDecision
{
  TicketAction action_ = TicketAction::kRefuse;
  /** Set for kReplay. */
  std::optional<Answer> answer_;
  /** Set for kRefuse. */
  Refusal refusal_;
  /** Set for kRefuse with Reason::kTicketMoved: the node to which the ticket was handed over. */
  NodeId successor_;

  bool operator==(const TicketDecision&) const = default;
};

/** Maximum number of expired tickets removed in one event, so that the end of a busy epoch does not
 * delay calls. AdvanceTickets() is called ten times a second, so this is 34 times the request rate.
 */
inline constexpr std::size_t kMaxExpirationsPerEvent = 1024;

struct TicketTable
{
  TicketSettings settings_;
  NodeId self_;
  Incarnation incarnation_;
  Instant startedAt_;
  /** The tickets of this incarnation and those handed over to it. */
  ExecutorMap executors_;
  /** Total number of entries of all executors. */
  std::size_t ticketCount_ = 0;
  UnfinishedTicketMap unfinished_;
  AnswerCache answerCache_;
  ReceivedHandovers received_;
  /** Set once by BeginHandover(). */
  std::optional<ExecutorKey> successor_;
  bool handoverConfirmed_ = false;

  bool operator==(const TicketTable&) const = default;
};

TicketTable
MakeTicketTable(const TicketSettings& aSettings,
                NodeId aSelf,
                Incarnation aIncarnation,
                Instant aNow);

/** The epoch for new tickets of this incarnation, starting at 1. */
std::uint32_t
CurrentEpoch(const TicketTable& aTable, Instant aNow);

/** Decides how to handle a request that arrived with an authentic ticket, and records the ticket if
 * it is new. aDigest is the RequestDigest() of the request.
 *
 * Refusals have no retryAfter_; the caller of this function sets it. A ticket more than one epoch
 * ahead is refused as kMayHaveRun rather than kNotRun, because it is not recorded and can still
 * execute when its epoch has come. */
Step<TicketTable, TicketDecision>
PresentTicket(TicketTable aTable,
              const Ticket& aTicket,
              std::uint64_t aDigest,
              RequestId aRequester,
              Instant aNow);

/** Must be called right before the request is sent to the backend server. Returns false if the
 * request must not be sent: the ticket is not recorded or no longer queued, or the table was handed
 * over. */
Step<TicketTable, bool>
StartTicket(TicketTable aTable, const Ticket& aTicket);

/** Returns a started ticket to the queued phase, so that it can be closed as not run. Only for a
 * request that did not execute: no byte of it was written to the backend server, or the backend
 * server reports that it refused it. */
TicketTable
RevertStart(TicketTable aTable, const Ticket& aTicket);

/** Finishes a running ticket with the answer of the backend server. Returns all waiters. */
Step<TicketTable, Waiters>
CompleteTicket(TicketTable aTable, const Ticket& aTicket, const Answer& aAnswer);

/** Finishes a queued ticket as not run; it will never execute, and ticket retries are refused with
 * aReason. Returns all waiters. Has no effect and returns none if the ticket is not queued. */
Step<TicketTable, Waiters>
CloseTicket(TicketTable aTable, const Ticket& aTicket, Reason aReason);

/** Finishes a ticket as kMayHaveRun because the answer of the backend server was lost. Returns all
 * waiters. */
Step<TicketTable, Waiters>
AbandonTicket(TicketTable aTable, const Ticket& aTicket, Reason aReason);

/** Removes a waiter that no longer needs the outcome. Returns the number of remaining waiters, so
 * that a queued request without waiters can be withdrawn and closed. */
Step<TicketTable, std::size_t>
RemoveTicketWaiter(TicketTable aTable, const Ticket& aTicket, RequestId aRequester);

/** Periodic work: advances the epoch clocks and removes expired tickets and incomplete handovers.
 */
TicketTable
AdvanceTickets(TicketTable aTable, Instant aNow);

/** The number of queued and running tickets. */
std::size_t
CountUnfinishedTickets(const TicketTable& aTable);

/** The number of recorded tickets of all executors, for the metrics. */
std::size_t
TicketCount(const TicketTable& aTable);

/** Identifies a downstream call by (parent, call index), with a ticket to use if none is recorded.
 */
struct ChildTicketRequest
{
  Ticket parent_;
  std::uint32_t callIndex_ = 0;
  /** A ticket for the executor that routing has just selected. */
  Ticket proposed_;

  bool operator==(const ChildTicketRequest&) const = default;
};

/** Returns the ticket recorded for a downstream call; if there is none, records and returns the
 * proposed one. Returns nullopt if the parent is not running on this node or has reached
 * kMaxChildTicketsPerParent. */
Step<TicketTable, std::optional<Ticket>>
FindOrInsertChildTicket(TicketTable aTable, const ChildTicketRequest& aRequest);

/** Removes the ticket recorded for a downstream call after it was refused as not run, so that a new
 * one can be recorded. Has no effect if a different ticket is recorded, so that a duplicate refusal
 * does not release the new one. */
TicketTable
ReleaseChildTicket(TicketTable aTable,
                   const Ticket& aParent,
                   std::uint32_t aCallIndex,
                   const Ticket& aRefused);

/** Sets the successor; from then on no ticket is executed on this node. Returns the parts to send,
 * and the same parts again if called again with the same successor. Returns no parts and changes
 * nothing if a different node or incarnation is already the successor, if there are unfinished
 * tickets, or if aSuccessor is zero or this node. */
Step<TicketTable, std::vector<Handover>>
BeginHandover(TicketTable aTable,
              NodeId aSuccessor,
              Incarnation aSuccessorIncarnation,
              Instant aNow);

/** Processes one part of a handover to this node. Returns true if the handover is complete, also
 * for a duplicate part, and must be acknowledged; false if parts are missing; nullopt if it cannot
 * be accepted: it is addressed to a different incarnation, this node has itself handed over its
 * tables, the part is malformed, or a table is already held or would exceed the limits. */
Step<TicketTable, std::optional<bool>>
ReceiveHandoverPart(TicketTable aTable, const Handover& aPart, Instant aNow);

/** Processes the successor's acknowledgment. Returns true for the first one that matches this
 * incarnation's handover. */
Step<TicketTable, bool>
ConfirmHandover(TicketTable aTable, const HandoverAccepted& aAccepted);

/** Whether this node holds the tickets of aExecutor, either issued for it or handed over to it. */
bool
HoldsTickets(const TicketTable& aTable, const ExecutorKey& aExecutor);

/** The successor set by BeginHandover(); zero before. */
NodeId
SuccessorOf(const TicketTable& aTable);

} // namespace fulmarway
