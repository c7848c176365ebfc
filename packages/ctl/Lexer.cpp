#include "ctl/Lexer.h"

#include <algorithm>
#include <utility>

namespace fulmarway {

namespace {

constexpr std::string_view kBlankCharacters = " \t\r\v\f";
constexpr std::string_view kWordTerminators = " \t\r\v\f\n;";

/** Returns the position after aText, which must not contain a line end. */
Position
AdvancePosition(Position aPosition, std::string_view aText)
{
  aPosition.column_ += CountCharacters(aText);
  return aPosition;
}

} // namespace

std::size_t
CountCharacters(std::string_view aText)
{
  // Counts all bytes except UTF-8 continuation bytes, 10xxxxxx.
  return static_cast<std::size_t>(std::count_if(aText.begin(), aText.end(), [](char aByte) {
    return (static_cast<unsigned char>(aByte) & 0xC0U) != 0x80U;
  }));
}

std::vector<WordList>
SplitWords(std::string_view aText)
{
  std::vector<WordList> statements;
  WordList current;
  Position position;
  const auto endStatement = [&statements, &current] {
    if (!current.words_.empty()) {
      statements.push_back(std::exchange(current, {}));
    }
  };
  while (!aText.empty()) {
    const char next = aText.front();
    std::size_t length = 1;
    if (next == '\n') {
      endStatement();
      position = { position.line_ + 1, 1 };
      aText.remove_prefix(1);
      continue;
    }
    if (next == ';') {
      endStatement();
    } else if (next == '#') {
      // A comment, up to the end of the line. Inside a word, "#" is an ordinary character.
      length = std::min(aText.find('\n'), aText.size());
    } else if (kBlankCharacters.find(next) == std::string_view::npos) {
      length = std::min(aText.find_first_of(kWordTerminators), aText.size());
      current.words_.push_back({ aText.substr(0, length), position });
      current.end_ = AdvancePosition(position, aText.substr(0, length));
    }
    position = AdvancePosition(position, aText.substr(0, length));
    aText.remove_prefix(length);
  }
  endStatement();
  return statements;
}

} // namespace fulmarway
