/** \file
 * Lexer of the operator language. Words are separated by spaces and tabs, statements by line ends
 * or `;`. A `#` at the start of a word begins a comment that extends to the end of the line.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarway {

/** Position in the source text. Line and column start at 1; columns count UTF-8 characters. */
struct Position
{
  std::size_t line_ = 1;
  std::size_t column_ = 1;

  bool operator==(const Position&) const = default;
};

struct Word
{
  std::string_view text_;
  Position position_;

  bool operator==(const Word&) const = default;
};

/** The words of one statement; never empty. `end_` is the position after the last word. */
struct WordList
{
  std::vector<Word> words_;
  Position end_;
};

/** Splits aText into statements. The words are views into aText. Accepts any bytes; the parser
 * rejects unknown words. */
std::vector<WordList>
SplitWords(std::string_view aText);

/** Returns the number of characters of UTF-8 text. Stray continuation bytes are not counted. */
std::size_t
CountCharacters(std::string_view aText);

} // namespace fulmarway
