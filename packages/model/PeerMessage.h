/** \file
 * Messages between nodes. Calls, hand-over and configuration travel over TCP, gossip over UDP.
 */
#pragma once

#include "model/Call.h"
#include "model/Config.h"
#include "model/Member.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fulmarway {

/** Asks the receiver to run a request on its backend server. */
struct CallRequest
{
  /** Chosen by the sender; answers carry it back. */
  AttemptId attempt_;
  Request request_;
  /** Time left when the message was written. */
  Duration remaining_{ 0 };
  /** Extra attempts that the receiver may spend on deeper calls. */
  std::uint32_t lentTokens_ = 0;
  /** Another node was offered the request before and counts it in its load. */
  bool offeredBefore_ = false;

  bool operator==(const CallRequest&) const = default;
};

/** How the receiver of a call is doing; rides on every answer. */
struct LoadReport
{
  /** The lower one of the receiver's own level and `deeperLevel_`. */
  AdmissionLevel level_;
  std::uint32_t limit_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  /** Of the services that requests of this kind need; the same for all backend servers of the
   * receiver's service, as far as they know. */
  AdmissionLevel deeperLevel_;

  bool operator==(const LoadReport&) const = default;
};

/** A whole answer, or its head when `bodyBytes_` is larger than the body it carries. */
struct CallAnswer
{
  AttemptId attempt_;
  Answer answer_;
  /** Length of the whole body; the rest follows in CallAnswerPart messages. */
  std::uint64_t bodyBytes_ = 0;
  std::uint32_t returnedTokens_ = 0;
  LoadReport load_;

  bool operator==(const CallAnswer&) const = default;
};

/** The next part of a body. Parts of several answers are interleaved on one connection. */
struct CallAnswerPart
{
  AttemptId attempt_;
  std::uint64_t offset_ = 0;
  std::string bytes_;

  bool operator==(const CallAnswerPart&) const = default;
};

/** The call ended without an answer. */
struct CallRefused
{
  AttemptId attempt_;
  Refusal refusal_;
  std::uint32_t returnedTokens_ = 0;
  /** The holder of the ticket after a planned stop; zero when unknown. */
  NodeId successor_;
  LoadReport load_;

  bool operator==(const CallRefused&) const = default;
};

/** The sender no longer waits for the call. */
struct CallCancelled
{
  AttemptId attempt_;

  bool operator==(const CallCancelled&) const = default;
};

/** Asks for a Pong; a connection without any byte in return is given up. */
struct Ping
{
  std::uint64_t number_ = 0;

  bool operator==(const Ping&) const = default;
};

struct Pong
{
  std::uint64_t number_ = 0;

  bool operator==(const Pong&) const = default;
};

/** The final state of a ticket. */
enum class TicketFate : std::uint8_t
{
  /** Refused before it was passed to the backend server; never runs. */
  kClosed,
  /** Ran; the answer is remembered. */
  kAnswered,
  /** Ran; the answer was too large to keep. */
  kAnsweredNotKept,
  /** Passed to the backend server, and its answer was lost. */
  kMayHaveRun,
};

/** One finished ticket as it is handed to a successor. */
struct HandedTicket
{
  Ticket ticket_;
  std::uint64_t digest_ = 0;
  TicketFate fate_ = TicketFate::kClosed;
  Reason reason_ = Reason::kNone;
  Answer answer_;

  bool operator==(const HandedTicket&) const = default;
};

/** Part of the tickets of one epoch, see EpochTickets::closedBuckets_. */
struct ClosedBuckets
{
  std::uint32_t epoch_ = 0;
  std::uint64_t buckets_ = 0;

  bool operator==(const ClosedBuckets&) const = default;
};

/** All tickets of one incarnation. */
struct HandedTable
{
  NodeId executor_;
  Incarnation incarnation_;
  /** The executor's epoch when the message was made. */
  std::uint32_t epoch_ = 0;
  std::vector<HandedTicket> tickets_;
  /** Tickets of these buckets that are not listed never run: one of them was refused as not run
   * when the table was full. */
  std::vector<ClosedBuckets> closed_;

  bool operator==(const HandedTable&) const = default;
};

/** One part of the ticket tables of a node that stops. The receiver becomes the executor of all
 * their tickets once it has every part. */
