//===- session_pins.h - Software version of each session --------*- C++ -*-===//

#ifndef OLIVEVALVE_GATEWAY_SESSION_PINS_H
#define OLIVEVALVE_GATEWAY_SESSION_PINS_H

#include "base/digest.h"
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace olivevalve {

/// The software version that served a session last.
struct session_pin {
  std::string Version; ///< Software version of the upstream.
  /// Seconds of the steady clock.
  double TouchedAt = 0;
};

/// Hashes of sessions that all gateways hold on one version. A gateway reports
/// each of its own once.
class shared_pins {
public:
  /// Holds or renews the session with this hash; it is to be reported.
  void pin(uint64_t Key, double Now) {
    if (PinnedAt.insert_or_assign(Key, Now).second)
      Unreported.push_back(Key);
  }
  /// The same, on the report of another gateway.
  void apply(uint64_t Key, double Now) { PinnedAt.insert_or_assign(Key, Now); }
  /// True if the session was pinned within the last \p Lifetime seconds.
  bool has(uint64_t Key, double Now, double Lifetime) const {
    auto It = PinnedAt.find(Key);
    return It != PinnedAt.end() && Now < It->second + Lifetime;
  }
  /// Returns the hashes that were not reported yet, once each.
  std::vector<uint64_t> takeUnreported() {
    return std::exchange(Unreported, {});
  }
  void forgetOld(double Now, double Lifetime) {
    std::erase_if(PinnedAt, [&](const auto &Each) {
      return Now > Each.second + Lifetime;
    });
  }

private:
  std::unordered_map<uint64_t, double> PinnedAt;
  std::vector<uint64_t> Unreported;
};

/// Sessions of this gateway by service and session id. A pin expires some time
/// after the last request of its session.
class session_pins {
public:
  static constexpr size_t MaxPins = 65536;

  /// Seconds after the last request at which a pin expires.
  void setLifetime(double Seconds) { Lifetime = Seconds; }

  /// The pin of a session; null: none, or expired.
  const session_pin *find(const std::string &Service,
                          const std::string &Session, double Now) const {
    auto It = Pins.find(keyOf(Service, Session));
    bool Fresh = It != Pins.end() && Now < It->second.TouchedAt + Lifetime;
    return Fresh ? &It->second : nullptr;
  }
  /// Sets or renews the pin of a session. A new one is not set while there are
  /// MaxPins.
  void touch(const std::string &Service, const std::string &Session,
             session_pin Pin) {
    std::string Key = keyOf(Service, Session);
    if (Pins.size() < MaxPins || Pins.contains(Key))
      Pins[std::move(Key)] = std::move(Pin);
  }
  /// Sessions of the stable version that no canary may take over.
  shared_pins &stable() { return Stable; }
  /// Sessions of the version that is being rolled out, which stay there while
  /// it gets no new ones.
  shared_pins &canary() { return Canary; }
  bool isPinnedToStable(uint64_t Key, double Now) const {
    return Stable.has(Key, Now, Lifetime);
  }
  bool isPinnedToCanary(uint64_t Key, double Now) const {
    return Canary.has(Key, Now, Lifetime);
  }
  /// Drops expired pins.
  void forgetOld(double Now) {
    Stable.forgetOld(Now, Lifetime);
    Canary.forgetOld(Now, Lifetime);
    std::erase_if(Pins, [&](const auto &Pin) {
      return Now > Pin.second.TouchedAt + Lifetime;
    });
  }
  size_t size() const { return Pins.size(); }

private:
  // Callers choose the ids, so long ones are kept as their digest. Neither name
  // contains a byte below a space.
  static std::string keyOf(const std::string &Service,
                           const std::string &Session) {
    if (Session.size() <= MaxIdBytes)
      return Service + '\0' + Session;
    return Service + '\1' + hexOf(shortDigest(Session));
  }

  static constexpr size_t MaxIdBytes = 64;

  std::unordered_map<std::string, session_pin> Pins;
  shared_pins Stable;
  shared_pins Canary;
  double Lifetime = 10;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_SESSION_PINS_H
