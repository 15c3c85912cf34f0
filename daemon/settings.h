//===- settings.h - The daemon's settings file ------------------*- C++ -*-===//

#ifndef OLIVEVALVE_DAEMON_SETTINGS_H
#define OLIVEVALVE_DAEMON_SETTINGS_H

#include "absl/status/statusor.h"
#include "base/log.h"
#include "control/control_task.h"
#include "entry/entry_task.h"
#include "gateway/gateway_task.h"
#include "sidecar/sidecar_task.h"
#include <optional>

namespace olivevalve {

/// Paths of the files with the key pair that encrypts links between processes;
/// 'olivevalvectl link-keys' writes them.
struct key_files {
  std::string Public;
  std::string Secret;
};

/// Contents of a settings file. A role runs if its options are present.
struct settings {
  std::string Node; ///< Name of this process.
  std::string DataHall;
  /// Address of /healthz, /readyz, /metrics and /log-level.
  std::string HealthAddress = "127.0.0.1:0";
  log_level LogLevel = log_level::Info;
  /// Bounds a planned stop, counted from when new work is refused.
  double DrainSeconds = 300;
  /// An entry or gateway that begins a planned stop reports not ready for this
  /// time and still accepts requests, until the balancer, which polls /readyz
  /// periodically, sends no more.
  double UnreadySeconds = 5;
  std::optional<key_files> Keys; ///< Links are not encrypted without keys.
  std::optional<entry_options> Entry;
  std::optional<sidecar_options> Sidecar;
  std::optional<control_options> Control;
  std::optional<gateway_options> Gateway;

  /// Names of the roles that are present, joined by '+'.
  std::string roles() const;
};

/// Reads and validates a settings file. The error lists every fault with file,
/// line and field.
absl::StatusOr<settings> loadSettings(const std::string &Path);

/// Reads the key files; an error names the file. Both keys are empty if the
/// settings name no key files.
absl::StatusOr<link_keys> loadKeys(const settings &Settings);

} // namespace olivevalve

#endif // OLIVEVALVE_DAEMON_SETTINGS_H
