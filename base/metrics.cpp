//===- metrics.cpp - Counters and histograms ------------------------------===//

#include "base/metrics.h"
#include "absl/strings/str_cat.h"
#include "boost/histogram.hpp"
#include <array>
#include <cmath>
#include <map>

namespace olivevalve {

namespace {

namespace bh = boost::histogram;

// The buckets cover half a millisecond to a minute in 24 logarithmic steps. The
// ratio of neighbouring bounds is 1.6, precise enough to compare a 95th
// percentile with a target.
constexpr unsigned Bins = 24;
constexpr double LowestBound = 5e-4;
constexpr double HighestBound = 60;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram =
    decltype(bh::make_histogram(log_axis(Bins, LowestBound, HighestBound)));

constexpr std::array<std::string_view, size_t(measure::Last) + 1> MeasureNames =
    {"time_to_first_token_seconds", "between_tokens_seconds", "total_seconds",
     "queue_seconds", "cost"};

struct series {
  histogram Histogram =
      bh::make_histogram(log_axis(Bins, LowestBound, HighestBound));
  double Sum = 0;
};

} // namespace

struct metrics::tables {
  std::array<std::map<std::string, series, std::less<>>, MeasureNames.size()>
      Series;
  std::map<std::string, std::map<std::string, uint64_t, std::less<>>,
           std::less<>>
      Counters;
  std::map<std::string, double, std::less<>> Gauges;
};

metrics::metrics() : Tables(std::make_unique<tables>()) {}
metrics::~metrics() = default;

void metrics::record(measure Measure, std::string_view Class, double Value) {
  auto &Map = Tables->Series[size_t(Measure)];
  auto It = Map.find(Class);
  if (It == Map.end())
    It = Map.emplace(std::string(Class), series()).first;
  It->second.Histogram(Value);
  It->second.Sum += Value;
}

void metrics::count(std::string_view Counter, std::string_view Label,
                    uint64_t Add) {
  auto It = Tables->Counters.find(Counter);
  if (It == Tables->Counters.end())
    It = Tables->Counters.try_emplace(std::string(Counter)).first;
  auto Row = It->second.find(Label);
  if (Row == It->second.end())
    Row = It->second.emplace(std::string(Label), 0).first;
  Row->second += Add;
}

void metrics::setCount(std::string_view Counter, std::string_view Label,
                       uint64_t Value) {
  count(Counter, Label, 0);
  Tables->Counters.find(Counter)->second.find(Label)->second = Value;
}

void metrics::gauge(std::string_view Name, double Value) {
  auto It = Tables->Gauges.find(Name);
  if (It == Tables->Gauges.end())
    Tables->Gauges.emplace(std::string(Name), Value);
  else
    It->second = Value;
}

void metrics::eachCount(
    const std::function<void(std::string_view, std::string_view, uint64_t)>
        &Each) const {
  for (const auto &[Name, Rows] : Tables->Counters)
    for (const auto &[Label, Value] : Rows)
      Each(Name, Label, Value);
}

std::string metrics::prometheusText() const {
  std::string Text;
  for (size_t I = 0; I < MeasureNames.size(); ++I) {
    std::string Name = "olivevalve_" + std::string(MeasureNames[I]);
    if (!Tables->Series[I].empty())
      absl::StrAppend(&Text, "# TYPE ", Name, " histogram\n");
    for (const auto &[Class, Series] : Tables->Series[I]) {
      double Total = Series.Histogram.at(-1);
      for (int Bin = 0; Bin < int(Bins); ++Bin) {
        Total += Series.Histogram.at(Bin);
        absl::StrAppend(&Text, Name, "_bucket{class=\"", Class, "\",le=\"",
                        Series.Histogram.axis().bin(Bin).upper(), "\"} ", Total,
                        "\n");
      }
      Total += Series.Histogram.at(int(Bins));
      absl::StrAppend(&Text, Name, "_bucket{class=\"", Class,
                      "\",le=\"+Inf\"} ", Total, "\n", Name, "_sum{class=\"",
                      Class, "\"} ", Series.Sum, "\n");
      absl::StrAppend(&Text, Name, "_count{class=\"", Class, "\"} ", Total,
                      "\n");
    }
  }
  for (const auto &[Name, Rows] : Tables->Counters) {
    absl::StrAppend(&Text, "# TYPE olivevalve_", Name, "_total counter\n");
    for (const auto &[Label, Value] : Rows)
      absl::StrAppend(&Text, "olivevalve_", Name, "_total{kind=\"", Label,
                      "\"} ", Value, "\n");
  }
  for (const auto &[Name, Value] : Tables->Gauges)
    absl::StrAppend(&Text, "# TYPE olivevalve_", Name, " gauge\nolivevalve_",
                    Name, " ", Value, "\n");
  return Text;
}

} // namespace olivevalve
