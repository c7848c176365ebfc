/** \file
 * Validation of numeric addresses and names in commands, settings and requests.
 */
#pragma once

#include <cstddef>
#include <string_view>

namespace fulmarway {

inline constexpr std::size_t kMaxNameBytes = 64;

/** Whether aText is "IP:port" with a numeric IP in canonical form, for example "10.0.0.1:7000" or
 * "[fd00::1]:7000". Other forms are rejected because node ids are hashes of this text. */
bool
IsNumericAddress(std::string_view aText);

/** Whether aText is a valid service or kind name: 1 to kMaxNameBytes of a-z, 0-9 and -. */
bool
IsName(std::string_view aText);

} // namespace fulmarway
