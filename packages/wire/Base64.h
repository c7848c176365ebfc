/** \file
 * Base64 texts.
 */
#pragma once

#include <string>

namespace fulmarway {

/** The decoded bytes. Throws Poco::DataFormatException on a character that is not of the alphabet.
 */
std::string
DecodeBase64(const std::string& aText);

} // namespace fulmarway
