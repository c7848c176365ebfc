/** \file
 * Text forms that commands and settings share: numeric addresses and names.
 */
#pragma once

#include <cstddef>
#include <string_view>

namespace fulmarway {

inline constexpr std::size_t kMaxNameBytes = 64;

/** Whether aText is "IP:port" with a numeric IP in canonical form, for example "10.0.0.1:7000" or
 * "[fd00::1]:7000". Only the canonical form is taken because node ids are hashes of this text. */
bool
IsNumericAddress(std::string_view aText);

/** Whether aText is a name of a service or kind: 1 to kMaxNameBytes of a-z, 0-9 and -. */
bool
IsName(std::string_view aText);

} // namespace fulmarway
