/** \file
 * Measures the heap memory that a decoder uses. Replaces the global operator new of the test
 * program.
 */
#pragma once

#include <cstddef>

namespace fulmarway::test {

/** Counts allocations since its construction. Use only one at a time, in single-threaded code. */
class AllocationMeter
{
public:
  AllocationMeter();

  /** Largest number of bytes that were allocated at the same time. */
  std::size_t PeakBytes() const;
};

} // namespace fulmarway::test
