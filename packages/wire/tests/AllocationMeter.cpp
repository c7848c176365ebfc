#include "AllocationMeter.h"

#include <algorithm>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::ptrdiff_t gLive = 0;
std::ptrdiff_t gPeak = 0;

} // namespace

// The array and nothrow forms of operator new call this one. It calls no new-handler, since
// allocations are not expected to fail in tests.
void*
operator new(std::size_t aSize)
{
  void* block = std::malloc(aSize == 0 ? 1 : aSize);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  gLive += static_cast<std::ptrdiff_t>(malloc_usable_size(block));
  gPeak = std::max(gPeak, gLive);
  return block;
}

void
operator delete(void* aBlock) noexcept
{
  gLive -= static_cast<std::ptrdiff_t>(malloc_usable_size(aBlock));
  std::free(aBlock);
}

void
operator delete(void* aBlock, std::size_t) noexcept
{
  operator delete(aBlock);
}

namespace fulmarway::test {

AllocationMeter::AllocationMeter()
{
  gLive = 0;
  gPeak = 0;
}

std::size_t
AllocationMeter::PeakBytes() const
{
  return static_cast<std::size_t>(gPeak);
}

} // namespace fulmarway::test
