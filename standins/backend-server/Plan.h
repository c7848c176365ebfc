/** \file
 * Service times, downstream calls and answer sizes of the request kinds of the simulated backend
 * server.
 */
#pragma once

#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarway::standins {

struct KindPlan
{
  /** "service/kind". */
  std::string path_;
  double meanMs_ = 0;
  /** Fraction of requests whose service time is multiplied by `longFactor_`. */
  double longShare_ = 0;
  double longFactor_ = 100;
  /** Downstream calls as "service/kind", made one after another when the service time has passed.
   */
  std::vector<std::string> calls_;
  /** Length of the answer body; raised to the length of the stamp line if smaller. */
  std::size_t bytes_ = 0;

  bool operator==(const KindPlan&) const = default;
};

using Plan = std::map<std::string, KindPlan>;

enum class Distribution
{
  kExponential,
  kConstant,
};

/** Parses "PATH=SERVICE_MS[,long-share=S][,long-factor=F][,calls=SERVICE/KIND;...][,bytes=N]".
 * Throws std::invalid_argument, whose message quotes the malformed part. */
KindPlan
ParseKindPlan(std::string_view aText);

/** Reads a file with one kind on each line; skips empty lines and lines that start with "#".
 * Throws std::invalid_argument for an unreadable file or a malformed line. */
Plan
ReadPlan(const std::string& aFile);

/** The kind of a request target "/service/kind[/...][?...]"; nullptr when aPlan does not contain
 * it. */
const KindPlan*
FindKind(const Plan& aPlan, std::string_view aTarget);

/** Draws the service time of one request in milliseconds. Always draws two random numbers, so that
 * the random sequence is independent of the distribution and of the drawn values. */
double
DrawServiceMs(const KindPlan& aKind, Distribution aDistribution, std::mt19937_64& aRandom);

/** Returns "service/kind" without empty path segments. Throws std::invalid_argument unless aPath
 * has exactly two segments. */
std::string
NormalizeKindPath(std::string_view aPath);

} // namespace fulmarway::standins
