// Tests the parsing and rejection of check-ins.
#include "platform/check_in_parse.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace jasminetray {
namespace {

constexpr std::uint64_t wall_ms = 1700000000000;
constexpr std::uint64_t start_ms = wall_ms - 60000;

std::string check_in(const std::string& extra)
{
    return R"({"Address":"10.0.0.9:80",)" + extra +
           R"("Info":{"Service":"billing","Slots":7},)"
           R"("Status":{"State":"ready","Seq":4,"ColdLeftS":0}})";
}

TEST(check_in, start_time_is_parsed)
{
    std::string error;
    const auto a = parse_check_in(
        "w", check_in(R"("born":)" + std::to_string(start_ms) + ","), wall_ms,
        error);
    ASSERT_TRUE(a) << error;
    EXPECT_EQ(a->boot, start_ms);
    EXPECT_EQ(a->sequence, 4U);
    const auto without_start =
        parse_check_in("w", check_in(""), wall_ms, error);
    ASSERT_TRUE(without_start) << error;
    EXPECT_EQ(without_start->boot, 0U);
}

TEST(check_in, invalid_start_time_is_rejected)
{
    for (const auto* born :
         {"-5", "0", "1.5", "\"7\"", "null", "true", "[1]", "{}", "1e3",
          "99999999999999", "18446744073709551616"}) {
        std::string error;
        const auto text = check_in(std::string(R"("born":)") + born + ",");
        EXPECT_FALSE(parse_check_in("w", text, wall_ms, error)) << born;
        EXPECT_FALSE(error.empty()) << born;
    }
}

TEST(check_in, malformed_documents_are_rejected)
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
        std::string error;
        EXPECT_FALSE(parse_check_in("w", text, wall_ms, error))
            << text.substr(0, 80);
        EXPECT_FALSE(error.empty());
    }
}

TEST(check_in, corrupted_bytes_are_parsed_or_rejected)
{
    EXPECT_TRUE(rc::check("no byte does harm", [] {
        auto text = check_in(R"("born":5,)");
        const auto n = *rc::gen::inRange<std::size_t>(1, 6);
        for (std::size_t k = 0; k < n; ++k) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        }
        std::string error;
        const auto a = parse_check_in("w", text, wall_ms, error);
        RC_ASSERT(a.has_value() == error.empty());
        if (a)
            RC_ASSERT(a->slots >= 1 && !a->service.empty());
    }));
}

TEST(check_in, deregistration_has_optional_start_time)
{
    std::string error;
    EXPECT_EQ(parse_deregistration("", wall_ms, error), 0U);
    EXPECT_TRUE(error.empty());
    EXPECT_EQ(parse_deregistration(R"({"born":7})", wall_ms, error), 7U);
    EXPECT_EQ(parse_deregistration("{", wall_ms, error), 0U);
    EXPECT_FALSE(error.empty());
}

} // namespace
} // namespace jasminetray
