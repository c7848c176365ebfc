/** \file
 * A latency histogram with buckets of bounded relative width.
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace fulmarway::standins {

/** Buckets are exact below 64 us and at most 1/32 of their value wide above, so that a percentile
 * is off by at most 3.2% upwards. */
class Histogram
{
public:
  using Microseconds = std::chrono::microseconds;

  /** Negative values count as 0. */
  void Add(Microseconds aValue);
  std::uint64_t Count() const { return count_; }
  Microseconds Max() const { return max_; }
  /** Upper bound of the bucket that holds the value of rank ceil(aPercent / 100 * Count()), at most
   * Max(); 0 when empty. */
  Microseconds Percentile(double aPercent) const;

private:
  std::vector<std::uint64_t> buckets_;
  std::uint64_t count_ = 0;
  Microseconds max_{ 0 };
};

} // namespace fulmarway::standins
