#include "mutation/allocation_meter.h"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace briarwood::mutation {
namespace {

thread_local std::ptrdiff_t used_bytes = 0;
thread_local std::ptrdiff_t max_used_bytes = 0;

void* Allocate(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  used_bytes += static_cast<std::ptrdiff_t>(malloc_usable_size(memory));
  max_used_bytes = std::max(max_used_bytes, used_bytes);
  return memory;
}

void Release(void* memory) noexcept {
  if (memory == nullptr) return;
  used_bytes -= static_cast<std::ptrdiff_t>(malloc_usable_size(memory));
  std::free(memory);
}

}  // namespace

AllocationMeter::AllocationMeter() noexcept : start_bytes_(used_bytes) {
  max_used_bytes = used_bytes;
}

std::size_t AllocationMeter::peak_bytes() const noexcept {
  return static_cast<std::size_t>(max_used_bytes - start_bytes_);
}

}  // namespace briarwood::mutation

void* operator new(std::size_t size) { return briarwood::mutation::Allocate(size); }
void* operator new[](std::size_t size) { return briarwood::mutation::Allocate(size); }
void operator delete(void* memory) noexcept { briarwood::mutation::Release(memory); }
void operator delete[](void* memory) noexcept { briarwood::mutation::Release(memory); }
void operator delete(void* memory, std::size_t /*size*/) noexcept {
  briarwood::mutation::Release(memory);
}
void operator delete[](void* memory, std::size_t /*size*/) noexcept {
  briarwood::mutation::Release(memory);
}
