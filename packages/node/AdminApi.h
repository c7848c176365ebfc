/** \file
 * The operators' HTTP interface: what a request asks for, apart from any socket.
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
  /** For 405, the methods of the path. */
  std::string allow_ = {};

  bool operator==(const AdminReply&) const = default;
};

/** A reply at once, or an event whose effect replies later. */
using AdminResult = std::variant<AdminReply, EventBody>;

AdminResult
HandleAdminRequest(const NodeState& aState,
                   const LoopCounters& aLoop,
                   ExchangeId aExchange,
                   const HttpRequestMessage& aMessage);

} // namespace fulmarway
