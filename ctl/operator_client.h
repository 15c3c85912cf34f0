//===- operator_client.h - Calls to control ---------------------*- C++ -*-===//
//
// Finds the leader among the control VMs and repeats calls whose answer was
// lost. A change is always sent under one id, so a repeat is never a second
// change.
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
  std::vector<std::string> Control; ///< "IP:port" of operators' interfaces.
  std::string Key;
  double TimeoutSeconds = 30;
};

class operator_client {
public:
  explicit operator_client(operator_client_options Options)
      : Options(std::move(Options)) {}

  absl::StatusOr<json> get(const std::string &Path);
  absl::StatusOr<json> post(const std::string &Path, const json &Body);

private:
  struct reply {
    int Status = 0; ///< 0: no answer.
    std::string Body;
  };
  reply callOnce(const std::string &Address, const std::string &Method,
                 const std::string &Path, const std::string &Body,
                 double Seconds);
  /// False if the VM does not answer or says that another one leads.
  bool mayLead(const std::string &Address);
  absl::StatusOr<json> call(const std::string &Method, const std::string &Path,
                            const std::string &Body);

  void moveOn();

  operator_client_options Options;
  size_t Current = 0; ///< Answered last.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CTL_OPERATOR_CLIENT_H
