//===- loop.cpp - Event loop watchers -------------------------------------===//

#include "base/loop.h"
#include "base/clock.h"
#include <utility>

namespace olivevalve {

namespace {

// libev priority of descriptor watchers, above the default 0 that timers have.
constexpr int AboveTimersPriority = 1;
// A timer later than this is deferred. On a busy loop timers are only some
// hundredths of a second late.
constexpr double MaxLatenessSeconds = 0.2;

} // namespace

timer::timer(struct ev_loop *Loop, std::function<void()> Callback)
    : Loop(Loop), Callback(std::move(Callback)) {
  ev_timer_init(
      &Watcher,
      [](struct ev_loop *, ev_timer *W, int) {
        static_cast<timer *>(W->data)->due();
      },
      0, 0);
  Watcher.data = this;
}

void timer::start(double Seconds) {
  ev_timer_stop(Loop, &Watcher);
  ev_timer_set(&Watcher, Seconds, Interval);
  ev_timer_start(Loop, &Watcher);
}

void timer::startOnce(double Seconds) {
  Interval = 0;
  Deferred = false;
  DueAt = steadySeconds() + Seconds;
  ev_now_update(Loop);
  start(Seconds);
}

void timer::startRepeating(double Seconds) {
  Interval = Seconds;
  Deferred = false;
  DueAt = steadySeconds() + Seconds;
  start(Seconds);
}

// After a pause the loop's wait returns interrupted, so timers are due in an
// iteration that has not polled descriptors. A late timer therefore restarts
// with no delay, which lets the next iteration poll descriptors first.
void timer::due() {
  double Now = steadySeconds();
  if (!Deferred && Now > DueAt + MaxLatenessSeconds) {
    Deferred = true;
    return start(0);
  }
  Deferred = false;
  DueAt = Now + Interval;
  Callback();
}

descriptor_watch::descriptor_watch(struct ev_loop *Loop,
                                   std::function<void(int)> Callback)
    : Loop(Loop), Callback(std::move(Callback)) {
  ev_io_init(
      &Watcher,
      [](struct ev_loop *, ev_io *W, int Events) {
        static_cast<descriptor_watch *>(W->data)->Callback(Events);
      },
      -1, EV_READ);
  ev_set_priority(&Watcher, AboveTimersPriority);
  Watcher.data = this;
}

void descriptor_watch::start(int Descriptor, int Events) {
  ev_io_stop(Loop, &Watcher);
  ev_io_set(&Watcher, Descriptor, Events);
  ev_io_start(Loop, &Watcher);
}

pause_detector::pause_detector(struct ev_loop *Loop, double MinSeconds,
                               std::function<void(double)> Callback)
    : Loop(Loop), MinSeconds(MinSeconds), LastTurn(steadySeconds()),
      Callback(std::move(Callback)) {
  ev_check_init(&Watcher, [](struct ev_loop *, ev_check *W, int) {
    static_cast<pause_detector *>(W->data)->turn();
  });
  ev_set_priority(&Watcher, EV_MAXPRI);
  Watcher.data = this;
  ev_check_start(Loop, &Watcher);
}

pause_detector::~pause_detector() { ev_check_stop(Loop, &Watcher); }

void pause_detector::turn() {
  double Now = steadySeconds();
  double Seconds = Now - std::exchange(LastTurn, Now);
  if (Seconds >= MinSeconds)
    Callback(Seconds);
}

before_wait::before_wait(struct ev_loop *Loop, std::function<void()> Callback)
    : Loop(Loop), Callback(std::move(Callback)) {
  ev_prepare_init(&Watcher, [](struct ev_loop *, ev_prepare *W, int) {
    static_cast<before_wait *>(W->data)->Callback();
  });
  Watcher.data = this;
  ev_prepare_start(Loop, &Watcher);
}

before_wait::~before_wait() { ev_prepare_stop(Loop, &Watcher); }

} // namespace olivevalve
