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

/// Files that hold the system's key pair; see 'olivevalvectl link-keys'.
struct key_files {
  std::string Public;
  std::string Secret;
};

struct settings {
  std::string Node;
  std::string DataHall;
  std::string HealthAddress = "127.0.0.1:0"; ///< /healthz, /readyz, /metrics.
  log_level LogLevel = log_level::Info;
  double DrainSeconds = 300; ///< Longest planned stop.
  /// An entry that is to stop says for so long that it is not ready and still
  /// serves: until the balancer, which asks now and then, sends it nothing.
  double UnreadySeconds = 5;
  std::optional<key_files> Keys;
  std::optional<entry_options> Entry;
  std::optional<sidecar_options> Sidecar;
  std::optional<control_options> Control;
  std::optional<gateway_options> Gateway;

  std::string roles() const;
};

/// Reads and checks a whole file; the error lists every fault with file and
/// field.
absl::StatusOr<settings> loadSettings(const std::string &Path);

/// The keys themselves; an error names the file. Empty without key files.
absl::StatusOr<link_keys> loadKeys(const settings &Settings);

} // namespace olivevalve

#endif // OLIVEVALVE_DAEMON_SETTINGS_H
