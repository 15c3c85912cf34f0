//===- loop.h - Event loop watchers -----------------------------*- C++ -*-===//
//
// RAII wrappers around libev watchers, which stop when destroyed. All tasks of
// a process run on one loop, and each owns its watchers.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_LOOP_H
#define OLIVEVALVE_BASE_LOOP_H

#include <ev.h>
#include <functional>

namespace olivevalve {

/// A one-shot or repeating timer. If it fires very late, as after a pause of
/// the process, the callback is deferred until the loop has handled ready
/// descriptors. Otherwise a timeout could expire although the awaited message
/// has already arrived.
class timer {
public:
  timer(struct ev_loop *Loop, std::function<void()> Callback);
  ~timer() { stop(); }
  timer(const timer &) = delete;
  timer &operator=(const timer &) = delete;

  void startOnce(double Seconds);
  void startRepeating(double Seconds);
  void stop() { ev_timer_stop(Loop, &Watcher); }
  bool active() const { return ev_is_active(&Watcher); }

private:
  void start(double Seconds);
  void due();

  struct ev_loop *Loop;
  ev_timer Watcher{};
  double Interval = 0; ///< In seconds; 0 for a one-shot timer.
  double DueAt = 0;    ///< In seconds of steadySeconds().
  /// The timer fired very late and was deferred.
  bool Deferred = false;
  std::function<void()> Callback;
};

/// Reports when a file descriptor is ready. Within one loop iteration its
/// callback runs before those of timers.
class descriptor_watch {
public:
  /// \p Callback gets the EV_READ / EV_WRITE bits that are ready.
  descriptor_watch(struct ev_loop *Loop, std::function<void(int)> Callback);
  ~descriptor_watch() { stop(); }
  descriptor_watch(const descriptor_watch &) = delete;
  descriptor_watch &operator=(const descriptor_watch &) = delete;

  /// Watches \p Descriptor for the EV_READ / EV_WRITE bits in \p Events.
  /// Replaces what was watched before.
  void start(int Descriptor, int Events);
  void stop() { ev_io_stop(Loop, &Watcher); }
  /// Makes the callback run in the next loop iteration as if the descriptor
  /// were ready for reading.
  void feed() { ev_feed_event(Loop, &Watcher, EV_READ); }

private:
  struct ev_loop *Loop;
  ev_io Watcher{};
  std::function<void(int)> Callback;
};

/// Detects that the process did not run for a while because it was stopped by a
/// signal, suspended with its VM, or blocked in a callback. The callback runs
/// before any other in the loop iteration that detects the pause. Waiting for
/// events looks like a pause too, so something on the loop, such as a repeating
/// timer, must wake it more often than the bound.
class pause_detector {
public:
  /// \p Callback receives the seconds since the previous loop iteration, which
  /// are at least \p MinSeconds.
  pause_detector(struct ev_loop *Loop, double MinSeconds,
                 std::function<void(double Seconds)> Callback);
  ~pause_detector();
  pause_detector(const pause_detector &) = delete;
  pause_detector &operator=(const pause_detector &) = delete;

private:
  void turn();

  struct ev_loop *Loop;
  double MinSeconds;
  double LastTurn;
  ev_check Watcher{};
  std::function<void(double)> Callback;
};

/// Runs a callback in each loop iteration, before the loop waits for events.
class before_wait {
public:
  before_wait(struct ev_loop *Loop, std::function<void()> Callback);
  ~before_wait();
  before_wait(const before_wait &) = delete;
  before_wait &operator=(const before_wait &) = delete;

private:
  struct ev_loop *Loop;
  ev_prepare Watcher{};
  std::function<void()> Callback;
};

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_LOOP_H
