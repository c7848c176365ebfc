/** \file
 * A request on its way from the caller to a backend server, and the answer to it.
 */
#pragma once

#include "model/Importance.h"
#include "model/SharedText.h"
#include "model/Ticket.h"
#include "model/Time.h"
#include "model/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmarway {

/** Calls at a greater depth are refused, which terminates cycles in the call graph. Call chains
 * up to a depth of 15 have to be supported. */
inline constexpr std::uint8_t kMaxCallDepth = 20;
/** Larger bodies are refused with 413, so that one request cannot exhaust the node's memory. */
inline constexpr std::size_t kMaxBodyBytes = 4U << 20;
inline constexpr std::size_t kMaxRootRequestIdBytes = 64;

/** A header field that is forwarded unchanged. */
struct HeaderField
{
  std::string name_;
  std::string value_;

  bool operator==(const HeaderField&) const = default;
};

/** The parts of a routed request that are forwarded to the backend server unchanged. */
struct RoutedPart
{
  std::string host_;
  /** Path and query as the caller sent them. */
  std::string uri_;
  std::vector<HeaderField> headers_;
  /** Service of the entry node. */
  std::string originService_;
  /** Id of this caller attempt; `headers_` contains it too. */
  std::string requestId_;
  /** Client account of the request; empty when it has none. */
  std::string account_;

  bool operator==(const RoutedPart&) const = default;
};

/** The contents of a request, the same for all its attempts. */
struct Request
{
  std::string rootRequestId_;
  std::string service_;
  std::string kind_;
  Importance importance_ = Importance::kNormal;
  /** "GET" or "POST". */
  std::string method_ = "GET";
  /** Path below service/kind and query string, as sent by the caller; may be empty. */
  std::string target_;
  std::string contentType_;
  SharedText body_;
  std::optional<Ticket> ticket_;
  /** Depth in the call graph: 0 for the root request, 1 for the calls that it makes. */
  std::uint8_t depth_ = 0;
  /** Set for a routed request, which needs no ticket. */
  std::optional<RoutedPart> routed_;

  bool operator==(const Request&) const = default;
};

/** A complete answer of a backend server. */
struct Answer
{
  std::uint16_t status_ = 200;
  std::string contentType_;
  std::string body_;
  /** Header fields that are forwarded to the caller of a routed request. */
  std::vector<HeaderField> headers_;

  bool operator==(const Answer&) const = default;
};

/** Digest of the request parts that must not differ between requests with the same ticket. */
std::uint64_t
RequestDigest(const Request& aRequest);

} // namespace fulmarway
