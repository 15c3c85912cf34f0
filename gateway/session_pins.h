//===- session_pins.h - Software version of each session --------*- C++ -*-===//

#ifndef OLIVEVALVE_GATEWAY_SESSION_PINS_H
#define OLIVEVALVE_GATEWAY_SESSION_PINS_H

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

/// Sessions of this gateway by service and session id. A pin expires some time
/// after the last request of its session.
class session_pins {
public:
  /// Seconds after the last request at which a pin expires.
  void setLifetime(double Seconds) { Lifetime = Seconds; }

  /// The pin of a session; null: none, or expired.
  const session_pin *find(const std::string &Service,
                          const std::string &Session, double Now) const {
    auto It = Pins.find(keyOf(Service, Session));
    bool Fresh = It != Pins.end() && Now < It->second.TouchedAt + Lifetime;
    return Fresh ? &It->second : nullptr;
  }
  /// Sets or renews the pin of a session.
  void touch(const std::string &Service, const std::string &Session,
             session_pin Pin) {
    Pins[keyOf(Service, Session)] = std::move(Pin);
  }
  /// Pins the session with this hash to the stable version, so that no canary
  /// takes it over. The pin is to be reported to the other gateways.
  void pinToStable(uint64_t Key, double Now) {
    if (StableSessions.insert_or_assign(Key, Now).second)
      Unreported.push_back(Key);
  }
  /// The same, on the report of another gateway.
  void applyStablePin(uint64_t Key, double Now) {
    StableSessions.insert_or_assign(Key, Now);
  }
  /// True if the session with this hash is pinned to the stable version.
  bool isPinnedToStable(uint64_t Key, double Now) const {
    auto It = StableSessions.find(Key);
    return It != StableSessions.end() && Now < It->second + Lifetime;
  }
  /// Returns the hashes that were not reported yet, once each.
  std::vector<uint64_t> takeUnreportedPins() {
    return std::exchange(Unreported, {});
  }
  /// Drops expired pins.
  void forgetOld(double Now) {
    std::erase_if(StableSessions, [&](const auto &Each) {
      return Now > Each.second + Lifetime;
    });
    std::erase_if(Pins, [&](const auto &Pin) {
      return Now > Pin.second.TouchedAt + Lifetime;
    });
  }
  size_t size() const { return Pins.size(); }

private:
  // Neither name contains a zero byte.
  static std::string keyOf(const std::string &Service,
                           const std::string &Session) {
    return Service + '\0' + Session;
  }

  std::unordered_map<std::string, session_pin> Pins;
  /// When each session hash was last reported as served by the stable version.
  std::unordered_map<uint64_t, double> StableSessions;
  std::vector<uint64_t> Unreported;
  double Lifetime = 10;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_SESSION_PINS_H
