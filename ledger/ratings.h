//===- ratings.h - Ratings and exposure in the replicated state -*- C++ -*-===//
//
// Adds every committed rating to the estimates of quality and cost and to the
// statistical tests of the roll-out guard. They are part of the replicated
// state, so that a new leader decides on the same data.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_RATINGS_H
#define OLIVEVALVE_LEDGER_RATINGS_H

#include "catalog/catalog.h"
#include "ledger/published_estimates.h"
#include "policy/guard.h"
#include "wire/wire.pb.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace olivevalve {

/// A version's traffic of one template or of one client account.
struct guard_scope {
  enum class scope_kind : uint8_t { Template, Account } Kind;
  std::string Name;
};

/// Result of the guard's tests for one version.
struct guard_report {
  version_name Name;
  guard_verdict Verdict = guard_verdict::Go;
  std::string Reason; ///< The test that failed; empty: none.
  /// Scopes in which the version has to stop while it continues elsewhere.
  std::vector<guard_scope> StoppedScopes;
  /// Answers that all entries together may still give before more ratings
  /// arrive. Applies to rolling versions only.
  double Allowance = 0;
  /// Highest evidence of all tests, each divided by the factor by which its
  /// threshold is raised.
  double Evidence = 0;
  double Ratings = 0; ///< Ratings received, failures included.
  double Answers = 0; ///< Answers given.
};

/// Ratings of all versions, as estimates and as tests of the guard.
class rating_store {
public:
  void add(const wire::rating &Rating, const catalog &Catalog);
  /// Adds to the number of answers that a version has given.
  void addExposure(const wire::exposure &Exposure);
  /// Evaluates the tests of every version that takes new requests.
  std::vector<guard_report> evaluate(const catalog &Catalog) const;
  const estimates &quality() const { return Estimates; }
  /// Adds to \p Table about \p MaxCells of the cells published since the index
  /// \p HeldIndex, which the node reported as the last it holds.
  void fillEstimateTable(uint64_t HeldIndex, size_t MaxCells,
                         wire::estimate_table &Table) const;
  /// Number of ratings added so far; the index of published estimates.
  uint64_t ratings() const { return Count; }
  /// Discards the tests of a version that an operator rolls out again.
  void reset(const version_name &Name);
  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  using scope_tests = std::map<std::string, score_test>;
  struct version_record {
    double Answers = 0;
    double Ratings = 0;
    score_test Overall;
    /// Scores are 1 for a complete answer in time, 0 for a failure.
    score_test Failures;
    scope_tests ByTemplate;
    scope_tests ByAccount;
  };
  double referenceScore(const std::string &Template, const version_name &Name,
                        const catalog &Catalog) const;
  static guard_report evaluateVersion(const version_name &Name,
                                      const version_spec &Spec,
                                      const version_record &Record);
  static double evidenceExcluding(const version_spec &Spec,
                                  const version_record &Record,
                                  const guard_scope *Scope);
  static bool passesExcluding(const version_spec &Spec,
                              const version_record &Record,
                              const guard_scope &Scope);
  static std::optional<guard_scope>
  onlyFailingScope(const version_spec &Spec, const version_record &Record);

  void addEstimate(const estimate_key &Key, double Score, double Cost);

  estimates Estimates;
  published_estimates Published;
  std::map<version_name, version_record> Versions;
  uint64_t Count = 0;
};

/// Appends all cells to \p Out.
void saveCells(const estimates &Estimates,
               google::protobuf::RepeatedPtrField<wire::rating_sum> &Out);

/// Sets the cells of \p In in \p Estimates; others are left unchanged.
void loadCells(const google::protobuf::RepeatedPtrField<wire::rating_sum> &In,
               estimates &Estimates);

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_RATINGS_H
