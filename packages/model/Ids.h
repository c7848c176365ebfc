/** \file
 * Typed identifiers. Objects are stored in containers and refer to each other by id.
 */
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarway {

/** A 64-bit identifier. Identifiers with different tags are different types. */
template<typename Tag>
struct Id
{
  std::uint64_t value_ = 0;

  auto operator<=>(const Id&) const = default;
};

/** Identifies a node; the hash of its peer address, see NodeIdOf(). */
using NodeId = Id<struct NodeIdTag>;
/** Identifies a request that the inbound role of one node is handling. */
using RequestId = Id<struct RequestIdTag>;
/** Identifies a call that the outbound role of one node is making. */
using CallId = Id<struct CallIdTag>;
/** Identifies one attempt of a call; unique within the node that sends it. */
using AttemptId = Id<struct AttemptIdTag>;
/** Identifies an open HTTP exchange with a caller, an operator or a backend server. */
using ExchangeId = Id<struct ExchangeIdTag>;
/** Identifies an operator's command; a random number chosen by the client, so that retries are
 * recognised. */
using CommandId = Id<struct CommandIdTag>;

/** 128 random bits. */
struct Bits128
{
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;

  auto operator<=>(const Bits128&) const = default;
};

/** Identifies one process lifetime of a node; random, generated at process start. */
using Incarnation = Bits128;

/** The id of the node with the peer address aAddress ("IP:port"). */
NodeId
NodeIdOf(std::string_view aAddress);

/** Fixed-width lower-case hexadecimal: 16 digits. */
std::string
ToHex(std::uint64_t aValue);

/** Fixed-width lower-case hexadecimal: 32 digits. */
std::string
ToHex(const Bits128& aValue);

/** Parses 1 to 16 hexadecimal digits; nullopt for anything else. */
std::optional<std::uint64_t>
ParseHex64(std::string_view aText);

/** Parses exactly 32 hexadecimal digits; nullopt for anything else. */
std::optional<Bits128>
ParseHex128(std::string_view aText);

/** Platform-independent 64-bit hash (XXH64). Nodes exchange and compare its values. */
std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed = 0);

} // namespace fulmarway

template<typename Tag>
struct std::hash<fulmarway::Id<Tag>>
{
  std::size_t operator()(const fulmarway::Id<Tag>& aId) const noexcept
  {
    return std::hash<std::uint64_t>{}(aId.value_);
  }
};

template<>
struct std::hash<fulmarway::Bits128>
{
  std::size_t operator()(const fulmarway::Bits128& aBits) const noexcept
  {
    return std::hash<std::uint64_t>{}(aBits.high_ ^ (aBits.low_ * 0x9E3779B97F4A7C15ULL));
  }
};
