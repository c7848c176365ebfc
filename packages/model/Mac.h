/** \file
 * Message authentication under the shared cluster key.
 */
#pragma once

#include "model/Ids.h"

#include <string>
#include <string_view>

namespace fulmarway {

/** The shared secret of all nodes of one deployment. */
struct ClusterKey
{
  std::string secret_;

  bool operator==(const ClusterKey&) const = default;
};

/** The first 128 bits of HMAC-SHA256 over aMessage. */
Bits128
ComputeMac(const ClusterKey& aKey, std::string_view aMessage);

/** Compares without an early exit, so that timing does not reveal how many bits match. */
bool
MacEquals(const Bits128& aLeft, const Bits128& aRight);

} // namespace fulmarway
