//===- commands.h - Commands of olivevalvectl -------------------*- C++ -*-===//

#ifndef OLIVEVALVE_CTL_COMMANDS_H
#define OLIVEVALVE_CTL_COMMANDS_H

#include "ctl/operator_client.h"
#include <string>
#include <string_view>
#include <vector>

namespace olivevalve {

/// The parsed command line of one command.
struct command_options {
  operator_client_options Client;
  bool Json = false; ///< -o json: print JSON instead of a table.
  std::string File;  ///< -f: configuration file.
  /// Id under which a change is sent; empty: a random one.
  std::string ChangeId;
  int Count = 0; ///< watch: changes to print before it exits; 0: no limit.
  std::vector<std::string> Arguments; ///< What follows the command's name.
};

/// One row of the command table.
struct command_entry {
  std::string_view Name;
  std::string_view Usage; ///< Arguments, as shown by --help.
  std::string_view Help;
  absl::Status (*Run)(const command_options &Options);
};

/// All commands, in the order in which --help lists them.
const std::vector<command_entry> &commandTable();

/// The process exit code for a command's result: 0 success, 1 refused or
/// failed, 2 invalid usage, 3 conflict with another change, 4 no control VM
/// answered in time.
int exitCodeFor(const absl::Status &Status);

} // namespace olivevalve

#endif // OLIVEVALVE_CTL_COMMANDS_H
