/** \file
 * Draws that give the same numbers with every standard library.
 */
#pragma once

#include <cstdint>
#include <random>

namespace fulmarway::standins {

/** Uniform in [0, 1). */
double
DrawUniform(std::mt19937_64& aRandom);

/** Exponential with the given mean. */
double
DrawExponential(std::mt19937_64& aRandom, double aMean);

} // namespace fulmarway::standins
