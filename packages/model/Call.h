/** \file
 * A request as it travels from the caller to a backend server, and its answer.
 */
#pragma once

#include "model/Importance.h"
#include "model/Ticket.h"
#include "model/Time.h"
#include "model/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmarway {

/** Calls deeper than this are refused, so that a loop in the call graph ends. The target is 15. */
inline constexpr std::uint8_t kMaxDepth = 20;
/** Bodies above this are refused with 413, so that one request cannot exhaust the node's memory. */
inline constexpr std::size_t kMaxBodyBytes = 4U << 20;
inline constexpr std::size_t kMaxClickIdBytes = 64;

/** A header field that is passed on unchanged. */
struct HeaderField
{
  std::string name_;
  std::string value_;

  bool operator==(const HeaderField&) const = default;
};

/** What a request that a route selected by host and path carries to its backend server unchanged.
 */
struct RoutedPart
{
  std::string host_;
  /** Path and query as the caller sent them. */
  std::string uri_;
  std::vector<HeaderField> headers_;
  /** Service of the VM on which the request began. */
  std::string originService_;
  /** Id of this attempt of the caller, also in `headers_`. */
  std::string requestId_;

  bool operator==(const RoutedPart&) const = default;
};

/** What is asked, independent of attempts. */
struct Request
{
  std::string clickId_;
  std::string service_;
  std::string kind_;
  Importance importance_ = Importance::kNormal;
  /** "GET" or "POST". */
  std::string method_ = "GET";
  /** Rest of the path and the query string, as sent by the caller; may be empty. */
  std::string target_;
  std::string contentType_;
  std::string body_;
  std::optional<Ticket> ticket_;
  /** Number of calls between the caller and this one; 0 for the caller's own. */
  std::uint8_t depth_ = 0;
  /** Set for a request that a route selected; it needs no ticket. */
  std::optional<RoutedPart> routed_;

  bool operator==(const Request&) const = default;
};

/** A whole answer of a backend server. */
struct Answer
{
  std::uint16_t status_ = 200;
  std::string contentType_;
  std::string body_;
  /** Header fields that are passed on to the caller of a routed request. */
  std::vector<HeaderField> headers_;

  bool operator==(const Answer&) const = default;
};

/** Digest of the parts of a request that must be the same in every repeat of a ticket. */
std::uint64_t
RequestDigest(const Request& aRequest);

} // namespace fulmarway
