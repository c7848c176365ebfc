/** \file
 * Finds connections between nodes that went silent while something between the two ends lost track
 * of them.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <optional>

namespace fulmarway {

/** A link that has waited this long without a byte is asked for a sign of life. */
inline constexpr Duration kLinkPingAfter = std::chrono::milliseconds(250);
/** No byte for this long after a ping: the link is given up. */
inline constexpr Duration kLinkPingTimeout = std::chrono::milliseconds(500);
/** An unused link is closed. */
inline constexpr Duration kLinkIdleTimeout = std::chrono::seconds(60);

struct LinkHealth
{
  Instant lastByteAt_;
  std::optional<Instant> pingedAt_;

  bool operator==(const LinkHealth&) const = default;
};

enum class LinkAction : std::uint8_t
{
  kNone,
  kPing,
  kAbandon,
  kCloseIdle,
};

/** A byte has arrived. */
LinkHealth
NoteLinkByte(LinkHealth aHealth, Instant aNow);

/** A request was written to a link that had none outstanding; waiting starts now. */
LinkHealth
NoteLinkUse(LinkHealth aHealth, Instant aNow);

/** What to do with the link now; after kPing the caller sends one and calls NoteLinkPing(). */
LinkAction
CheckLink(const LinkHealth& aHealth, bool aHasOutstanding, Instant aNow);

LinkHealth
NoteLinkPing(LinkHealth aHealth, Instant aNow);

} // namespace fulmarway
