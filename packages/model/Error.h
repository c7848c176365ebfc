/** \file
 * Errors of two kinds: a user error names the offending input, an internal error a broken
 * invariant.
 */
#pragma once

#include <stdexcept>
#include <string>

namespace fulmarway {

/** Invalid input from an operator, a caller, a peer or a setting. Returned, never thrown. */
struct UserError
{
  /** What is wrong: a setting, a word, a header or a field. */
  std::string subject_;
  /** Why it is refused and what is allowed. */
  std::string message_;

  bool operator==(const UserError&) const = default;
};

/** A broken invariant of the program itself. */
class InternalError : public std::logic_error
{
public:
  using std::logic_error::logic_error;
};

} // namespace fulmarway
