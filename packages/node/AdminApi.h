/** \file
 * The HTTP interface for operators: maps a request to its reply. Independent of sockets.
 */
#pragma once

#include "node/Metrics.h"
#include "policy/Event.h"
#include "policy/NodeState.h"
#include "wire/HttpFraming.h"

#include <optional>
#include <string>
#include <variant>

namespace fulmarway {

struct AdminReply
{
  std::uint16_t status_ = 200;
  std::string contentType_ = "application/json";
  std::string body_;
  /** Value of the Allow header of a 405 reply: the methods that the path supports. */
  std::string allow_ = {};

  bool operator==(const AdminReply&) const = default;
};

/** An immediate reply, or an event for the reducer, which replies later through an effect. */
using AdminResult = std::variant<AdminReply, EventBody>;

AdminResult
HandleAdminRequest(const NodeState& aState,
                   const LoopCounters& aLoop,
                   ExchangeId aExchange,
                   const HttpRequestMessage& aMessage);

} // namespace fulmarway
