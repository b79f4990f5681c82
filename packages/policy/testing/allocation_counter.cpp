#include "policy/testing/allocation_counter.h"

#include <cstdlib>
#include <new>

#include <malloc.h>

namespace {

std::int64_t allocatedBytes = 0;

} // namespace

auto operator new(std::size_t size) -> void *
{
    auto *block = std::malloc(size);
    if (block == nullptr)
        throw std::bad_alloc();
    allocatedBytes += static_cast<std::int64_t>(malloc_usable_size(block));
    return block;
}

auto operator delete(void *block) noexcept -> void
{
    allocatedBytes -= static_cast<std::int64_t>(malloc_usable_size(block));
    std::free(block);
}

auto operator delete(void *block, std::size_t) noexcept -> void
{
    operator delete(block);
}

namespace mustardline {

auto allocatedHeapBytes() -> std::int64_t
{
    return allocatedBytes;
}

} // namespace mustardline
