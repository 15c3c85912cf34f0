//===- estimate.h - Expected quality and cost -------------------*- C++ -*-===//
//
// Mean ratings and costs of each arm (a version, or a cascade of two) per
// template and client account. The mean of a cell with few ratings is shrunk
// towards that of the template, which is shrunk towards that of the arm. Old
// ratings are discounted, so that the means follow changes. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_ESTIMATE_H
#define OLIVEVALVE_POLICY_ESTIMATE_H

#include "catalog/document.h"
#include <map>
#include <string>

namespace olivevalve {

/// A way to answer a request: with First alone, or with First and, if its
/// answer is rated low, with Second.
struct arm {
  version_name First;
  version_name Second; ///< No cascade if its Model is empty.
  bool isCascade() const { return !Second.Model.empty(); }
  auto operator<=>(const arm &) const = default;
  /// "FIRST", or "FIRST>SECOND" for a cascade.
  std::string text() const;
};

/// Parses the result of arm::text().
arm parseArm(std::string_view Text);

/// Identifies a cell of the estimates.
struct estimate_key {
  std::string Template; ///< Empty: all templates.
  std::string Account;  ///< Empty: all client accounts.
  arm Arm;
  auto operator<=>(const estimate_key &) const = default;
};

/// Sums of one cell, in which old ratings are discounted exponentially.
struct estimate_sums {
  double Ratings = 0; ///< Number of ratings.
  double Scores = 0;  ///< Sum of scores, each 0 to 1.
  double Costs = 0;   ///< Sum of costs in price units.
  void add(double Score, double Cost);
};

struct estimate {
  double Quality = 0; ///< Expected score, 0 to 1.
  double Error = 0;   ///< Standard error of Quality.
  double Cost = 0;    ///< Expected price units per answer.
  double Ratings = 0; ///< Discounted number of ratings of the template.
};

class estimates {
public:
  /// Adds a rating to the cell and to those of its template and its arm.
  void add(const estimate_key &Key, double Score, double Cost);
  /// \p PriorCost is used until costs are observed.
  estimate of(const estimate_key &Key, double PriorCost) const;
  const std::map<estimate_key, estimate_sums> &cells() const { return Cells; }
  void set(const estimate_key &Key, const estimate_sums &Sums) {
    Cells[Key] = Sums;
    ++Revision;
  }
  /// A number that increases with every change.
  uint64_t revision() const { return Revision; }
  void clear() {
    Cells.clear();
    ++Revision;
  }

private:
  const estimate_sums &cell(const estimate_key &Key) const;
  std::map<estimate_key, estimate_sums> Cells;
  uint64_t Revision = 1;
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_ESTIMATE_H
