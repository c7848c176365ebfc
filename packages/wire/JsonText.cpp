#include "wire/JsonText.h"

#include <algorithm>

namespace fulmarway {

namespace {

constexpr std::string_view kSpaces = " \t\r\n";

std::size_t
SkipSpaces(std::string_view aText, std::size_t aPosition)
{
  return std::min(aText.find_first_not_of(kSpaces, aPosition), aText.size());
}

/** Position after the string that begins at aPosition. */
std::size_t
SkipString(std::string_view aText, std::size_t aPosition)
{
  std::size_t position = aPosition + 1;
  while (position < aText.size() && aText[position] != '"') {
    position += aText[position] == '\\' ? 2 : 1;
  }
  if (position >= aText.size()) {
    throw JsonTextError{ "a string has no closing quote" };
  }
  return position + 1;
}

/** Position of the comma, bracket or brace that ends the value at aPosition. Counts brackets
 * instead of recursing, so that the depth of nesting is not limited by the stack. */
std::size_t
SkipValue(std::string_view aText, std::size_t aPosition)
{
  std::size_t depth = 0;
  std::size_t position = aPosition;
  while (position < aText.size()) {
    const char next = aText[position];
    if (next == '"') {
      position = SkipString(aText, position);
      continue;
    }
    if (depth == 0 && (next == ',' || next == ']' || next == '}')) {
      return position;
    }
    if (next == '[' || next == '{') {
      ++depth;
    } else if (next == ']' || next == '}') {
      --depth;
    }
    ++position;
  }
  throw JsonTextError{ "a value has no end" };
}

/** Calls aVisit with the text of each part between aOpen and aClose that commas separate. */
template<typename Visitor>
void
VisitParts(std::string_view aText, char aOpen, char aClose, Visitor aVisit)
{
  std::size_t position = SkipSpaces(aText, 0);
  if (position == aText.size() || aText[position] != aOpen) {
    throw JsonTextError{ aOpen == '{' ? "expected an object" : "expected an array" };
  }
  position = SkipSpaces(aText, position + 1);
  if (position < aText.size() && aText[position] == aClose) {
    return;
  }
  while (true) {
    const std::size_t end = SkipValue(aText, position);
    aVisit(aText.substr(position, end - position));
    if (aText[end] == aClose) {
      return;
    }
    if (aText[end] != ',') {
      throw JsonTextError{ "expected a comma" };
    }
    position = SkipSpaces(aText, end + 1);
  }
}

} // namespace

std::map<std::string, std::string_view>
SplitMembers(std::string_view aObject)
{
  std::map<std::string, std::string_view> members;
  VisitParts(aObject, '{', '}', [&](std::string_view aMember) {
    if (!aMember.starts_with('"')) {
      throw JsonTextError{ "expected a member name" };
    }
    const std::size_t nameEnd = SkipString(aMember, 0);
    const std::size_t colon = SkipSpaces(aMember, nameEnd);
    if (colon == aMember.size() || aMember[colon] != ':') {
      throw JsonTextError{ "expected a colon" };
    }
    const std::size_t value = SkipSpaces(aMember, colon + 1);
    const std::size_t valueEnd = aMember.find_last_not_of(kSpaces) + 1;
    members.emplace(aMember.substr(1, nameEnd - 2),
                    aMember.substr(value, valueEnd - std::min(value, valueEnd)));
  });
  return members;
}

std::vector<std::string_view>
SplitElements(std::string_view aArray)
{
  std::vector<std::string_view> elements;
  VisitParts(aArray, '[', ']', [&](std::string_view aElement) { elements.push_back(aElement); });
  return elements;
}

} // namespace fulmarway
