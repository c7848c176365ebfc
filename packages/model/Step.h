/** \file
 * The result of a decision function: the next state and what was decided.
 */
#pragma once

namespace fulmarway {

/** Returned by every decision function. `state_` replaces the state that was passed in by value. */
template<typename State, typename Result>
struct Step
{
  State state_;
  Result result_;
};

} // namespace fulmarway
