/** \file
 * A latency histogram with buckets of bounded relative width.
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace fulmarway::standins {

/** Values below 64 us have a bucket each; above, a bucket is at most 1/32 of its value wide. A
 * percentile is therefore never too low and at most 3.2% too high. */
class Histogram
{
public:
  using Microseconds = std::chrono::microseconds;

  /** Negative values count as 0. */
  void Add(Microseconds aValue);
  std::uint64_t Count() const { return count_; }
  Microseconds Max() const { return max_; }
  /** Returns the upper bound of the bucket that contains the value of rank
   * ceil(aPercent / 100 * Count()), but at most Max(); 0 when the histogram is empty. */
  Microseconds Percentile(double aPercent) const;

private:
  std::vector<std::uint64_t> buckets_;
  std::uint64_t count_ = 0;
  Microseconds max_{ 0 };
};

} // namespace fulmarway::standins
