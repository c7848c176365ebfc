/** \file
 * Strict parser for unsigned integers in headers, settings and responses. POCO's parser also
 * accepts "1,000" and "+1"; parsers that disagree about a number interpret the same message
 * differently.
 */
#pragma once

#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string_view>

namespace fulmarway {

/** Parses a text of digits only; nullopt for any other text and for numbers above 64 bits. */
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

/** Parses a non-negative decimal number such as "12" or "0.5"; nullopt for any other text. */
inline std::optional<double>
ParseDecimal(std::string_view aText)
{
  double value = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsedTo, error] =
    std::from_chars(aText.data(), end, value, std::chars_format::fixed);
  if (error != std::errc{} || parsedTo != end || !std::isfinite(value) || std::signbit(value)) {
    return std::nullopt;
  }
  return value;
}

} // namespace fulmarway
