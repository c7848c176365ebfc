/** \file
 * Typical service time of each kind on a healthy backend server.
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
  /** Median service time, microseconds; 0 while too few are known. */
  double typicalUs_ = 0;
  /** Service times seen before the median is first known, microseconds. */
  std::vector<double> firstUs_;
  std::uint32_t observed_ = 0;
  Instant lastSeen_;

  auto operator<=>(const KindBaseline&) const = default;
};

/** At most kMaxBaselines kinds; the longest unseen is dropped. */
using ServiceBaselines = std::map<std::uint64_t, KindBaseline>;

inline constexpr std::size_t kMaxBaselines = 256;

/** Microseconds; 0 while unknown. */
double
TypicalUs(const ServiceBaselines& aBaselines, std::uint64_t aKindKey);

/** Median over the entries of a block of what is typical for their kinds; 0 while unknown. */
double
TypicalUs(const ServiceBaselines& aBaselines, const StartBlock& aBlock);

/** Whether a block may move the baselines. */
struct BaselineUpdate
{
  /** Slowdown that the backend server has at present; service times are divided by it. */
  double slowdown_ = 1;
  /** False while the limit is lowered: the service times then say nothing about a healthy one. */
  bool mayDrift_ = true;
};

/** Learns from a block that has mostly ended. */
void
LearnBaselines(ServiceBaselines& aBaselines,
               const StartBlock& aBlock,
               const BaselineUpdate& aUpdate,
               Instant aNow);

/** Lower median; reorders the values, which must not be empty. */
double
Median(std::vector<double>& aValues);

} // namespace fulmarway
