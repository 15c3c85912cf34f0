//===- clock.cpp - Clocks, random numbers and hex numbers -----------------===//

#include "base/clock.h"
#include <array>
#include <ctime>
#include <sys/random.h>

namespace olivevalve {

namespace {

double readClock(clockid_t Clock) {
  timespec Time{};
  clock_gettime(Clock, &Time);
  return double(Time.tv_sec) + double(Time.tv_nsec) * 1e-9;
}

} // namespace

double steadySeconds() { return readClock(CLOCK_BOOTTIME); }

double wallSeconds() { return readClock(CLOCK_REALTIME); }

uint64_t randomIncarnation() {
  uint64_t Number = 0;
  while (Number == 0)
    if (getrandom(&Number, sizeof(Number), 0) != ssize_t(sizeof(Number)))
      Number = 0;
  return Number;
}

std::string hexOf(uint64_t Number) {
  constexpr std::array<char, 17> Digits = {"0123456789abcdef"};
  std::string Text(16, '0');
  for (int I = 15; I >= 0; --I, Number >>= 4)
    Text[size_t(I)] = Digits[Number & 15];
  return Text;
}

} // namespace olivevalve