struct Handover
{
  NodeId from_;
  Incarnation incarnation_;
  /** The only receiver that may accept. The incarnation keeps a repeated transfer from reaching a
   * restarted successor, which does not know what its predecessor ran after it had accepted. */
  NodeId successor_;
  Incarnation successorIncarnation_;
  std::uint32_t part_ = 0;
  std::uint32_t partCount_ = 1;
  std::vector<HandedTable> tables_;

  bool operator==(const Handover&) const = default;
};

/** The receiver has all parts and is the executor now. Both fields repeat those of the Handover. */
struct HandoverAccepted
{
  NodeId from_;
  Incarnation incarnation_;

  bool operator==(const HandoverAccepted&) const = default;
};

/** Asks for the configuration changes from an offset on. */
struct ConfigRequest
{
  std::uint64_t nextOffset_ = 0;
  std::uint64_t version_ = 0;

  bool operator==(const ConfigRequest&) const = default;
};

/** The command records from the requested offset on, or the whole state. */
struct ConfigReply
{
  std::optional<ConfigState> state_;
  std::vector<OffsetRecord> records_;
  /** Offset up to which the sender has read; covers records of other kinds too. */
  std::uint64_t nextOffset_ = 0;

  bool operator==(const ConfigReply&) const = default;
};

/** First message on a connection: who is speaking. */
struct Hello
{
  NodeId node_;
  Incarnation incarnation_;

  bool operator==(const Hello&) const = default;
};

using PeerMessage = std::variant<Hello,
                                 CallRequest,
                                 CallAnswer,
                                 CallAnswerPart,
                                 CallRefused,
                                 CallCancelled,
                                 Ping,
                                 Pong,
                                 Handover,
                                 HandoverAccepted,
                                 ConfigRequest,
                                 ConfigReply>;

/** Asks whether the receiver is alive. */
struct Probe
{
  std::uint64_t number_ = 0;
  /** Node that asked for an indirect probe; zero for a direct one. */
  NodeId onBehalfOf_;

  bool operator==(const Probe&) const = default;
};

struct ProbeAck
{
  std::uint64_t number_ = 0;
  /** The node that was probed. */
  NodeId subject_;

  bool operator==(const ProbeAck&) const = default;
};

/** Asks the receiver to probe another node and to pass the answer on. */
struct ProbeRequest
{
  std::uint64_t number_ = 0;
  NodeId target_;

  bool operator==(const ProbeRequest&) const = default;
};

/** Hash over the records of one failure domain. */
struct DomainDigest
{
  std::string domain_;
  std::uint64_t hash_ = 0;

  bool operator==(const DomainDigest&) const = default;
};

/** What the sender knows; the receiver answers with the records of domains that differ. */
struct DigestExchange
{
  std::vector<DomainDigest> digests_;

  bool operator==(const DigestExchange&) const = default;
};

/** Identity and version of one record, so that only differing records travel. */
struct RecordSummary
{
  NodeId node_;
  std::uint64_t generation_ = 0;
  std::uint32_t sequence_ = 0;
  MemberState state_ = MemberState::kJoining;

  bool operator==(const RecordSummary&) const = default;
};

/** The versions of all records of some domains. The receiver sends newer records back and asks for
 * those that it lacks. */
struct SummaryExchange
{
  std::vector<RecordSummary> summaries_;

  bool operator==(const SummaryExchange&) const = default;
};

/** Asks for the records of these nodes. */
struct RecordsRequest
{
  std::vector<NodeId> nodes_;

  bool operator==(const RecordsRequest&) const = default;
};

/** Carries only the updates of the envelope. */
struct RecordsReply
{
  bool operator==(const RecordsReply&) const = default;
};

using GossipBody = std::variant<Probe,
                                ProbeAck,
                                ProbeRequest,
                                DigestExchange,
                                SummaryExchange,
                                RecordsRequest,
                                RecordsReply>;

/** One datagram. */
struct GossipMessage
{
  NodeId sender_;
  Incarnation incarnation_;
  /** Where to reply, since records of the sender may not be known yet. */
  std::string senderAddress_;
  /** The configuration version that the sender has in force. */
  std::uint64_t configVersion_ = 0;
  GossipBody body_;
  std::vector<MemberRecord> updates_;

  bool operator==(const GossipMessage&) const = default;
};

} // namespace fulmarway
