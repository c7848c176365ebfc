#include "policy/LinkHealth.h"

#include <algorithm>

namespace fulmarway {

LinkHealth
RecordLinkByte(LinkHealth aHealth, Instant aNow)
{
  aHealth.silentSince_ = aNow;
  aHealth.pingedAt_.reset();
  return aHealth;
}

LinkHealth
RecordLinkUse(LinkHealth aHealth, Instant aNow)
{
  aHealth.silentSince_ = std::max(aHealth.silentSince_, aNow);
  return aHealth;
}

LinkAction
CheckLink(const LinkHealth& aHealth, bool aHasOutstanding, Instant aNow)
{
  if (!aHasOutstanding) {
    return aNow >= aHealth.silentSince_ + kLinkIdleTimeout ? LinkAction::kCloseIdle
                                                           : LinkAction::kNone;
  }
  if (aHealth.pingedAt_) {
    return aNow >= *aHealth.pingedAt_ + kLinkPingTimeout ? LinkAction::kAbandon : LinkAction::kNone;
  }
  return aNow >= aHealth.silentSince_ + kLinkSilenceBeforePing ? LinkAction::kPing
                                                               : LinkAction::kNone;
}

LinkHealth
RecordLinkPing(LinkHealth aHealth, Instant aNow)
{
  aHealth.pingedAt_ = aNow;
  return aHealth;
}

} // namespace fulmarway
