/** \file
 * Guards against percentiles outside the documented error bound of the histogram.
 */
#include "support/Histogram.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway::standins;
using std::chrono::microseconds;

Test(histogram, empty_histogram_reports_zero)
{
  const Histogram histogram;
  cr_assert_eq(histogram.Percentile(99).count(), 0);
  cr_assert_eq(histogram.Max().count(), 0);
}

Test(histogram, small_values_are_exact)
{
  Histogram histogram;
  for (int value = 1; value <= 50; ++value) {
    histogram.Add(microseconds(value));
  }
  cr_assert_eq(histogram.Percentile(50).count(), 25);
  cr_assert_eq(histogram.Percentile(100).count(), 50);
  cr_assert_eq(histogram.Count(), 50);
}

Test(histogram, rank_is_not_rounded_down)
{
  Histogram histogram;
  for (int i = 0; i < 98; ++i) {
    histogram.Add(microseconds(10));
  }
  histogram.Add(microseconds(60));
  histogram.Add(microseconds(60));
  cr_assert_eq(histogram.Percentile(98).count(), 10);
  cr_assert_eq(histogram.Percentile(98.5).count(), 60);
}

Test(histogram, negative_values_count_as_zero)
{
  Histogram histogram;
  histogram.Add(microseconds(-5));
  cr_assert_eq(histogram.Count(), 1);
  cr_assert_eq(histogram.Max().count(), 0);
}

Test(histogram, percentile_is_at_most_one_bucket_above_the_exact_value)
{
  const bool holds = rc::check([] {
    const auto values = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 1LL << 40)));
    const int percent = *rc::gen::inRange(1, 101);
    Histogram histogram;
    for (const std::int64_t value : values) {
      histogram.Add(microseconds(value));
    }
    std::vector<std::int64_t> sorted = values;
    std::ranges::sort(sorted);
    const auto rank = static_cast<std::size_t>(
      std::ceil(static_cast<double>(percent) / 100 * static_cast<double>(sorted.size())));
    const std::int64_t exact = sorted[std::max<std::size_t>(rank, 1) - 1];
    const std::int64_t reported = histogram.Percentile(percent).count();
    RC_ASSERT(reported >= exact);
    RC_ASSERT(reported <= exact + exact / 32);
    RC_ASSERT(reported <= sorted.back());
  });
  cr_assert(holds);
}
