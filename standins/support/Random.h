/** \file
 * Random distributions that give the same numbers with every standard library.
 */
#pragma once

#include <cstdint>
#include <random>

namespace fulmarway::standins {

/** Draws from the uniform distribution on [0, 1). */
double
DrawUniform(std::mt19937_64& aRandom);

/** Draws from the exponential distribution with mean aMean. */
double
DrawExponential(std::mt19937_64& aRandom, double aMean);

} // namespace fulmarway::standins
