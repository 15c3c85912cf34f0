//===- platform_main.cpp - Simulated platform as a program ----------------===//
//
// usage: platform_stand_in IP:port COUNT
//
// Serves the list of upstreams at the address and runs COUNT upstreams of the
// service "plain" on ports that the kernel chooses.
//
//===----------------------------------------------------------------------===//

#include "tests/replica.h"
#include <csignal>
#include <cstdio>
#include <cstdlib>

int main(int Count, char **Values) {
  using namespace olivevalve;
  if (Count != 3) {
    std::fprintf(stderr, "usage: platform_stand_in IP:port COUNT\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  struct ev_loop *Loop = ev_default_loop(0);
  upstream_list_stand_in List(Loop, Values[1]);
  if (List.address().empty()) {
    std::fprintf(stderr, "platform_stand_in: cannot bind %s\n", Values[1]);
    return 1;
  }
  std::vector<std::unique_ptr<replica>> Replicas;
  for (int I = 0; I < std::atoi(Values[2]); ++I) {
    Replicas.push_back(std::make_unique<replica>(
        Loop, replica_options{.Id = "i-" + std::to_string(I)}));
    List.put(*Replicas.back(), Replicas.back()->address());
  }
  ev_run(Loop, 0);
  return 0;
}
