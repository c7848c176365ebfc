#include "support/Histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace fulmarway::standins {

namespace {

constexpr std::uint64_t kBucketsPerPowerOfTwo = 32;
/** Binary logarithm of kBucketsPerPowerOfTwo. */
constexpr int kBucketBits = 5;

std::size_t
BucketOf(std::uint64_t aValue)
{
  if (aValue < 2 * kBucketsPerPowerOfTwo) {
    return aValue;
  }
  const int shift = std::bit_width(aValue) - 1 - kBucketBits;
  return static_cast<std::size_t>(shift) * kBucketsPerPowerOfTwo + (aValue >> shift);
}

/** Largest value of a bucket. */
std::uint64_t
UpperBound(std::size_t aBucket)
{
  if (aBucket < 2 * kBucketsPerPowerOfTwo) {
    return aBucket;
  }
  const std::size_t shift = aBucket / kBucketsPerPowerOfTwo - 1;
  const std::uint64_t mantissa = aBucket - shift * kBucketsPerPowerOfTwo;
  return ((mantissa + 1) << shift) - 1;
}

} // namespace

void
Histogram::Add(Microseconds aValue)
{
  const Microseconds value = std::max(aValue, Microseconds{ 0 });
  const std::size_t bucket = BucketOf(static_cast<std::uint64_t>(value.count()));
  if (bucket >= buckets_.size()) {
    buckets_.resize(bucket + 1);
  }
  ++buckets_[bucket];
  ++count_;
  max_ = std::max(max_, value);
}

Histogram::Microseconds
Histogram::Percentile(double aPercent) const
{
  const auto rank = std::max<std::uint64_t>(
    1, static_cast<std::uint64_t>(std::ceil(aPercent / 100 * static_cast<double>(count_))));
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
    seen += buckets_[bucket];
    if (seen >= rank) {
      return std::min(max_, Microseconds{ static_cast<std::int64_t>(UpperBound(bucket)) });
    }
  }
  return max_;
}

} // namespace fulmarway::standins
