// Weighs carriers by their expected loads.

#include "carrier_choice.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>
#include <vector>

namespace marjoramslip {
namespace {

/// Age at which a report has lost about two thirds of its weight, as in
/// placement.cc.
constexpr double kReportDecayUs = 500'000;
/// Carriers whose loads differ by this factor at most take turns. Below it the
/// difference is within the noise of a few statements, and random choices would
/// spread them less evenly than turns (docs/design/carriers.md).
constexpr double kEqualFactor = 1.5;
/// A carrier's probability decreases with this power of its load, as in
/// placement.cc.
constexpr double kSharpness = 6;

double MeanReport(std::span<const carrier_load> carriers) {
  double sum = 0;
  double reports = 0;
  for (const carrier_load& carrier : carriers) {
    if (carrier.age.has_value()) {
      sum += carrier.reported;
      reports += 1;
    }
  }
  return reports > 0 ? sum / reports : 0;
}

/// Returns the expected load of each carrier with one more statement.
std::vector<double> ExpectedLoads(std::span<const carrier_load> carriers) {
  const double mean = MeanReport(carriers);
  std::vector<double> loads;
  loads.reserve(carriers.size());
  for (const carrier_load& carrier : carriers) {
    const double known =
        carrier.age.has_value()
            ? std::exp(-static_cast<double>(carrier.age->count()) /
                       kReportDecayUs)
            : 0;
    loads.push_back(1 + mean + (carrier.reported - mean) * known + carrier.own);
  }
  return loads;
}

std::size_t NextInTurn(std::span<const carrier_load> carriers) {
  const auto next = std::min_element(
      carriers.begin(), carriers.end(),
      [](const carrier_load& a, const carrier_load& b) {
        return std::tie(a.own, a.last_used) < std::tie(b.own, b.last_used);
      });
  return static_cast<std::size_t>(next - carriers.begin());
}

}  // namespace

std::size_t ChooseCarrier(std::span<const carrier_load> carriers,
                          std::uint64_t random) {
  assert(!carriers.empty());
  const std::vector<double> loads = ExpectedLoads(carriers);
  const auto [least, most] = std::minmax_element(loads.begin(), loads.end());
  if (*most <= *least * kEqualFactor) {
    return NextInTurn(carriers);
  }
  std::vector<double> weights;
  weights.reserve(loads.size());
  double sum = 0;
  for (const double load : loads) {
    weights.push_back(std::pow(*least / load, kSharpness));
    sum += weights.back();
  }
  double left = std::ldexp(static_cast<double>(random), -64) * sum;
  for (std::size_t i = 0; i + 1 < weights.size(); ++i) {
    if (left < weights[i]) {
      return i;
    }
    left -= weights[i];
  }
  return weights.size() - 1;
}

}  // namespace marjoramslip
