// Check-ins of backend servers into announcements, and those that name nobody.
#include "platform/check_in_parse.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace jasminetray {
namespace {

constexpr std::uint64_t wall = 1700000000000;
constexpr std::uint64_t first_start = wall - 60000;

std::string check_in(const std::string& extra)
{
    return R"({"Address":"10.0.0.9:80",)" + extra +
           R"("Info":{"Service":"billing","Slots":7},)"
           R"("Status":{"State":"ready","Seq":4,"ColdLeftS":0}})";
}

TEST(check_in, tells_when_the_process_started)
{
    std::string why;
    const auto a = parse_check_in(
        "w", check_in(R"("born":)" + std::to_string(first_start) + ","), wall,
        why);
    ASSERT_TRUE(a) << why;
    EXPECT_EQ(a->boot, first_start);
    EXPECT_EQ(a->sequence, 4U);
    const auto untold = parse_check_in("w", check_in(""), wall, why);
    ASSERT_TRUE(untold) << why;
    EXPECT_EQ(untold->boot, 0U);
}

TEST(check_in, a_start_that_is_none_names_no_process)
{
    for (const auto* born :
         {"-5", "0", "1.5", "\"7\"", "null", "true", "[1]", "{}", "1e3",
          "99999999999999", "18446744073709551616"}) {
        std::string why;
        const auto text = check_in(std::string(R"("born":)") + born + ",");
        EXPECT_FALSE(parse_check_in("w", text, wall, why)) << born;
        EXPECT_FALSE(why.empty()) << born;
    }
}

// Whatever another program writes, the node goes on and names nobody by it.
TEST(check_in, what_cannot_be_read_names_nobody)
{
    std::string deep(100000, '[');
    for (const auto& text :
         {std::string(), std::string("{"), std::string("[]"), deep,
          std::string(R"({"Address":"10.0.0.9:80","Info":[],"Status":{}})"),
          std::string("{\"Address\":\"\xff\xfe\"}"),
          std::string(R"({"Address":7,"Info":{"Service":"billing",)"
                      R"("Slots":1},"Status":{"State":"ready","Seq":1}})"),
          std::string(R"({"Address":"10.0.0.9:80","Info":{"Service":"b",)"
                      R"("Slots":1},"Status":{"State":"lost","Seq":1}})"),
          std::string(R"({"Address":"10.0.0.9:80","Info":{"Service":"b",)"
                      R"("Slots":-1},"Status":{"State":"ready","Seq":1}})")}) {
        std::string why;
        EXPECT_FALSE(parse_check_in("w", text, wall, why))
            << text.substr(0, 80);
        EXPECT_FALSE(why.empty());
    }
}

TEST(check_in, any_change_of_its_bytes_is_read_or_refused)
{
    rc::check("no byte does harm", [] {
        auto text = check_in(R"("born":5,)");
        const auto n = *rc::gen::inRange<std::size_t>(1, 6);
        for (std::size_t k = 0; k < n; ++k) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        }
        std::string why;
        const auto a = parse_check_in("w", text, wall, why);
        RC_ASSERT(a.has_value() == why.empty());
        if (a)
            RC_ASSERT(a->slots >= 1 && !a->service.empty());
    });
}

TEST(check_in, a_farewell_may_tell_its_start)
{
    std::string why;
    EXPECT_EQ(parse_leave_start("", wall, why), 0U);
    EXPECT_TRUE(why.empty());
    EXPECT_EQ(parse_leave_start(R"({"born":7})", wall, why), 7U);
    EXPECT_EQ(parse_leave_start("{", wall, why), 0U);
    EXPECT_FALSE(why.empty());
}

} // namespace
} // namespace jasminetray
