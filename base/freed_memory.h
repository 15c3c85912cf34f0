//===- freed_memory.h - Returns freed memory to the system ------*- C++ -*-===//

#ifndef OLIVEVALVE_BASE_FREED_MEMORY_H
#define OLIVEVALVE_BASE_FREED_MEMORY_H

#include <cstddef>

namespace olivevalve {

/// Returns the pages of freed memory to the system. The allocator itself keeps
/// all that lies below a block in use, so a process would stay as large as it
/// ever was.
class freed_memory {
public:
  /// Must be called regularly. Cheap unless much was freed since the last call
  /// that returned some.
  void returnExcess();

private:
  /// The fewest free bytes in the allocator since pages were last returned.
  size_t FewestFree = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_FREED_MEMORY_H
