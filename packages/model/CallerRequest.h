/** \file
 * Typed requests and replies of the caller interface, which serves callers and the local backend
 * server.
 */
#pragma once

#include "model/Call.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmarway {

/** A valid HTTP request to /v1/call or /v1/ticket. */
struct CallerRequest
{
  /** IP address of the caller; caller retries are counted per address. */
  std::string callerAddress_;
  std::string service_;
  std::string kind_;
  std::string method_ = "GET";
  std::string target_;
  std::string contentType_;
  SharedText body_;
  /** Time until the caller gives up; the kind's default when absent. */
  std::optional<Duration> deadline_;
  /** Chosen by the caller and the same for all its attempts; generated when absent. */
  std::optional<std::string> rootRequestId_;
  /** 1 for the first attempt. */
  std::uint32_t attempt_ = 1;
  std::optional<Ticket> ticket_;
  /** The request, in execution on the local backend server, that makes this call. */
  std::optional<RequestId> parent_;
  /** Index of the call among the calls of its parent; required for non-idempotent calls. */
  std::optional<std::uint32_t> callIndex_;
  /** Service and kind for which the reply should contain a ticket; both empty for none. */
  std::string ticketForService_;
  std::string ticketForKind_;
  /** Requests only a ticket, see GET /v1/ticket. */
  bool ticketOnly_ = false;
  /** Set for a request whose route is selected by host and path; service and kind are empty. */
  std::optional<RoutedPart> routed_;
  /** Key of a client account as the caller sent it; empty if it can't be read, nullopt without one.
   */
  std::optional<std::string> key_;
  /** Header fields that name a client account or its key, taken out of the forwarded ones. They are
   * forwarded only where the configuration has no accounts. */
  std::vector<HeaderField> accountFields_;
  /** Sent by the local backend server. */
  bool fromBackend_ = false;

  bool operator==(const CallerRequest&) const = default;
};

/** The reply to the caller. A refusal has no answer. */
struct CallerReply
{
  Refusal outcome_;
  std::optional<Answer> answer_;
  std::string rootRequestId_;
  /** A new ticket for the refused request, or the one requested with Fulmarway-Ticket-For. */
  std::optional<Ticket> ticket_;

  bool operator==(const CallerReply&) const = default;
};

/** A request from the node to the local backend server. */
struct BackendRequest
{
  RequestId id_;
  Request request_;
  /** Time left until the deadline. */
  Duration remaining_{ 0 };
  /** The only instance of the backend server that may execute the request; empty when the backend
   * server has no instance id. */
  std::string instance_;

  bool operator==(const BackendRequest&) const = default;
};

} // namespace fulmarway
