/** \file
 * Generates random values of the types in packages/model. Structured bindings enumerate the fields
 * independently of the serialization, so that a field that the serialization omits fails the round
 * trip.
 */
#pragma once

#include "model/PeerMessage.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace fulmarway::test {

using Random = std::mt19937_64;

/** A random number below aBound. */
inline std::size_t
Below(Random& aRandom, std::size_t aBound)
{
  return aRandom() % aBound;
}

inline std::string
AnyBytes(Random& aRandom, std::size_t aMaxBytes)
{
  std::string bytes(Below(aRandom, aMaxBytes + 1), '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(aRandom());
  }
  return bytes;
}

template<typename E>
inline constexpr E kLast = E::unknown;
template<>
inline constexpr Verdict kLast<Verdict> = Verdict::kRan;
template<>
inline constexpr Reason kLast<Reason> = Reason::kAnswerNotKept;
template<>
inline constexpr Importance kLast<Importance> = Importance::kLow;
template<>
inline constexpr MemberState kLast<MemberState> = MemberState::kLeft;
template<>
inline constexpr CommandOutcome kLast<CommandOutcome> = CommandOutcome::kRejected;
template<>
inline constexpr TicketFinalState kLast<TicketFinalState> = TicketFinalState::kMayHaveRun;

/** Converts to the type of any field; only for use in unevaluated code. */
struct ConvertibleToAny
{
  template<typename T>
  operator T() const;
};

/** Number of fields of an aggregate. */
template<typename T, typename... Found>
consteval std::size_t
CountFields()
{
  static_assert(std::is_aggregate_v<T> && sizeof...(Found) <= 11);
  if constexpr (std::is_empty_v<T>) {
    return 0;
  } else if constexpr (requires { T{ Found{}..., ConvertibleToAny{} }; }) {
    return CountFields<T, Found..., ConvertibleToAny>();
  } else {
    return sizeof...(Found);
  }
}

/** References to all fields. A type with more fields than there are cases does not compile. */
template<typename T>
auto
Fields(T& aValue)
{
  constexpr std::size_t kCount = CountFields<T>();
  if constexpr (kCount == 0) {
    return std::tie();
  } else if constexpr (kCount == 1) {
    auto& [a] = aValue;
    return std::tie(a);
  } else if constexpr (kCount == 2) {
    auto& [a, b] = aValue;
    return std::tie(a, b);
  } else if constexpr (kCount == 3) {
    auto& [a, b, c] = aValue;
    return std::tie(a, b, c);
  } else if constexpr (kCount == 4) {
    auto& [a, b, c, d] = aValue;
    return std::tie(a, b, c, d);
  } else if constexpr (kCount == 5) {
    auto& [a, b, c, d, e] = aValue;
    return std::tie(a, b, c, d, e);
  } else if constexpr (kCount == 6) {
    auto& [a, b, c, d, e, f] = aValue;
    return std::tie(a, b, c, d, e, f);
  } else if constexpr (kCount == 7) {
    auto& [a, b, c, d, e, f, g] = aValue;
    return std::tie(a, b, c, d, e, f, g);
  } else if constexpr (kCount == 8) {
    auto& [a, b, c, d, e, f, g, h] = aValue;
    return std::tie(a, b, c, d, e, f, g, h);
  } else if constexpr (kCount == 10) {
    auto& [a, b, c, d, e, f, g, h, i, j] = aValue;
    return std::tie(a, b, c, d, e, f, g, h, i, j);
  } else {
    auto& [a, b, c, d, e, f, g, h, i, j, k] = aValue;
    return std::tie(a, b, c, d, e, f, g, h, i, j, k);
  }
}

template<typename T>
T
Any(Random& aRandom);

// Forward declarations, since the overloads call each other for the fields of nested types.
inline void
Fill(Random& aRandom, std::string& aValue);
inline void
Fill(Random& aRandom, SharedText& aValue);
inline void
Fill(Random& aRandom, Duration& aValue);
inline void
Fill(Random& aRandom, LogRecord& aValue);
inline void
Fill(Random& aRandom, ImportanceShares& aValue);
template<typename T>
void
Fill(Random& aRandom, std::optional<T>& aValue);
template<typename T>
void
Fill(Random& aRandom, std::vector<T>& aValue);
template<typename T>
void
Fill(Random& aRandom, std::set<T>& aValue);
template<typename K, typename T>
void
Fill(Random& aRandom, std::map<K, T>& aValue);
template<typename... T>
void
Fill(Random& aRandom, std::variant<T...>& aValue);

