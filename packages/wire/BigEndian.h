/** \file
 * Big-endian integers of one to eight bytes, and the byte strings whose lengths they give.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
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

/** ConsumeBigEndian() that throws std::out_of_range if aInput is shorter. */
inline std::uint64_t
ReadBigEndian(std::string_view& aInput, std::size_t aBytes)
{
  const auto number = ConsumeBigEndian(aInput, aBytes);
  if (!number) {
    throw std::out_of_range("truncated number");
  }
  return *number;
}

/** Removes aCount bytes from the front of aInput; throws std::out_of_range if it is shorter. */
inline std::string_view
ReadBytes(std::string_view& aInput, std::uint64_t aCount)
{
  if (aInput.size() < aCount) {
    throw std::out_of_range("truncated bytes");
  }
  const std::string_view bytes = aInput.substr(0, aCount);
  aInput.remove_prefix(aCount);
  return bytes;
}

} // namespace fulmarway
