/** \file
 * Messages between nodes. Calls, handover and configuration use TCP, gossip uses UDP.
 */
#pragma once

#include "model/Call.h"
#include "model/Config.h"
#include "model/Member.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fulmarway {

/** Asks the receiver to execute a request on its backend server. */
struct CallRequest
{
  /** Chosen by the sender; all replies contain it. */
  AttemptId attempt_;
  Request request_;
  /** Time until the deadline when the message was serialized. */
  Duration remaining_{ 0 };
  /** Retry tokens that the receiver may spend on downstream calls. */
  std::uint32_t reservedTokens_ = 0;
  /** The request was already sent to another node, which counts it in its offered load. */
  bool offeredBefore_ = false;
  /** A backend server may already have worked on this request, or on the request that makes this
   * call. The calls that it makes count as retries too. */
  bool repeat_ = false;
  /** The request may be executed more than once. */
  bool idempotent_ = false;

  bool operator==(const CallRequest&) const = default;
};

/** A share of requests for each class, by Importance, in thousandths. */
struct ImportanceShares
{
  static constexpr std::uint16_t kWhole = 1000;

  std::array<std::uint16_t, kImportanceCount> perMille_ = { kWhole, kWhole, kWhole, kWhole };

  bool operator==(const ImportanceShares&) const = default;
};

/** How many of the requests of a kind complete now, as far as refusals are concerned. */
struct CompletionShares
{
  /** Arrivals of all kinds at the receiver that it accepts. Above the whole where it also accepts
   * arrivals that another node refused before, which count as arrivals only there. */
  ImportanceShares accepted_;
  /** Accepted requests of this kind whose required downstream calls are all accepted, and those
   * below them. */
  ImportanceShares downstream_;

  bool operator==(const CompletionShares&) const = default;
};

/** Load of the receiver of a call; piggybacked on every answer and refusal. */
struct LoadReport
{
  /** The minimum of the receiver's local admission level and `downstreamLevel_`. */
  AdmissionLevel level_;
  std::uint32_t limit_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  /** The lowest admission level of the downstream services that requests of this kind require, as
   * observed by the receiver. It does not depend on which node of the service is asked. */
  AdmissionLevel downstreamLevel_;
  /** Mean time that requests of this kind take on the receiver's backend server, with their
   * downstream calls; zero while unknown. */
  Duration serviceTime_{ 0 };
  CompletionShares completion_;

  bool operator==(const LoadReport&) const = default;
};

/** A complete answer, or the first part of one if `bodyBytes_` exceeds the size of the body in this
 * message. */
struct CallAnswer
{
  AttemptId attempt_;
  Answer answer_;
  /** Size of the complete body; CallAnswerPart messages carry the rest. */
  std::uint64_t bodyBytes_ = 0;
  std::uint32_t returnedTokens_ = 0;
  LoadReport load_;

  bool operator==(const CallAnswer&) const = default;
};

/** A further part of a body. Parts of several answers may be interleaved on one connection. */
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
  /** The node that holds the ticket after a planned stop; zero when unknown. */
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

/** Keep-alive ping. The connection is closed if the peer sends nothing in return. */
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
enum class TicketFinalState : std::uint8_t
{
  /** Refused before the request was sent to the backend server; never executed. */
  kClosed,
  /** Executed; the answer is cached. */
  kAnswered,
  /** Executed; the answer is not cached, because it was too large or was evicted. */
  kAnsweredNotCached,
  /** Sent to the backend server, whose answer was lost. */
  kMayHaveRun,
};

/** A finished ticket, transferred to a successor. */
struct HandoverTicket
{
  Ticket ticket_;
  std::uint64_t digest_ = 0;
  TicketFinalState finalState_ = TicketFinalState::kClosed;
  Reason reason_ = Reason::kNone;
  Answer answer_;

  bool operator==(const HandoverTicket&) const = default;
};

/** The closed buckets of one epoch, see EpochTickets::closedBuckets_. */
struct ClosedBuckets
{
  std::uint32_t epoch_ = 0;
  std::uint64_t buckets_ = 0;

  bool operator==(const ClosedBuckets&) const = default;
};

