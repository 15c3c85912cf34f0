//===- metrics.h - Counters and histograms ----------------------*- C++ -*-===//
//
// Histograms per client account or class and counters per name, printed as
// Prometheus text. Times are seconds; cost is in price units of the models.
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

enum class measure : uint8_t {
  TimeToFirstToken,
  BetweenTokens,
  TotalTime,
  QueueTime,
  Cost,
  Last = Cost
};

/// The class of a priority from 0 (first) to 3, as it stands in metrics. No
/// client account is called so: names of objects have no blanks.
constexpr std::string_view priorityClass(uint32_t Priority) {
  constexpr std::array<std::string_view, 4> Names = {
      "priority 0", "priority 1", "priority 2", "priority 3"};
  return Names[Priority < Names.size() ? Priority : Names.size() - 1];
}

/// All metrics of one process; every role adds to the same registry.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  metrics &operator=(const metrics &) = delete;

  /// Adds one value to the histogram of \p Class, a client account or
  /// priority class.
  void record(measure Measure, std::string_view Class, double Value);
  void count(std::string_view Counter, std::string_view Label,
             uint64_t Add = 1);
  /// Sets a counter that is kept elsewhere.
  void setCount(std::string_view Counter, std::string_view Label,
                uint64_t Value);
  void gauge(std::string_view Name, double Value);
  /// Calls \p Each for every row of every counter.
  void eachCount(
      const std::function<void(std::string_view Counter, std::string_view Label,
                               uint64_t Value)> &Each) const;
  std::string prometheusText() const;

private:
  struct tables;
  std::unique_ptr<tables> Tables;
};

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_METRICS_H
