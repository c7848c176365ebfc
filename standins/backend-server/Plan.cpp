#include "Plan.h"

#include "support/Random.h"
#include "support/Text.h"

#include <fstream>
#include <stdexcept>

namespace fulmarway::standins {

KindPlan
ParseKindPlan(std::string_view aText)
{
  const std::vector<std::string> parts = Split(aText, ',');
  if (parts.empty()) {
    throw std::invalid_argument("kind is empty; must be PATH=SERVICE_MS[,...]");
  }
  KindPlan kind;
  const auto [path, mean] = SplitKeyValue(parts.front());
  kind.path_ = NormalizeKindPath(path);
  kind.meanMs_ = ParseNumber(mean);
  for (std::size_t i = 1; i < parts.size(); ++i) {
    const auto [name, value] = SplitKeyValue(parts[i]);
    if (name == "long-share") {
      kind.longShare_ = ParseNumber(value);
    } else if (name == "long-factor") {
      kind.longFactor_ = ParseNumber(value);
    } else if (name == "calls") {
      for (const std::string& call : Split(value, ';')) {
        kind.calls_.push_back(NormalizeKindPath(call));
      }
    } else if (name == "bytes") {
      kind.bytes_ = static_cast<std::size_t>(ParseNumber(value));
    } else {
      throw std::invalid_argument(
        "kind attribute must be long-share, long-factor, calls or bytes: '" + parts[i] + "'");
    }
  }
  return kind;
}

Plan
ReadPlan(const std::string& aFile)
{
  std::ifstream input(aFile);
  if (!input) {
    throw std::invalid_argument("cannot open plan file '" + aFile + "'");
  }
  Plan plan;
  for (std::string line; std::getline(input, line);) {
    if (!line.empty() && line.front() != '#') {
      const KindPlan kind = ParseKindPlan(line);
      plan[kind.path_] = kind;
    }
  }
  return plan;
}

const KindPlan*
FindKind(const Plan& aPlan, std::string_view aTarget)
{
  const std::vector<std::string> parts = Split(aTarget.substr(0, aTarget.find('?')), '/');
  if (parts.size() < 2) {
    return nullptr;
  }
  const auto found = aPlan.find(parts[0] + "/" + parts[1]);
  return found == aPlan.end() ? nullptr : &found->second;
}

double
DrawServiceMs(const KindPlan& aKind, Distribution aDistribution, std::mt19937_64& aRandom)
{
  const double factor = DrawUniform(aRandom) < aKind.longShare_ ? aKind.longFactor_ : 1;
  const double drawn = DrawExponential(aRandom, aKind.meanMs_);
  return factor * (aDistribution == Distribution::kConstant ? aKind.meanMs_ : drawn);
}

std::string
NormalizeKindPath(std::string_view aPath)
{
  const std::vector<std::string> parts = Split(aPath, '/');
  if (parts.size() != 2) {
    throw std::invalid_argument("must be SERVICE/KIND: '" + std::string(aPath) + "'");
  }
  return parts[0] + "/" + parts[1];
}

} // namespace fulmarway::standins
