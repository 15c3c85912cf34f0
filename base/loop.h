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

/// A one-shot or repeating timer; times are in seconds.
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
  struct ev_loop *Loop;
  ev_timer Watcher{};
  std::function<void()> Callback;
};

/// Tells when a descriptor can be read or written.
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
