//===- stand_in_main.cpp - Simulated engine as a program ------------------===//
//
// usage: stand_in IP:port [first-token-ms gap-ms tokens]
//
// Runs the simulated engine, service and rating service at the address.
//
//===----------------------------------------------------------------------===//

#include "tests/stand_in.h"
#include <csignal>
#include <cstdio>
#include <cstdlib>

int main(int Count, char **Values) {
  using namespace olivevalve;
  if (Count < 2) {
    std::fprintf(stderr,
                 "usage: stand_in IP:port [first-token-ms gap-ms tokens]\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  stand_in_options Options{.Address = Values[1]};
  if (Count > 2)
    Options.FirstTokenSeconds = std::atof(Values[2]) * 1e-3;
  if (Count > 3)
    Options.GapSeconds = std::atof(Values[3]) * 1e-3;
  if (Count > 4)
    Options.Tokens = std::atoi(Values[4]);
  struct ev_loop *Loop = ev_default_loop(0);
  stand_in StandIn(Loop, Options);
  if (!StandIn.bind()) {
    std::fprintf(stderr, "stand_in: cannot bind %s\n", Values[1]);
    return 1;
  }
  ev_run(Loop, 0);
  return 0;
}
