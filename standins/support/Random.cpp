#include "support/Random.h"

#include <cmath>

namespace fulmarway::standins {

double
DrawUniform(std::mt19937_64& aRandom)
{
  // The distributions of <random> are not specified bit by bit; this one is.
  constexpr int kMantissaBits = 53;
  return std::ldexp(static_cast<double>(aRandom() >> (64 - kMantissaBits)), -kMantissaBits);
}

double
DrawExponential(std::mt19937_64& aRandom, double aMean)
{
  return -std::log1p(-DrawUniform(aRandom)) * aMean;
}

} // namespace fulmarway::standins