/** Alternative aIndex of a variant. */
template<typename V, std::size_t kIndex = 0>
V
AnyAlternative(Random& aRandom, std::size_t aIndex)
{
  if constexpr (kIndex + 1 < std::variant_size_v<V>) {
    if (aIndex != kIndex) {
      return AnyAlternative<V, kIndex + 1>(aRandom, aIndex);
    }
  }
  return V(std::in_place_index<kIndex>, Any<std::variant_alternative_t<kIndex, V>>(aRandom));
}

template<typename T>
void
Fill(Random& aRandom, T& aValue)
{
  if constexpr (std::is_enum_v<T>) {
    aValue = static_cast<T>(Below(aRandom, static_cast<std::size_t>(kLast<T>) + 1));
  } else if constexpr (std::is_same_v<T, bool>) {
    aValue = aRandom() % 2 != 0;
  } else if constexpr (std::is_arithmetic_v<T>) {
    aValue = static_cast<T>(aRandom());
  } else {
    std::apply([&aRandom](auto&... aFields) { (Fill(aRandom, aFields), ...); }, Fields(aValue));
  }
}

inline void
Fill(Random& aRandom, std::string& aValue)
{
  aValue = AnyBytes(aRandom, 20);
}

inline void
Fill(Random& aRandom, SharedText& aValue)
{
  std::string text;
  Fill(aRandom, text);
  aValue = SharedText(std::move(text));
}

inline void
Fill(Random& aRandom, Duration& aValue)
{
  aValue = Duration(static_cast<Duration::rep>(aRandom()));
}

inline void
Fill(Random& aRandom, ImportanceShares& aValue)
{
  for (std::uint16_t& share : aValue.perMille_) {
    Fill(aRandom, share);
  }
}

template<typename T>
void
Fill(Random& aRandom, std::optional<T>& aValue)
{
  if (Any<bool>(aRandom)) {
    aValue = Any<T>(aRandom);
  }
}

template<typename T>
void
Fill(Random& aRandom, std::vector<T>& aValue)
{
  for (std::size_t count = Below(aRandom, 4); count > 0; --count) {
    aValue.push_back(Any<T>(aRandom));
  }
}

template<typename T>
void
Fill(Random& aRandom, std::set<T>& aValue)
{
  for (std::size_t count = Below(aRandom, 4); count > 0; --count) {
    aValue.insert(Any<T>(aRandom));
  }
}

template<typename K, typename T>
void
Fill(Random& aRandom, std::map<K, T>& aValue)
{
  for (std::size_t count = Below(aRandom, 4); count > 0; --count) {
    aValue[Any<K>(aRandom)] = Any<T>(aRandom);
  }
}

template<typename... T>
void
Fill(Random& aRandom, std::variant<T...>& aValue)
{
  aValue = AnyAlternative<std::variant<T...>>(aRandom, Below(aRandom, sizeof...(T)));
}

/** The last alternative, UnreadableRecord, is never sent. */
inline constexpr std::size_t kEncodableRecordTypes = std::variant_size_v<LogRecord> - 1;

inline void
Fill(Random& aRandom, LogRecord& aValue)
{
  aValue = AnyAlternative<LogRecord>(aRandom, Below(aRandom, kEncodableRecordTypes));
}

template<typename T>
T
Any(Random& aRandom)
{
  T value{};
  Fill(aRandom, value);
  return value;
}

/** Corrupts a message: truncates it, flips bits, inserts or duplicates bytes, or overwrites a
 * count. */
inline void
Corrupt(Random& aRandom, std::string& aBytes)
{
  for (std::size_t times = 1 + Below(aRandom, 3); times > 0; --times) {
    const std::size_t at = Below(aRandom, aBytes.size() + 1);
    const std::size_t rest = aBytes.size() - at;
    switch (Below(aRandom, 6)) {
      case 0:
        aBytes.resize(at);
        break;
      case 1:
        aBytes.insert(at, AnyBytes(aRandom, 16));
        break;
      case 2:
        aBytes += aBytes.substr(at);
        break;
      case 3: {
        // A count as large as the bytes that follow it, or larger.
        const std::uint64_t count = Any<bool>(aRandom) ? rest - std::min<std::size_t>(rest, 8)
                                                       : aRandom() >> Below(aRandom, 64);
        const std::size_t size = std::min(rest, sizeof count);
        aBytes.replace(at, size, reinterpret_cast<const char*>(&count), size);
        break;
      }
      default:
        if (rest > 0) {
          aBytes[at] = static_cast<char>(aBytes[at] ^ (1U << Below(aRandom, 8)));
        }
    }
  }
}

} // namespace fulmarway::test
