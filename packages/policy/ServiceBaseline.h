/** \file
 * Baseline of the service time of each kind: the median on a healthy backend server.
 */
#pragma once

#include "model/Time.h"
#include "policy/StartBlocks.h"

#include <cstdint>
#include <map>
#include <vector>

namespace fulmarway {

struct KindBaseline
{
  /** Median service time, microseconds; 0 while there are too few samples. */
  double typicalUs_ = 0;
  /** Samples collected until the first median is taken, microseconds. */
  std::vector<double> initialSamplesUs_;
  std::uint32_t sampleCount_ = 0;
  Instant lastSeen_;

  auto operator<=>(const KindBaseline&) const = default;
};

/** By kind; at most kMaxBaselines kinds, of which the least recently used is evicted. */
using ServiceBaselines = std::map<std::uint64_t, KindBaseline>;

inline constexpr std::size_t kMaxBaselines = 256;

/** Median service time of the kind, microseconds; 0 while unknown. */
double
TypicalUs(const ServiceBaselines& aBaselines, std::uint64_t aKindKey);

/** Median, over the entries of a block, of the typical service times of their kinds; 0 while
 * unknown. */
double
TypicalUs(const ServiceBaselines& aBaselines, const StartBlock& aBlock);

/** How a block may change the baselines. */
struct BaselineUpdate
{
  /** Accepted slowdown of the backend server; service times are divided by it. */
  double slowdown_ = 1;
  /** False while the limit is lowered, when service times do not represent a healthy backend
   * server. */
  bool mayDrift_ = true;
};

/** Updates the baselines from a block that has mostly ended. */
void
LearnBaselines(ServiceBaselines& aBaselines,
               const StartBlock& aBlock,
               const BaselineUpdate& aUpdate,
               Instant aNow);

/** Lower median; reorders the values, which must not be empty. */
double
Median(std::vector<double>& aValues);

} // namespace fulmarway
