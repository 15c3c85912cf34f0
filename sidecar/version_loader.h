//===- version_loader.h - Loading of assigned versions ----------*- C++ -*-===//
//
// Makes the engine of a managed upstream load the versions that control has
// assigned. Every load order carries a fencing number above those of all orders
// before it, whichever sidecar sent them. An engine that checks the number
// refuses orders that are late or come from an outdated sidecar. For engines
// that do not check it, the loaded versions are compared periodically.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_SIDECAR_VERSION_LOADER_H
#define OLIVEVALVE_SIDECAR_VERSION_LOADER_H

#include "catalog/document.h"
#include "net/http_client.h"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace olivevalve {

/// An engine's report of its state.
struct engine_models {
  uint64_t Fence = 0;           ///< Fencing number of the last accepted order.
  std::set<std::string> Loaded; ///< By the engine's own model names.
};

/// Empty if \p Body is not a valid report.
std::optional<engine_models> parseEngineModels(std::string_view Body);

/// The versions that control has assigned to an upstream.
struct version_assignment {
  /// Of the assignment. Orders under a later one have higher fencing numbers.
  uint64_t Index = 0;
  std::map<version_name, std::string> Versions; ///< With the engine's names.
  size_t Room = 0; ///< Versions that the engine can hold at once.
};

/// The versions to be loaded now: assigned versions and those that still have
/// requests in flight, which are never unloaded. A newly assigned version waits
/// until there is room.
std::map<version_name, std::string>
versionsToLoad(const version_assignment &Assignment,
               const std::map<version_name, std::string> &Held,
               const std::set<version_name> &InUse);

/// Keeps one engine on its assignment.
class version_loader {
public:
  version_loader(http_client &Http, std::string EngineUrl);

  /// Adopts the assignment and starts a request that applies it or checks the
  /// engine's state. Must be called periodically, and only while the sidecar
  /// holds a lease. \p InUse are the versions with requests in flight.
  void update(const version_assignment &Assignment,
              const std::set<version_name> &InUse);
  /// Versions that the engine reported last.
  const std::set<version_name> &loaded() const { return Loaded; }

  std::function<void()> OnChanged; ///< Called when loaded() has changed.

private:
  void sendRequest(std::string Method, std::string Body);
  void onResponse(int Status, std::string_view Body);
  void sendOrder();

  http_client &Http;
  std::string Url;
  version_assignment Assignment;
  std::map<version_name, std::string> Target; ///< Versions of the last order.
  /// The engine's names of all versions assigned so far.
  std::map<version_name, std::string> EngineNames;
  std::set<version_name> Loaded;
  uint64_t Fence = 0;     ///< Fencing number of the last order.
  bool Confirmed = false; ///< The engine has accepted Target.
  bool Pending = false;   ///< A request to the engine is open.
};

} // namespace olivevalve

#endif // OLIVEVALVE_SIDECAR_VERSION_LOADER_H