/** The tickets of one incarnation of an executor. */
struct HandoverTable
{
  NodeId executor_;
  Incarnation incarnation_;
  /** The executor's epoch when the message was created. */
  std::uint32_t epoch_ = 0;
  std::vector<HandoverTicket> tickets_;
  /** Tickets of these buckets that are not listed must not be executed: the table was full, and a
   * ticket of the bucket was refused as not run without leaving an entry. */
  std::vector<ClosedBuckets> closed_;

  bool operator==(const HandoverTable&) const = default;
};

/** One part of the ticket tables of a stopping node. The receiver becomes the executor of all their
 * tickets when it has received every part. */
struct Handover
{
  NodeId from_;
  Incarnation incarnation_;
  /** The only receiver that may accept. The incarnation prevents a retransmitted handover from
   * being accepted by a restarted successor, which has no record of the requests that its previous
   * incarnation executed after it had accepted the handover. */
  NodeId successor_;
  Incarnation successorIncarnation_;
  std::uint32_t part_ = 0;
  std::uint32_t partCount_ = 1;
  std::vector<HandoverTable> tables_;

  bool operator==(const Handover&) const = default;
};

/** Confirms that the receiver has all parts and is the executor. Both fields are copied from the
 * Handover. */
struct HandoverAccepted
{
  NodeId from_;
  Incarnation incarnation_;

  bool operator==(const HandoverAccepted&) const = default;
};

/** Requests the configuration changes starting at an offset. */
struct ConfigRequest
{
  std::uint64_t nextOffset_ = 0;
  std::uint64_t version_ = 0;

  bool operator==(const ConfigRequest&) const = default;
};

/** The command records starting at the requested offset, or the complete state. */
struct ConfigReply
{
  std::optional<ConfigState> state_;
  std::vector<OffsetRecord> records_;
  /** Offset up to which the sender has read the log, including records of other types. */
  std::uint64_t nextOffset_ = 0;

  bool operator==(const ConfigReply&) const = default;
};

/** First message on a connection; identifies the sender. */
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

/** Asks the receiver for a ProbeAck. */
struct Probe
{
  std::uint64_t number_ = 0;
  /** The node that requested an indirect probe; zero for a direct probe. */
  NodeId onBehalfOf_;

  bool operator==(const Probe&) const = default;
};

struct ProbeAck
{
  std::uint64_t number_ = 0;
  /** The node that was probed. */
  NodeId subject_;
  /** The subject has run for long enough to have the records of all members. */
  bool isEstablished_ = false;

  bool operator==(const ProbeAck&) const = default;
};

/** Asks the receiver to probe another node and to forward the ProbeAck. */
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

/** Digests of the sender's records. The receiver replies with digests or summaries of the parts
 * that differ. */
struct DigestExchange
{
  std::vector<DomainDigest> digests_;

  bool operator==(const DigestExchange&) const = default;
};

/** Identity and version of one record, so that only records that differ are transmitted. */
struct RecordSummary
{
  NodeId node_;
  std::uint64_t generation_ = 0;
  std::uint32_t sequence_ = 0;
  MemberState state_ = MemberState::kJoining;

  bool operator==(const RecordSummary&) const = default;
};

/** The versions of all records of some domains. The receiver replies with the records that are
 * newer and requests those that it lacks. */
struct SummaryExchange
{
  std::vector<RecordSummary> summaries_;

  bool operator==(const SummaryExchange&) const = default;
};

/** Requests the records of these nodes. */
struct RecordsRequest
{
  std::vector<NodeId> nodes_;

  bool operator==(const RecordsRequest&) const = default;
};

/** Has no contents besides GossipMessage::updates_. */
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

/** A gossip datagram. */
struct GossipMessage
{
  NodeId sender_;
  Incarnation incarnation_;
  /** Address for replies, because the receiver may not have a record of the sender yet. */
  std::string senderAddress_;
  /** The configuration version that is in effect on the sender. */
  std::uint64_t configVersion_ = 0;
  GossipBody body_;
  std::vector<MemberRecord> updates_;

  bool operator==(const GossipMessage&) const = default;
};

} // namespace fulmarway
