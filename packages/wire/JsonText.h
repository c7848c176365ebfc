/** \file
 * Splits a JSON text into unparsed parts, without recursion. Parsed one by one, an element of a
 * list that is nested too deeply or has a number out of range costs only itself, not the list.
 */
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarway {

/** Thrown when the parts cannot be told apart. The parts themselves are not checked. */
struct JsonTextError : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/** The members of an object as unparsed text, by name. */
std::map<std::string, std::string_view>
SplitMembers(std::string_view aObject);

/** The elements of an array as unparsed text. */
std::vector<std::string_view>
SplitElements(std::string_view aArray);

} // namespace fulmarway
