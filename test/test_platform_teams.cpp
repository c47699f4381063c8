// Teams in the operator's document: keys, limits, open routes, and what must
// never open a door.
#include "platform/operator_config.hpp"

#include <gtest/gtest.h>
#include <sodium.h>

namespace jasminetray {
namespace {

constexpr char teams_document[] =
    R"({"Version":3,"Tenants":[)"
    R"({"Name":"red","ApiKeys":["r1","r2"],"Priority":1,"RatePerS":20,)"
    R"("Burst":10},{"Name":"blue","ApiKeys":["b1"]}],)"
    R"("Listeners":[{"Host":"a.example","Rules":[{"Name":"in",)"
    R"("Kind":"idempotent","NoAuth":true,"Match":{"Prefix":"/in/"},)"
    R"("Action":{"Service":"s","TimeoutS":1}}]}],)"
    R"("Clusters":[{"Name":"s","HealthPath":"/up"}]})";

/// The document with one piece replaced, and why it is refused.
std::string refusal_with(const std::string& from, const std::string& to)
{
    EXPECT_GE(sodium_init(), 0);
    std::string text = teams_document;
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos);
    text.replace(at, from.size(), to);
    std::string why;
    parse_operator_config(text, 0.7, why);
    return why;
}

TEST(team_document, names_keys_limits_and_open_routes)
{
    EXPECT_GE(sodium_init(), 0);
    std::string why;
    const auto c = parse_operator_config(teams_document, 0.7, why);
    ASSERT_TRUE(c) << why;
    EXPECT_TRUE(c->keys_required);
    EXPECT_TRUE(c->routes.front().open);
    const auto place = find_key(c->keys, "r2");
    ASSERT_TRUE(place);
    EXPECT_EQ(c->team_names[*place], "red");
    const auto& red = c->teams.at("red");
    EXPECT_EQ(red.rate, 20);
    EXPECT_EQ(red.burst, 10);
    EXPECT_EQ(red.priority, 1);
    EXPECT_TRUE(red.keys.empty()) << "keys are not kept";
    EXPECT_EQ(c->teams.at("blue").rate, 0);
    EXPECT_EQ(c->teams.at("blue").priority, std::nullopt);
}

// An operator's slip must not let in whom it means to keep out: the former
// document stays, and the reason names the team and never a key.
TEST(team_document, what_is_wrong_never_opens_a_door)
{
    EXPECT_EQ(refusal_with("\"b1\"", "\"r1\"").find("r1"), std::string::npos);
    EXPECT_NE(refusal_with("\"b1\"", "\"r1\""), "");
    EXPECT_EQ(refusal_with("\"blue\"", "\"red\""),
              "team red: Name must be one that no other team has");
    EXPECT_EQ(refusal_with("\"RatePerS\":20", "\"RatePerS\":-1"),
              "team red: RatePerS must be a number that is not negative");
    EXPECT_EQ(refusal_with("[\"b1\"]", "\"b1\""),
              "team blue: ApiKeys must be a list");
    EXPECT_EQ(refusal_with("[\"b1\"]", "[1]"),
              "team blue: ApiKeys must be a list of texts");
    EXPECT_EQ(refusal_with("\"Tenants\":[", "\"Tenants\":{},\"x\":["),
              "document: Tenants must be a list");
}

TEST(team_document, a_key_that_nobody_can_show_is_left_out)
{
    EXPECT_EQ(refusal_with("\"b1\"", "\"\""), "");
    EXPECT_EQ(refusal_with("\"b1\"", "\"b 1\""), "");
}

} // namespace
} // namespace jasminetray
