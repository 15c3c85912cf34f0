//===- commands.h - What olivevalvectl can do -------------------*- C++ -*-===//

#ifndef OLIVEVALVE_CTL_COMMANDS_H
#define OLIVEVALVE_CTL_COMMANDS_H

#include "ctl/operator_client.h"
#include <string>
#include <string_view>
#include <vector>

namespace olivevalve {

struct command_options {
  operator_client_options Client;
  bool Json = false;    ///< -o json
  std::string File;     ///< -f
  std::string ChangeId; ///< Random if empty.
  int Count = 0;        ///< watch: changes to print; 0: no end.
  std::vector<std::string> Arguments;
};

struct command_entry {
  std::string_view Name;
  std::string_view Usage; ///< Arguments.
  std::string_view Help;
  absl::Status (*Run)(const command_options &Options);
};

/// All commands, in the order they are listed.
const std::vector<command_entry> &commandTable();

/// Exit codes: 0 good, 1 refused or failed, 2 wrong use, 3 conflict,
/// 4 no control VM answered.
int exitCodeFor(const absl::Status &Status);

} // namespace olivevalve

#endif // OLIVEVALVE_CTL_COMMANDS_H
