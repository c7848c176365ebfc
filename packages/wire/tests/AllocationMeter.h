/** \file
 * Measures how much memory a decoder takes. The test program replaces the global operator new.
 */
#pragma once

#include <cstddef>

namespace fulmarway::test {

/** Counts from its construction on; only one at a time, in single-threaded code. */
class AllocationMeter
{
public:
  AllocationMeter();

  /** Largest number of bytes that were allocated at the same time. */
  std::size_t PeakBytes() const;
};

} // namespace fulmarway::test
