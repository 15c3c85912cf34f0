//===- estimate.h - Expected quality and cost -------------------*- C++ -*-===//
//
// Means of ratings and costs for each arm (a version, or a cascade of two) per
// template and client account. Small cells lean on the template's mean, which
// leans on the arm's. Old ratings fade, so that drift is followed. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_ESTIMATE_H
#define OLIVEVALVE_POLICY_ESTIMATE_H

#include "catalog/document.h"
#include <map>
#include <string>

namespace olivevalve {

/// One way to answer: First alone, or First and, if rated low, Second.
struct arm {
  version_name First;
  version_name Second; ///< Model empty: no cascade.
  bool isCascade() const { return !Second.Model.empty(); }
  auto operator<=>(const arm &) const = default;
  std::string text() const;
};

arm parseArm(std::string_view Text);

struct estimate_key {
  std::string Template;
  std::string Account; ///< Empty: all of them.
  arm Arm;
  auto operator<=>(const estimate_key &) const = default;
};

/// Fading sums of one cell.
struct estimate_sums {
  double Ratings = 0; ///< Count.
  double Scores = 0;
  double Costs = 0;
  void add(double Score, double Cost);
};

struct estimate {
  double Quality = 0; ///< Expected rating, 0 to 1.
  double Error = 0;   ///< Standard error of Quality.
  double Cost = 0;    ///< Price units for one answer.
  double Ratings = 0;
};

class estimates {
public:
  void add(const estimate_key &Key, double Score, double Cost);
  /// \p PriorCost is used until costs are known.
  estimate of(const estimate_key &Key, double PriorCost) const;
  const std::map<estimate_key, estimate_sums> &cells() const { return Cells; }
  void set(const estimate_key &Key, const estimate_sums &Sums) {
    Cells[Key] = Sums;
    ++Change;
  }
  /// Another number after every change.
  uint64_t change() const { return Change; }
  /// Arms seen for \p Template are forgotten when their version is gone.
  void clear() {
    Cells.clear();
    ++Change;
  }

private:
  const estimate_sums &cell(const estimate_key &Key) const;
  std::map<estimate_key, estimate_sums> Cells;
  uint64_t Change = 1;
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_ESTIMATE_H
