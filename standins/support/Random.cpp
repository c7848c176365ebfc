#include "support/Random.h"

#include <cmath>

namespace fulmarway::standins {

double
DrawUniform(std::mt19937_64& aRandom)
{
  // The distributions of <random> differ between standard libraries; its engines do not.
  constexpr int kMantissaBits = 53;
  return std::ldexp(static_cast<double>(aRandom() >> (64 - kMantissaBits)), -kMantissaBits);
}

double
DrawExponential(std::mt19937_64& aRandom, double aMean)
{
  return -std::log1p(-DrawUniform(aRandom)) * aMean;
}

} // namespace fulmarway::standins
