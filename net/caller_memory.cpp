//===- caller_memory.cpp - Memory held on behalf of callers ---------------===//

#include "net/caller_memory.h"
#include <unistd.h>

namespace olivevalve {

namespace {

// What an ordinary request takes at most.
constexpr size_t OrdinaryBytes = 8 << 10;
// Of the bound, kept for connections that are not large.
constexpr size_t OrdinaryPart = 4;
// Of the VM's memory, that the callers of a listener may take by default.
constexpr size_t DefaultPart = 4;

} // namespace

size_t defaultCallerBytes() {
  long Pages = sysconf(_SC_PHYS_PAGES);
  long PageBytes = sysconf(_SC_PAGESIZE);
  return size_t(Pages) * size_t(PageBytes) / DefaultPart;
}

bool caller_memory::isLarge(size_t HeldBytes) {
  return HeldBytes > OrdinaryBytes;
}

void caller_memory::update(size_t Before, size_t Now) {
  Bytes += Now - Before;
  if (isLarge(Before)) {
    LargeBytes -= Before;
    --LargeCount;
  }
  if (isLarge(Now)) {
    LargeBytes += Now;
    ++LargeCount;
  }
}

bool caller_memory::isFullOfLarge() const {
  return LargeCount > 1 && LargeBytes > MaxBytes - MaxBytes / OrdinaryPart;
}

bool caller_memory::isFull() const {
  bool HasOneLarge =
      LargeCount == 1 && Bytes - LargeBytes <= MaxBytes / OrdinaryPart;
  return isFullOfLarge() || (Bytes > MaxBytes && !HasOneLarge);
}

} // namespace olivevalve
