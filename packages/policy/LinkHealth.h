/** \file
 * Detects idle connections between nodes, and dead ones whose state a device between the two ends
 * has lost.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <optional>

namespace fulmarway {

/** A keep-alive ping is sent when a link with outstanding requests has received nothing for this
 * long. */
inline constexpr Duration kLinkSilenceBeforePing = std::chrono::milliseconds(250);
/** The link is abandoned when it receives nothing for this long after a ping. */
inline constexpr Duration kLinkPingTimeout = std::chrono::milliseconds(500);
/** A link without outstanding requests is closed when it has been unused for this long. */
inline constexpr Duration kLinkIdleTimeout = std::chrono::seconds(60);

struct LinkHealth
{
  /** Start of the current silence: the last byte received or, if later, the first request on a link
   * that had none outstanding. */
  Instant silentSince_;
  /** When the ping that has not been answered yet was sent. */
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

/** Records that the link received data; any outstanding ping counts as answered. */
LinkHealth
RecordLinkByte(LinkHealth aHealth, Instant aNow);

/** Records a request on a link that had none outstanding; its silence is measured from now. */
LinkHealth
RecordLinkUse(LinkHealth aHealth, Instant aNow);

/** The action that is due on the link. On kPing, send a ping and call RecordLinkPing(). */
LinkAction
CheckLink(const LinkHealth& aHealth, bool aHasOutstanding, Instant aNow);

LinkHealth
RecordLinkPing(LinkHealth aHealth, Instant aNow);

} // namespace fulmarway
