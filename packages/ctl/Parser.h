/** \file
 * Parser of the operator language. Checks words, names, addresses and that numbers can be held;
 * whether values are allowed is checked against the configuration by the node.
 */
#pragma once

#include "ctl/Lexer.h"
#include "ctl/Statement.h"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace fulmarway {

/** Longer texts are refused, so that a wrong file given to `--file` ends at once. */
inline constexpr std::size_t kMaxScriptBytes = 1U << 20;

struct SyntaxError
{
  Position position_;
  /** Number of characters of the word at fault; 0 when a word is missing. */
  std::size_t length_ = 0;
  /** What was expected and what was found. */
  std::string message_;
  /** The whole line that holds the fault. */
  std::string lineText_;

  bool operator==(const SyntaxError&) const = default;
};

/** All statements, or the first error: nothing of a script runs when a part of it is wrong. */
tl::expected<Script, SyntaxError>
ParseScript(std::string_view aText);

/** Exactly one statement that changes the configuration, as in the body of a command request. */
tl::expected<Command, SyntaxError>
ParseCommand(std::string_view aText);

/** "500ms" or "2s"; nullopt for anything else. */
std::optional<Duration>
ParseDuration(std::string_view aText);

/** Three lines: "SOURCE:LINE:COLUMN: message", the line, and a caret under the word. */
std::string
RenderSyntaxError(const SyntaxError& aError, std::string_view aSource);

} // namespace fulmarway
