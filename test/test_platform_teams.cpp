// Tests teams in the operator's document: API keys, limits and open routes.
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

/// Returns the error of the document with one text replaced.
std::string refusal_after_replacing(const std::string& from,
                                    const std::string& to)
{
    EXPECT_GE(sodium_init(), 0);
    std::string text = teams_document;
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos);
    text.replace(at, from.size(), to);
    std::string error;
    parse_operator_config(text, 0.7, error);
    return error;
}

TEST(team_document, teams_and_open_routes_are_parsed)
{
    EXPECT_GE(sodium_init(), 0);
    std::string error;
    const auto c = parse_operator_config(teams_document, 0.7, error);
    ASSERT_TRUE(c) << error;
    EXPECT_TRUE(c->keys_required);
    EXPECT_TRUE(c->routes.front().open);
    const auto team = find_key(c->keys, "r2");
    ASSERT_TRUE(team);
    EXPECT_EQ(c->team_names[*team], "red");
    const auto& red = c->teams.at("red");
    EXPECT_EQ(red.rate, 20);
    EXPECT_EQ(red.burst, 10);
    EXPECT_EQ(red.priority, 1);
    EXPECT_TRUE(red.keys.empty()) << "keys are not kept";
    EXPECT_EQ(c->teams.at("blue").rate, 0);
    EXPECT_EQ(c->teams.at("blue").priority, std::nullopt);
}

// An invalid team must not admit unauthorized callers, and the error must not
// disclose a key.
TEST(team_document, invalid_team_rejects_the_document)
{
    EXPECT_EQ(refusal_after_replacing("\"b1\"", "\"r1\"").find("r1"),
              std::string::npos);
    EXPECT_NE(refusal_after_replacing("\"b1\"", "\"r1\""), "");
    EXPECT_EQ(refusal_after_replacing("\"blue\"", "\"red\""),
              "team red: Name must be one that no other team has");
    EXPECT_EQ(refusal_after_replacing("\"RatePerS\":20", "\"RatePerS\":-1"),
              "team red: RatePerS must be a number that is not negative");
    EXPECT_EQ(refusal_after_replacing("[\"b1\"]", "\"b1\""),
              "team blue: ApiKeys must be a list");
    EXPECT_EQ(refusal_after_replacing("[\"b1\"]", "[1]"),
              "team blue: ApiKeys must be a list of texts");
    EXPECT_EQ(
        refusal_after_replacing("\"Tenants\":[", "\"Tenants\":{},\"x\":["),
        "document: Tenants must be a list");
}

TEST(team_document, unusable_keys_are_ignored)
{
    EXPECT_EQ(refusal_after_replacing("\"b1\"", "\"\""), "");
    EXPECT_EQ(refusal_after_replacing("\"b1\"", "\"b 1\""), "");
}

} // namespace
} // namespace jasminetray
