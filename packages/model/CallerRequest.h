/** \file
 * The callers' interface as typed values: a request from a caller or from the own backend server,
 * and the reply.
 */
#pragma once

#include "model/Call.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fulmarway {

/** A valid HTTP request to /v1/call or /v1/ticket. */
struct CallerRequest
{
  /** "IP" of the caller; repeats are counted for each address. */
  std::string callerAddress_;
  std::string service_;
  std::string kind_;
  std::string method_ = "GET";
  std::string target_;
  std::string contentType_;
  std::string body_;
  /** Time that the caller is willing to wait; the kind's default when absent. */
  std::optional<Duration> deadline_;
  /** Chosen by the caller and repeated with each of its attempts; generated when absent. */
  std::optional<std::string> clickId_;
  /** 1 for the first attempt. */
  std::uint32_t attempt_ = 1;
  std::optional<Ticket> ticket_;
  /** The request on this node's backend server that makes this call. */
  std::optional<RequestId> parent_;
  /** Number of the call among those of its parent; needed for calls that are not idempotent. */
  std::optional<std::uint32_t> callIndex_;
  /** Service and kind that the answer should carry a ticket for; both empty for none. */
  std::string ticketForService_;
  std::string ticketForKind_;
  /** Only a ticket is wanted, see GET /v1/ticket. */
  bool ticketOnly_ = false;
  /** Set when a route has to be selected by host and path; service and kind are then empty. */
  std::optional<RoutedPart> routed_;
  /** Sent by the backend server of this VM. */
  bool fromBackend_ = false;

  bool operator==(const CallerRequest&) const = default;
};

/** What the caller gets. A refusal has no answer. */
struct CallerReply
{
  Refusal outcome_;
  std::optional<Answer> answer_;
  std::string clickId_;
  /** A new ticket for the refused request, or the one asked for by Fulmarway-Ticket-For. */
  std::optional<Ticket> ticket_;

  bool operator==(const CallerReply&) const = default;
};

/** What the node sends to its own backend server. */
struct BackendRequest
{
  RequestId id_;
  Request request_;
  /** Time left until the deadline. */
  Duration remaining_{ 0 };
  /** Instance of the backend server that may run the request; empty when it names none. */
  std::string instance_;

  bool operator==(const BackendRequest&) const = default;
};

} // namespace fulmarway
