/** \file
 * What each kind of request costs on the simulated backend server.
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
  /** Share of requests that take `longFactor_` times as long. */
  double longShare_ = 0;
  double longFactor_ = 100;
  /** Deeper calls as "service/kind", made in sequence after the own work. */
  std::vector<std::string> calls_;
  /** Length of the answer; at least that of the stamp. */
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
 * Throws std::invalid_argument that names the malformed part. */
KindPlan
ParseKindPlan(std::string_view aText);

/** Reads one kind from each line; skips empty lines and lines that start with "#". */
Plan
ReadPlan(const std::string& aFile);

/** The kind of a request path "/service/kind[/...][?...]"; nullptr when it is not planned. */
const KindPlan*
FindKind(const Plan& aPlan, std::string_view aTarget);

/** Duration of one request, milliseconds. Always draws two numbers, so that the sequence of draws
 * does not depend on the results. */
double
DrawServiceMs(const KindPlan& aKind, Distribution aDistribution, std::mt19937_64& aRandom);

/** "service/kind" without a leading slash. */
std::string
NormalPath(std::string_view aPath);

} // namespace fulmarway::standins
