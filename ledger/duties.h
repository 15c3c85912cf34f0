//===- duties.h - Who calls the platform, and usage reports -----*- C++ -*-===//
//
// Some calls to the platform may be made by one process at a time. The store
// holds which control VM that is, the fencing token of its calls, and the usage
// reports that the platform has not accepted yet. A report is committed before
// it is first sent, so that each holder sends the same one. Part of the
// replicated state, so nothing here reads a clock.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_DUTIES_H
#define OLIVEVALVE_LEDGER_DUTIES_H

#include "wire/wire.pb.h"
#include <map>
#include <string>

namespace olivevalve {

class duty_store {
public:
  /// Reports kept for a platform that does not accept them. The oldest ones are
  /// dropped and counted as missed.
  static constexpr size_t MaxPendingReports = 120;

  /// Makes a control VM the holder. \p Index of the log entry is the token. The
  /// first claim of all says from which window on usage is reported.
  void claim(uint64_t Index, const wire::duty_claim &Claim);
  /// Fixes the report of a window. Ignored if it or a later one was fixed
  /// before. Windows that are left out count as missed.
  void fix(const wire::usage_window &Report);
  /// Drops the report of a window, which the platform has answered.
  void finish(const wire::usage_result &Result);

  /// Fencing token of the holder; 0: there is none yet.
  uint64_t token() const { return Token; }
  uint64_t controlVm() const { return ControlVm; }
  const std::string &node() const { return Node; }
  /// The first window without a fixed report; 0: there was no claim yet.
  uint64_t nextWindow() const { return NextWindow; }
  /// Reports to send, by window.
  const std::map<uint64_t, wire::usage_window> &pending() const {
    return Pending;
  }
  /// The newest window whose report was accepted; 0: none.
  uint64_t lastAccepted() const { return LastAccepted; }
  /// Windows that were left out, dropped, or not accepted.
  uint64_t missed() const { return Missed; }

  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  uint64_t Token = 0;
  uint64_t ControlVm = 0;
  std::string Node;
  uint64_t NextWindow = 0;
  std::map<uint64_t, wire::usage_window> Pending;
  uint64_t LastAccepted = 0;
  uint64_t Missed = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_DUTIES_H
