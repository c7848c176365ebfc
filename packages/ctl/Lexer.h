/** \file
 * Splits text of the operator language into words. Words are separated by spaces and tabs,
 * statements by line ends or `;`. A `#` at the start of a word begins a comment.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarway {

/** A place in the text; both count from 1, columns in characters. */
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

/** The words of one statement; never empty. `end_` is the place after the last word. */
struct WordList
{
  std::vector<Word> words_;
  Position end_;
};

/** The words refer to aText. Any bytes are taken; the parser refuses unknown words. */
std::vector<WordList>
SplitWords(std::string_view aText);

/** Number of characters of UTF-8 text. Stray continuation bytes count as none. */
std::size_t
CountCharacters(std::string_view aText);

} // namespace fulmarway
