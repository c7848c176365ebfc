/** \file
 * Whole numbers in headers, settings and answers. POCO's parser takes "1,000" and "+1"; two readers
 * that disagree about a number see different messages.
 */
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace fulmarway {

/** Digits only, the whole text; nullopt for anything else and for numbers above 64 bits. */
inline std::optional<std::uint64_t>
ParseNumber(std::string_view aText, int aBase = 10)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsedTo, error] = std::from_chars(aText.data(), end, value, aBase);
  if (error != std::errc{} || parsedTo != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace fulmarway
