//===- version_loader.h - Orders versions from an engine --------*- C++ -*-===//
//
// Sees to it that the engine of a managed upstream holds the versions that
// control has assigned. Orders are fenced: the number of each is above that of
// all before it, whichever sidecar gave them, so that an engine which checks
// refuses one that comes late or from a sidecar that time has passed by. For
// an engine that does not check, what it holds is compared again and again.
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

/// What an engine says that it holds.
struct engine_models {
  uint64_t Fence = 0;           ///< Of the last order that it took.
  std::set<std::string> Loaded; ///< In the engine's names.
};

std::optional<engine_models> parseEngineModels(std::string_view Body);

/// What control wants of an upstream.
struct load_wish {
  uint64_t Index = 0; ///< Of the assignment; orders of a later one win.
  std::map<version_name, std::string> Versions; ///< To the engine's names.
  size_t Room = 0;
};

/// The versions to order now: those wanted, and those that still have work. A
/// version with work is never unloaded; a new one waits until there is room.
std::map<version_name, std::string>
versionsToOrder(const load_wish &Wish,
                const std::map<version_name, std::string> &Held,
                const std::set<version_name> &InUse);

class version_loader {
public:
  version_loader(http_client &Http, std::string EngineUrl);

  /// Takes the wish over and looks how far the engine is. Called again and
  /// again, only while the sidecar holds a lease.
  void work(const load_wish &Wish, const std::set<version_name> &InUse);
  const std::set<version_name> &loaded() const { return Loaded; }

  std::function<void()> OnChanged; ///< loaded() is another.

private:
  void ask(std::string Method, std::string Body);
  void onAnswer(int Status, std::string_view Body);
  void order();

  http_client &Http;
  std::string Url;
  load_wish Wish;
  std::map<version_name, std::string> Target; ///< What was or is to be ordered.
  std::map<version_name, std::string> Known;  ///< Names of all wanted so far.
  std::set<version_name> Loaded;
  uint64_t Fence = 0;   ///< Of the last order given.
  bool Ordered = false; ///< Target was taken by the engine.
  bool Pending = false;
};

} // namespace olivevalve

#endif // OLIVEVALVE_SIDECAR_VERSION_LOADER_H
