/** \file
 * Checked access to the members of JSON objects. A member of an unexpected type is an error;
 * values are never converted.
 */
#pragma once

#include "model/Error.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace fulmarway {

using JsonObject = Poco::JSON::Object::Ptr;
using JsonArray = Poco::JSON::Array::Ptr;

/** Thrown by the functions below; Decode() returns it as a UserError. */
struct JsonError
{
  UserError error_;
};

JsonObject
ParseObject(std::string_view aText);

JsonObject
ObjectAt(const JsonObject& aObject, const std::string& aName);

/** Null when the member is absent or null. */
JsonArray
OptionalArrayAt(const JsonObject& aObject, const std::string& aName);

JsonArray
ArrayAt(const JsonObject& aObject, const std::string& aName);

JsonObject
ElementAt(const JsonArray& aArray, unsigned aIndex);

std::string
StringAt(const JsonObject& aObject, const std::string& aName);

/** A non-negative integer. */
std::uint64_t
UnsignedAt(const JsonObject& aObject, const std::string& aName);

/** Returns aDefault when the member is absent. */
std::uint64_t
UnsignedAt(const JsonObject& aObject, const std::string& aName, std::uint64_t aDefault);

/** A finite, non-negative number. */
double
DoubleAt(const JsonObject& aObject, const std::string& aName);

bool
BoolAt(const JsonObject& aObject, const std::string& aName);

/** Calls aDecoder and returns a JsonError or an exception of POCO that it throws as a UserError. */
template<typename Decoder>
auto
Decode(Decoder aDecoder) -> tl::expected<decltype(aDecoder()), UserError>
{
  try {
    return aDecoder();
  } catch (const JsonError& error) {
    return tl::unexpected(error.error_);
  } catch (const std::exception& error) {
    return tl::unexpected(UserError{ "json", error.what() });
  }
}

} // namespace fulmarway
