//===- operator_client.h - Calls to control ---------------------*- C++ -*-===//
//
// Finds the leader among the control VMs and retries calls that got no answer.
// Retries are safe: a change keeps its id over all retries, and control applies
// an id only once.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CTL_OPERATOR_CLIENT_H
#define OLIVEVALVE_CTL_OPERATOR_CLIENT_H

#include "absl/status/statusor.h"
#include "base/fields.h"
#include <string>
#include <vector>

namespace olivevalve {

struct operator_client_options {
  /// Operator addresses of the control VMs, "IP:port"; at least one.
  std::vector<std::string> Control;
  std::string Key;            ///< Operator key; empty: sent without one.
  double TimeoutSeconds = 30; ///< Bounds a call with all its retries.
};

/// Blocking client of control's operator interface.
class operator_client {
public:
  explicit operator_client(operator_client_options Options)
      : Options(std::move(Options)) {}

  /// Calls the leader and returns its JSON answer. Errors carry the kind that
  /// control reported, or NoQuorum if no leader answered within the timeout.
  absl::StatusOr<json> get(const std::string &Path);
  absl::StatusOr<json> post(const std::string &Path, const json &Body);

private:
  struct reply {
    int Status = 0; ///< HTTP status; 0: no answer.
    std::string Body;
  };
  /// Sends one HTTP request; \p Seconds bounds it.
  reply callOnce(const std::string &Address, const std::string &Method,
                 const std::string &Path, const std::string &Body,
                 double Seconds);
  /// False if the control VM does not answer or reports that it is not the
  /// leader.
  bool mayLead(const std::string &Address);
  absl::StatusOr<json> call(const std::string &Method, const std::string &Path,
                            const std::string &Body);

  /// Selects the next control VM; pauses after each full round.
  void selectNext();

  operator_client_options Options;
  size_t Current = 0; ///< Index in Control of the VM to call.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CTL_OPERATOR_CLIENT_H
