/** \file
 * Header fields that are not forwarded from one connection to the next.
 */
#pragma once

#include <string>

namespace fulmarway {

/** Whether the field applies to one connection only, or is set anew for each message. */
bool
IsHopHeader(const std::string& aName);

} // namespace fulmarway
