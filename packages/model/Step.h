/** \file
 * Result of a decision function: the next state and the decision.
 */
#pragma once

namespace fulmarway {

/** Returned by decision functions. `state_` replaces the state that the caller passed by value. */
template<typename State, typename Result>
struct Step
{
  State state_;
  Result result_;
};

} // namespace fulmarway
