#include "model/Ids.h"

#include "model/Number.h"

#include <cstdio>
#include <xxhash.h>

namespace fulmarway {

namespace {

constexpr std::size_t kHexDigits64 = 16;

} // namespace

std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

NodeId
NodeIdOf(std::string_view aAddress)
{
  return NodeId{ StableHash(aAddress) };
}

std::string
ToHex(std::uint64_t aValue)
{
  char digits[kHexDigits64 + 1];
  std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(aValue));
  return digits;
}

std::string
ToHex(const Bits128& aValue)
{
  return ToHex(aValue.high_) + ToHex(aValue.low_);
}

std::optional<std::uint64_t>
ParseHex64(std::string_view aText)
{
  if (aText.empty() || aText.size() > kHexDigits64) {
    return std::nullopt;
  }
  return ParseNumber(aText, 16);
}

std::optional<Bits128>
ParseHex128(std::string_view aText)
{
  if (aText.size() != 2 * kHexDigits64) {
    return std::nullopt;
  }
  const auto high = ParseHex64(aText.substr(0, kHexDigits64));
  const auto low = ParseHex64(aText.substr(kHexDigits64));
  if (!high || !low) {
    return std::nullopt;
  }
  return Bits128{ *high, *low };
}

} // namespace fulmarway
