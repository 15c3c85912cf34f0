//===- metrics.h - Counters and histograms ----------------------*- C++ -*-===//
//
// Histograms per client account or priority class, labelled counters, and
// gauges, printed in Prometheus text format. Times are in seconds, costs in the
// price units of the models.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_METRICS_H
#define OLIVEVALVE_BASE_METRICS_H

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace olivevalve {

/// The quantities recorded in histograms.
enum class measure : uint8_t {
  TimeToFirstToken,
  BetweenTokens,
  TotalTime,
  QueueTime,
  Cost,
  Last = Cost
};

/// The metric label of a priority from 0 (most urgent) to 3; higher values are
/// treated as 3. It can't clash with the name of a client account, since names
/// of objects contain no spaces.
constexpr std::string_view priorityClass(uint32_t Priority) {
  constexpr std::array<std::string_view, 4> Names = {
      "priority 0", "priority 1", "priority 2", "priority 3"};
  return Names[Priority < Names.size() ? Priority : Names.size() - 1];
}

/// The metrics of one process, shared by all its roles.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  metrics &operator=(const metrics &) = delete;

  /// Adds one value to the histogram of \p Class, a client account or
  /// priority class.
  void record(measure Measure, std::string_view Class, double Value);
  /// Adds \p Add to a counter. With \p Add 0, creates it.
  void count(std::string_view Counter, std::string_view Label,
             uint64_t Add = 1);
  /// Sets a counter to a \p Value that is maintained elsewhere.
  void setCount(std::string_view Counter, std::string_view Label,
                uint64_t Value);
  /// Sets a gauge.
  void gauge(std::string_view Name, double Value);
  /// Calls \p Each for each counter and label.
  void eachCount(
      const std::function<void(std::string_view Counter, std::string_view Label,
                               uint64_t Value)> &Each) const;
  /// All metrics in Prometheus text format.
  std::string prometheusText() const;

private:
  struct tables;
  std::unique_ptr<tables> Tables;
};

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_METRICS_H
