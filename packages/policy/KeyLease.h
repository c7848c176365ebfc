/** \file
 * The time for which a node may accept keys of client accounts. Against requests with a removed key
 * at a node that is cut off from the store or frozen: without a recent proof that its configuration
 * is the newest one, it refuses all keys.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <optional>

namespace fulmarway {

struct KeyLease
{
  /** End of the lease; nullopt before the first one. */
  std::optional<Instant> until_;
  /** Whether the lease held at the last RenewKeyLease() or ExpireKeyLease(), and since when it has
   * held without a gap, by the time of day, in ms since 1970. Only shown to operators. */
  bool held_ = false;
  std::uint64_t sinceMs_ = 0;

  bool operator==(const KeyLease&) const = default;
};

/** A store call that was started at aProvenAt proved that the configuration is the newest one. The
 * lease lasts 0.9 of aBound from then on, the longest time for which a removed key may be accepted.
 */
KeyLease
RenewKeyLease(KeyLease aLease,
              Instant aProvenAt,
              Duration aBound,
              Instant aNow,
              std::uint64_t aWallTimeMs);

bool
IsHeld(const KeyLease& aLease, Instant aNow);

/** Records the end of the lease in `held_`. */
KeyLease
ExpireKeyLease(KeyLease aLease, Instant aNow);

/** Longest time for which a read of changes may wait, so that each of them renews the lease long
 * before it ends. Also the time for which the answer may be late: after a read on a silent
 * connection, which takes 0.4 of aBound, another attempt fits into the lease. */
Duration
LeaseReadTime(Duration aBound);

/** Longest delay between a failed read and the next one while the lease holds. */
Duration
LeaseRetryDelay(Duration aBound);

} // namespace fulmarway
