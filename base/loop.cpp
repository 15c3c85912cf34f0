//===- loop.cpp - Watchers of the event loop ------------------------------===//

#include "base/loop.h"

namespace olivevalve {

timer::timer(struct ev_loop *Loop, std::function<void()> Callback)
    : Loop(Loop), Callback(std::move(Callback)) {
  ev_timer_init(
      &Watcher,
      [](struct ev_loop *, ev_timer *W, int) {
        static_cast<timer *>(W->data)->Callback();
      },
      0, 0);
  Watcher.data = this;
}

void timer::startOnce(double Seconds) {
  ev_timer_stop(Loop, &Watcher);
  ev_now_update(Loop);
  ev_timer_set(&Watcher, Seconds, 0);
  ev_timer_start(Loop, &Watcher);
}

void timer::startRepeating(double Seconds) {
  ev_timer_stop(Loop, &Watcher);
  ev_timer_set(&Watcher, Seconds, Seconds);
  ev_timer_start(Loop, &Watcher);
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
  Watcher.data = this;
}

void descriptor_watch::start(int Descriptor, int Events) {
  ev_io_stop(Loop, &Watcher);
  ev_io_set(&Watcher, Descriptor, Events);
  ev_io_start(Loop, &Watcher);
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
