//===- freed_memory.cpp - Returns freed memory to the system --------------===//

#include "base/freed_memory.h"
#include <algorithm>
#include <malloc.h>

namespace olivevalve {

namespace {

// Less is left with the allocator, which soon uses it again.
constexpr size_t ExcessBytes = 8 << 20;

} // namespace

void freed_memory::returnExcess() {
  size_t Free = mallinfo2().fordblks;
  FewestFree = std::min(FewestFree, Free);
  if (Free < FewestFree + ExcessBytes)
    return;
  malloc_trim(0);
  // Pages that were returned still count as free.
  FewestFree = mallinfo2().fordblks;
}

} // namespace olivevalve
