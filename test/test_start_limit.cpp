// Limits of starts per second that backend servers name: reading, counting and
// the order of answers.
#include "gate/start_limit.hpp"
#include "node/worker_notice_type.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr mono_us t0 = 100 * us_per_s;

worker_notice notice_of(std::initializer_list<const char*> limits,
                        const char* leaving = nullptr)
{
    http::fields f;
    const http_dialect d;
    for (const auto* text : limits)
        f.insert(std::string(d.worker_limit), text);
    if (leaving != nullptr)
        f.insert(std::string(d.worker_leaving), leaving);
    return read_worker_notice(d, f);
}

// Guards against values that would lift the limit or stop all work for good.
TEST(worker_notice, reads_each_kind_of_number)
{
    const std::string long_number(400, '9');
    EXPECT_EQ(notice_of({" 2.5 "}).rate, 2.5);
    EXPECT_EQ(notice_of({"0"}).rate, 0);
    EXPECT_EQ(notice_of({"1e9"}).rate, max_start_rate);
    EXPECT_EQ(notice_of({long_number.c_str()}).rate, max_start_rate);
    EXPECT_EQ(notice_of({("0." + long_number).c_str()}).rate, 1.0);
    for (const auto* text :
         {"", "-1", "-0", "nan", "inf", "fast", "1,5", "."}) {
        const auto x = notice_of({text});
        EXPECT_FALSE(x.rate.has_value()) << text;
        EXPECT_FALSE(x.malformed.empty()) << text;
    }
}

TEST(worker_notice, lowest_of_several_limits_counts)
{
    EXPECT_EQ(notice_of({"7", "3"}).rate, 3);
    const auto x = notice_of({"x", "3"});
    EXPECT_EQ(x.rate, 3);
    EXPECT_FALSE(x.malformed.empty());
    EXPECT_TRUE(notice_of({}).malformed.empty());
}

TEST(worker_notice, only_one_means_leaving)
{
    EXPECT_TRUE(notice_of({}, "1").leaving);
    for (const auto* text : {"0", "", "yes"}) {
        EXPECT_FALSE(notice_of({}, text).leaving) << text;
        EXPECT_FALSE(notice_of({}, text).malformed.empty()) << text;
    }
}

TEST(start_limit, counts_the_starts_of_the_window)
{
    start_limit s;
    for (int n = 0; n < 40; ++n)
        start_limit_count(s, t0 + n * 100 * us_per_ms);
    EXPECT_EQ(starts_in_window(s, t0 + 4 * us_per_s), 40U);
    EXPECT_EQ(starts_in_window(s, t0 + 6 * us_per_s), 20U);
    EXPECT_EQ(starts_in_window(s, t0 + 9 * us_per_s), 0U);
}

// Guards against a limit that is lifted by an answer which was made before the
// backend server named it.
TEST(start_limit, late_answer_does_not_end_it)
{
    start_limit s;
    EXPECT_TRUE(start_limit_name(s, 2, limit_source::answer, t0));
    EXPECT_FALSE(start_limit_not_named(s, t0 - us_per_ms, t0 + us_per_ms));
    EXPECT_TRUE(is_limited(s));
    EXPECT_TRUE(start_limit_not_named(s, t0 + us_per_ms, t0 + us_per_s));
    EXPECT_FALSE(is_limited(s));
}

} // namespace
} // namespace jasminetray
