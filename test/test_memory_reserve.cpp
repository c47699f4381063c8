// The reserve of memory: who may use it, and when requests are refused.
#include "base/memory_reserve.hpp"

#include <gtest/gtest.h>
#include <limits>
#include <new>

namespace jt = jasminetray;

namespace {

constexpr std::size_t blocks = 4;

bool fails_to_allocate_all_memory()
{
    return !jt::can_allocate(std::numeric_limits<std::ptrdiff_t>::max());
}

} // namespace

// Guards against a reserve that isn't freed when an allocation fails.
TEST(memory_reserve, a_failed_allocation_frees_all_blocks)
{
    jt::start_memory_reserve(blocks * jt::memory_block_bytes);
    jt::refill_memory_reserve();
    EXPECT_EQ(jt::find_memory_reserve().held, blocks);
    EXPECT_TRUE(fails_to_allocate_all_memory());
    EXPECT_EQ(jt::find_memory_reserve().held, 0U);
    EXPECT_FALSE(jt::use_memory_reserve());
    jt::refill_memory_reserve();
    EXPECT_EQ(jt::find_memory_reserve().held, blocks);
}

// Guards against a large body that uses up what others need.
TEST(memory_reserve, exempt_allocations_leave_it_alone)
{
    jt::start_memory_reserve(blocks * jt::memory_block_bytes);
    {
        const jt::no_memory_reserve scope;
        EXPECT_TRUE(fails_to_allocate_all_memory());
    }
    EXPECT_EQ(jt::find_memory_reserve().held, blocks);
}

// Guards against a node that refuses all requests for ever because the memory
// that it lacks is held by nothing that ends.
TEST(memory_reserve, refuses_beside_other_requests_while_low)
{
    EXPECT_TRUE(jt::lacks_memory_for({blocks, 1}, 2));
    EXPECT_FALSE(jt::lacks_memory_for({blocks, 1}, 1));
    EXPECT_FALSE(jt::lacks_memory_for({blocks, 2}, 2));
    EXPECT_FALSE(jt::lacks_memory_for({0, 0}, 2));
}
