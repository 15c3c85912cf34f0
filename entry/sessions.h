//===- sessions.h - Versions that sessions are pinned to --------*- C++ -*-===//
//
// Control decides for all entries which version a session is pinned to. The
// entry caches the pin, so that most requests of a session need no query.
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

/// A session of one client account under one model or template.
struct session_key {
  std::string Account;
  std::string Session;
  std::string Model; ///< Model, template or version, as the caller wrote it.
  auto operator<=>(const session_key &) const = default;
};

/// Cache of the pins that control has committed.
class sessions {
public:
  explicit sessions(control_client &Control) : Control(Control) {}

  /// The cached pin; empty: none.
  std::optional<version_name> cachedPin(const session_key &Key);
  /// Proposes to control to pin the session to \p Wanted. \p Done gets the
  /// version that control has committed, which may be another one, or nothing
  /// if control did not respond. \p Replaces is an unusable pin that may be
  /// overwritten.
  void pin(const session_key &Key, const version_name &Wanted,
           const std::optional<version_name> &Replaces,
           std::function<void(std::optional<version_name>)> Done);
  size_t size() const { return Pins.size(); }

private:
  struct pin_record {
    version_name Version;
    double ConfirmedAt = 0; ///< When control confirmed it.
  };
  void expire(double Now);

  control_client &Control;
  std::map<session_key, pin_record> Pins;
  std::deque<session_key> InsertionOrder; ///< Oldest first.
};

} // namespace olivevalve

#endif // OLIVEVALVE_ENTRY_SESSIONS_H
