/** \file
 * Big-endian integers of one to eight bytes.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarway {

/** Appends aNumber as a big-endian integer of aBytes bytes. */
inline void
AppendBigEndian(std::string& aOutput, std::uint64_t aNumber, std::size_t aBytes)
{
  for (std::size_t i = aBytes; i > 0; --i) {
    aOutput += static_cast<char>(aNumber >> (8 * (i - 1)));
  }
}

/** Removes a big-endian integer of aBytes bytes from the front of aInput and returns it; nullopt if
 * aInput is shorter. */
inline std::optional<std::uint64_t>
ConsumeBigEndian(std::string_view& aInput, std::size_t aBytes)
{
  if (aInput.size() < aBytes) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < aBytes; ++i) {
    number = (number << 8) | static_cast<unsigned char>(aInput[i]);
  }
  aInput.remove_prefix(aBytes);
  return number;
}

} // namespace fulmarway
