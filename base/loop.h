//===- loop.h - Watchers of the event loop ----------------------*- C++ -*-===//
//
// Owning wrappers around libev watchers. A watcher stops when it is destroyed.
// Every task of a process runs on one loop and owns its watchers.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_LOOP_H
#define OLIVEVALVE_BASE_LOOP_H

#include <ev.h>
#include <functional>

namespace olivevalve {

/// A one-shot or repeating timer; times are in seconds. One that is far too
/// late, as after a pause of the process, lets the descriptors go first: what
/// has arrived is heard before a timer says that it has not.
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
  double Interval = 0; ///< 0: one shot.
  double DueAt = 0;
  bool Deferred = false; ///< Was too late, and lets the descriptors go first.
  std::function<void()> Callback;
};

/// Tells when a descriptor can be read or written. In one turn of the loop this
/// comes before timers.
class descriptor_watch {
public:
  /// \p Callback gets the EV_READ / EV_WRITE bits that are ready.
  descriptor_watch(struct ev_loop *Loop, std::function<void(int)> Callback);
  ~descriptor_watch() { stop(); }
  descriptor_watch(const descriptor_watch &) = delete;
  descriptor_watch &operator=(const descriptor_watch &) = delete;

  void start(int Descriptor, int Events);
  void stop() { ev_io_stop(Loop, &Watcher); }
  /// Makes the callback run in the next turn as if the descriptor was ready.
  void feed() { ev_feed_event(Loop, &Watcher, EV_READ); }

private:
  struct ev_loop *Loop;
  ev_io Watcher{};
  std::function<void(int)> Callback;
};

/// Tells that this process stood still: stopped by a signal, frozen with its
/// VM, or held up by itself. Runs before anything else of the turn that
/// notices. What runs on the loop must wake it more often than the bound.
class pause_watch {
public:
  /// \p Callback gets the seconds since the turn before, at least
  /// \p LeastSeconds.
  pause_watch(struct ev_loop *Loop, double LeastSeconds,
              std::function<void(double Seconds)> Callback);
  ~pause_watch();
  pause_watch(const pause_watch &) = delete;
  pause_watch &operator=(const pause_watch &) = delete;

private:
  void turn();

  struct ev_loop *Loop;
  double LeastSeconds;
  double LastTurn;
  ev_check Watcher{};
  std::function<void(double)> Callback;
};

/// Runs once in every turn of the loop, before it waits.
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
