/** \file
 * Error types: UserError for invalid input, InternalError for violated invariants.
 */
#pragma once

#include <stdexcept>
#include <string>

namespace fulmarway {

/** Invalid input from an operator, a caller, a peer or a setting. Returned, never thrown. */
struct UserError
{
  /** The invalid setting, word, header or field. */
  std::string subject_;
  /** Why the input is rejected and what is accepted. */
  std::string message_;

  bool operator==(const UserError&) const = default;
};

/** A violated invariant of the program. */
class InternalError : public std::logic_error
{
public:
  using std::logic_error::logic_error;
};

} // namespace fulmarway
