/** \file
 * Account of the bytes that a process holds for others: received and not yet parsed, in requests in
 * progress, and written and not yet sent. Each holder has limits of its own for one message. Many
 * connections below these would still take the memory of the VM, so the sum has a limit too.
 */
#pragma once

#include <cstddef>

namespace fulmarway {

/** Bytes by holder. */
struct HeldBytes
{
  std::size_t callers_ = 0;
  std::size_t admin_ = 0;
  std::size_t heartbeats_ = 0;
  std::size_t peers_ = 0;
  std::size_t backend_ = 0;
  /** Store and log service. */
  std::size_t control_ = 0;
  /** Bodies of the requests in progress, and of their answers. */
  std::size_t requests_ = 0;

  bool operator==(const HeldBytes&) const = default;
};

inline std::size_t
Sum(const HeldBytes& aHeld)
{
  return aHeld.callers_ + aHeld.admin_ + aHeld.heartbeats_ + aHeld.peers_ + aHeld.backend_ +
         aHeld.control_ + aHeld.requests_;
}

/** Part of the limit that short requests may take beyond it, so that they are still served while
 * long ones take all of it. */
inline constexpr std::size_t kShortRequestReserveShare = 4;

/** Bytes that can be taken before the sum reaches the limit. */
inline std::size_t
FreeBytes(const HeldBytes& aHeld, std::size_t aLimit)
{
  const std::size_t sum = Sum(aHeld);
  return sum < aLimit ? aLimit - sum : 0;
}

} // namespace fulmarway
