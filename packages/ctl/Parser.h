/** \file
 * Parser of the operator language. Checks the syntax, the form of names and addresses, and that
 * numbers fit their types. Nodes check the values against the configuration.
 */
#pragma once

#include "ctl/Lexer.h"
#include "ctl/Statement.h"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace fulmarway {

/** Longer scripts are rejected, so that a wrong file passed to `--file` fails early. */
inline constexpr std::size_t kMaxScriptBytes = 1U << 20;

struct SyntaxError
{
  Position position_;
  /** Number of characters of the erroneous word; 0 if a word is missing. */
  std::size_t length_ = 0;
  /** Describes what was expected and what was found. */
  std::string message_;
  /** The complete source line that contains the error. */
  std::string lineText_;

  bool operator==(const SyntaxError&) const = default;
};

/** Returns all statements or the first error, so that a script with an error is not run in part. */
tl::expected<Script, SyntaxError>
ParseScript(std::string_view aText);

/** Parses exactly one statement that changes the configuration, as in the body of a command
 * request. */
tl::expected<Command, SyntaxError>
ParseCommand(std::string_view aText);

/** Parses a duration such as "500ms" or "2s"; returns nullopt for any other form. */
std::optional<Duration>
ParseDuration(std::string_view aText);

/** Renders up to three lines: "SOURCE:LINE:COLUMN: message", then the source line and a caret under
 * the erroneous word if the source line is known. */
std::string
RenderSyntaxError(const SyntaxError& aError, std::string_view aSource);

} // namespace fulmarway
