//===- ratings.h - Ratings and exposure in the replicated state -*- C++ -*-===//
//
// Feeds every committed rating to the estimates and to the roll-out guard's
// tests, so that whichever control VM leads next judges from the same sums.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_RATINGS_H
#define OLIVEVALVE_LEDGER_RATINGS_H

#include "catalog/catalog.h"
#include "ledger/published.h"
#include "policy/guard.h"
#include "wire/wire.pb.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace olivevalve {

/// A part of a version's traffic.
struct guard_scope {
  enum class scope_kind : uint8_t { Template, Account } Kind;
  std::string Name;
};

/// What the guard says of one version.
struct guard_report {
  version_name Name;
  guard_verdict Verdict = guard_verdict::Go;
  std::string Reason;
  std::vector<guard_scope> Stops; ///< Parts it ends while the rest goes on.
  double Allowance = 0; ///< All entries together; rolling versions only.
  double Evidence = 0;  ///< The strongest of its tests.
  double Ratings = 0;
  double Answers = 0;
};

class rating_book {
public:
  void add(const wire::rating &Rating, const catalog &Catalog);
  void addExposure(const wire::exposure &Exposure);
  /// Judges every version that takes new work.
  std::vector<guard_report> judge(const catalog &Catalog) const;
  const estimates &quality() const { return Estimates; }
  /// The cells that a node which knows those up to \p Known has to hear.
  void fillNews(uint64_t Known, size_t Most, wire::estimate_table &Table) const;
  uint64_t ratings() const { return Count; }
  /// Forgets a version's tests, when an operator rolls it out again.
  void reset(const version_name &Name);
  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  using scope_tests = std::map<std::string, score_test>;
  struct version_record {
    double Answers = 0;
    double Ratings = 0;
    score_test Overall;
    score_test Failures; ///< Score 1: a whole answer in time.
    scope_tests ByTemplate;
    scope_tests ByAccount;
  };
  double referenceFor(const std::string &Template, const version_name &Name,
                      const catalog &Catalog) const;
  static guard_report judgeOne(const version_name &Name,
                               const version_spec &Spec,
                               const version_record &Record);
  static double evidenceWithout(const version_spec &Spec,
                                const version_record &Record,
                                const guard_scope *Scope);
  static bool goodWithout(const version_spec &Spec,
                          const version_record &Record,
                          const guard_scope &Scope);
  static std::optional<guard_scope> onlyBadScope(const version_spec &Spec,
                                                 const version_record &Record);

  void addEstimate(const estimate_key &Key, double Score, double Cost);

  estimates Estimates;
  published_cells Published;
  std::map<version_name, version_record> Versions;
  uint64_t Count = 0;
};

/// Writes all cells into \p Out.
void saveCells(const estimates &Estimates,
               google::protobuf::RepeatedPtrField<wire::rating_sum> &Out);

/// Sets the cells of \p In in \p Estimates; others stay.
void loadCells(const google::protobuf::RepeatedPtrField<wire::rating_sum> &In,
               estimates &Estimates);

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_RATINGS_H
