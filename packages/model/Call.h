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

namespace fulmarway {

/** Calls deeper than this are refused, so that a loop in the call graph ends. The target is 15. */
inline constexpr std::uint8_t kMaxDepth = 20;
/** Bodies above this are refused with 413, so that one request cannot exhaust the node's memory. */
inline constexpr std::size_t kMaxBodyBytes = 4U << 20;
inline constexpr std::size_t kMaxClickIdBytes = 64;

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

  bool operator==(const Request&) const = default;
};

/** A whole answer of a backend server. */
struct Answer
{
  std::uint16_t status_ = 200;
  std::string contentType_;
  std::string body_;

  bool operator==(const Answer&) const = default;
};

/** Digest of the parts of a request that must be the same in every repeat of a ticket. */
std::uint64_t
RequestDigest(const Request& aRequest);

} // namespace fulmarway
