//===- sessions.h - Sessions keep their version -----------------*- C++ -*-===//
//
// The version a session is pinned to, decided by control for all entries and
// kept here for a while, so that most requests of a session ask nobody.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_ENTRY_SESSIONS_H
#define OLIVEVALVE_ENTRY_SESSIONS_H

#include "catalog/document.h"
#include "lease/control_client.h"
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace olivevalve {

/// One session of one client account under one model or template.
struct session_key {
  std::string Account;
  std::string Session;
  std::string Model; ///< As the caller named it.
  auto operator<=>(const session_key &) const = default;
};

class sessions {
public:
  explicit sessions(control_client &Control) : Control(Control) {}

  /// The pin known here, if any.
  std::optional<version_name> known(const session_key &Key);
  /// Proposes \p Wanted; \p Done gets the version that stands, or nothing when
  /// control could not be reached. \p Replaces is a pin that ended.
  void pin(const session_key &Key, const version_name &Wanted,
           const std::optional<version_name> &Replaces,
           std::function<void(std::optional<version_name>)> Done);
  size_t size() const { return Pins.size(); }

private:
  struct pin_record {
    version_name Version;
    double At = 0;
  };
  void expire(double Now);

  control_client &Control;
  std::map<session_key, pin_record> Pins;
  std::deque<session_key> Order;
};

} // namespace olivevalve

#endif // OLIVEVALVE_ENTRY_SESSIONS_H
