/** \file
 * The executor's record of tickets. Each ticket reaches the backend server at most once.
 */
#pragma once

#include "model/Call.h"
#include "model/Ids.h"
#include "model/PeerMessage.h"
#include "model/Step.h"
#include "model/Time.h"
#include "policy/ExecutorTickets.h"
#include "policy/RememberedAnswers.h"
#include "policy/TicketHandover.h"
#include "policy/UnfinishedTickets.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace fulmarway {

struct TicketSettings
{
  Duration epochLength_ = std::chrono::seconds(30);
  /** Epochs that a ticket stays valid. */
  std::uint32_t windowEpochs_ = 40;
  std::size_t maxTickets_ = 65536;
  /** Bytes of all remembered bodies. */
  std::size_t maxAnswerBytes_ = 16U << 20;
  /** A larger body is not remembered. */
  std::size_t maxBodyBytes_ = 256U << 10;
  /** A part of a handover is closed at this size, so that calls on the same connection are not
   * delayed behind it for long. */
  std::size_t handoverPartBytes_ = 256U << 10;

  auto operator<=>(const TicketSettings&) const = default;
};

/** What to do with a request that carries a ticket. */
enum class TicketAction : std::uint8_t
{
  /** Recorded; offer it to admission, then call StartTicket() and CompleteTicket(), or
     CloseTicket(). */
  kRun,
  /** The same request is in progress; the requester gets its outcome. */
  kJoined,
  /** Send the remembered answer. */
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
  /** Set for kRefuse with Reason::kTicketMoved: where the ticket went. */
  NodeId successor_;

  bool operator==(const TicketDecision&) const = default;
};

/** Expired tickets that are dropped by one event, so that the end of a busy epoch does not delay
 * calls. AdvanceTickets() is called ten times a second, so this is 34 times the rate of requests.
 */
inline constexpr std::size_t kMaxDropsAtOnce = 1024;

struct TicketTable
{
  TicketSettings settings_;
  NodeId self_;
  Incarnation incarnation_;
  Instant startedAt_;
  /** The own tickets and those that were handed to this node. */
  ExecutorMap executors_;
  /** Entries of all executors. */
  std::size_t ticketCount_ = 0;
  UnfinishedTicketMap unfinished_;
  RememberedAnswers answers_;
  ReceivedHandovers received_;
  /** Set by BeginHandover(), never changed afterwards. */
  std::optional<ExecutorKey> successor_;
  bool handoverConfirmed_ = false;

  bool operator==(const TicketTable&) const = default;
};

TicketTable
MakeTicketTable(const TicketSettings& aSettings,
                NodeId aSelf,
                Incarnation aIncarnation,
                Instant aNow);

/** Epoch for new tickets of this incarnation. Starts at 1. */
std::uint32_t
CurrentEpoch(const TicketTable& aTable, Instant aNow);

/** A request with an authentic ticket has arrived. aDigest is RequestDigest() of the request.
 *
 * Refusals have no retryAfter_; the caller of this function sets it. A ticket more than one epoch
 * ahead is refused as kMayHaveRun, because it is not recorded and may run once its epoch comes. */
Step<TicketTable, TicketDecision>
PresentTicket(TicketTable aTable,
              const Ticket& aTicket,
              std::uint64_t aDigest,
              RequestId aRequester,
              Instant aNow);

/** Right before the request is passed to the backend server. False when the ticket must not run
 * (it is not recorded, was already started, or the table was handed over). */
Step<TicketTable, bool>
StartTicket(TicketTable aTable, const Ticket& aTicket);

/** The started request did not run: no byte of it was written to the backend server, or the backend
 * server states that it refused it. The ticket can be closed again. */
TicketTable
RevertStart(TicketTable aTable, const Ticket& aTicket);

/** The backend server answered. Returns all waiters. */
Step<TicketTable, Waiters>
CompleteTicket(TicketTable aTable, const Ticket& aTicket, const Answer& aAnswer);

/** Refused before StartTicket(): the ticket never runs, and repeats are refused with aReason.
 * Returns all waiters; none, without any effect, for a ticket that was started. */
Step<TicketTable, Waiters>
CloseTicket(TicketTable aTable, const Ticket& aTicket, Reason aReason);

/** The backend server's answer was lost: the ticket may have run. Returns all waiters. */
Step<TicketTable, Waiters>
AbandonTicket(TicketTable aTable, const Ticket& aTicket, Reason aReason);

/** A waiter went away. Returns how many are left, so that a queued request that nobody waits for
 * can be withdrawn and closed. */
Step<TicketTable, std::size_t>
LeaveTicket(TicketTable aTable, const Ticket& aTicket, RequestId aRequester);

/** Drops tickets that are older than the window. */
TicketTable
AdvanceTickets(TicketTable aTable, Instant aNow);

/** Tickets that are queued or running. */
std::size_t
UnfinishedTickets(const TicketTable& aTable);

/** Tickets that are remembered, for the metrics. */
std::size_t
TicketCount(const TicketTable& aTable);

/** What is recorded for a deeper call: the ticket to use for (parent, call index). */
struct ChildTicketRequest
{
  Ticket parent_;
  std::uint32_t callIndex_ = 0;
  /** A ticket for the executor that routing chose now; used only when none is recorded yet. */
  Ticket proposed_;

  bool operator==(const ChildTicketRequest&) const = default;
};

/** The recorded ticket of a deeper call; records the proposed one at the first time. nullopt when
 * the parent is not running here. */
Step<TicketTable, std::optional<Ticket>>
ChildTicket(TicketTable aTable, const ChildTicketRequest& aRequest);

/** aRefused was refused as not run, so a new ticket may be recorded for the call index. Has no
 * effect when another ticket is recorded by now, so that a repeated refusal does not release it. */
TicketTable
ReleaseChildTicket(TicketTable aTable,
                   const Ticket& aParent,
                   std::uint32_t aCallIndex,
                   const Ticket& aRefused);

/** Names the successor, once: from here on no ticket runs on this node. Returns the parts to send;
 * a repeated call with the same successor returns the same parts. Empty when another successor was
 * named before, when tickets are unfinished, or when aSuccessor is zero or this node. A successor
 * with another incarnation is another successor. */
Step<TicketTable, std::vector<Handover>>
BeginHandover(TicketTable aTable,
              NodeId aSuccessor,
              Incarnation aSuccessorIncarnation,
              Instant aNow);

/** Takes one part. True when all parts are here, also for a repeated part: acknowledge it. False
 * when parts are missing. nullopt when it cannot be accepted because it is meant for another
 * incarnation, this node handed its own tables over, or the tables would exceed the bounds. */
Step<TicketTable, std::optional<bool>>
AcceptHandover(TicketTable aTable, const Handover& aPart, Instant aNow);

/** The successor has acknowledged. Returns whether this ends the handover. */
Step<TicketTable, bool>
ConfirmHandover(TicketTable aTable, const HandoverAccepted& aAccepted);

/** Whether the table has the tickets of this run, its own or handed over. */
bool
HoldsTickets(const TicketTable& aTable, const ExecutorKey& aExecutor);

/** The named successor; zero before BeginHandover(). */
NodeId
SuccessorOf(const TicketTable& aTable);

} // namespace fulmarway
