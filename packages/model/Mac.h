/** \file
 * Message authentication codes (MAC) under the shared cluster key.
 */
#pragma once

#include "model/Ids.h"

#include <string>
#include <string_view>

namespace fulmarway {

/** The secret that all nodes of a deployment share. */
struct ClusterKey
{
  std::string secret_;

  bool operator==(const ClusterKey&) const = default;
};

/** The first 128 bits of HMAC-SHA256 over aMessage. */
Bits128
ComputeMac(const ClusterKey& aKey, std::string_view aMessage);

/** Compares in constant time, so that timing does not reveal how many bits match. */
bool
MacEquals(const Bits128& aLeft, const Bits128& aRight);

} // namespace fulmarway
