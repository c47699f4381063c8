// Tests the parsing of the operator's configuration document.
#include "config/config_query.hpp"
#include "platform/operator_config.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace jasminetray {
namespace {

constexpr char valid_document[] = R"({"Version":7,
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,
           "HeaderTimeoutS":3,"IdleTimeoutS":15.5},
 "BaseVersion":5,
 "Listeners":[
  {"Host":"a.example","Rules":[
   {"Name":"charge","Kind":"non_idempotent","TargetLatencyS":2,"Priority":1,
    "Match":{"Prefix":"/x/"},
    "Action":{"Service":"billing","TimeoutS":8,"Attempts":2}},
   {"Name":"deep","Kind":"idempotent","TargetLatencyS":0.5,"Priority":2,
    "Match":{"Prefix":"/x/y/"},
    "Action":{"TrafficSplit":[{"Service":"billing","Weight":90},
                              {"Service":"orders","Weight":10}],
              "TimeoutS":2,"Attempts":3}}]},
  {"Host":"b.example","Rules":[
   {"Name":"other","Kind":"idempotent",
    "Match":{"Prefix":"/x/"},"Action":{"Service":"orders","TimeoutS":1}}]}],
 "Clusters":[
  {"Name":"billing","HealthPath":"/health","MaxConnections":360},
  {"Name":"orders","HealthPath":"/up"}]})";

constexpr double floor_share = 0.7;

std::string parse_failure(const std::string& text)
{
    std::string error;
    return parse_operator_config(text, floor_share, error) ? "" : error;
}

/// Returns the valid document with one text replaced.
std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = valid_document;
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

TEST(operator_config, valid_document_is_converted)
{
    std::string error;
    const auto c = parse_operator_config(valid_document, floor_share, error);
    ASSERT_TRUE(c) << error;
    EXPECT_EQ(c->version, 7U);
    EXPECT_EQ(c->limits.idle_us, 15500 * us_per_ms);
    EXPECT_EQ(c->limits.header_bytes, 16384);
    const auto* charge = find_route(*c, "a.example", "/x/1");
    ASSERT_NE(charge, nullptr);
    EXPECT_EQ(charge->name, "charge");
    EXPECT_FALSE(is_idempotent(*charge, "GET"));
    EXPECT_EQ(charge->deadline_us, 8 * us_per_s);
    EXPECT_EQ(charge->target_us, 2 * us_per_s);
    EXPECT_EQ(charge->attempts, 2);
    EXPECT_EQ(charge->priority, 1);
    const auto* deep = find_route(*c, "a.example", "/x/y/z");
    ASSERT_NE(deep, nullptr);
    EXPECT_EQ(deep->name, "deep");
    EXPECT_TRUE(is_idempotent(*deep, "POST"));
    EXPECT_EQ(choose_weighted_service(*deep, 0.0), "billing");
    EXPECT_EQ(choose_weighted_service(*deep, 0.89), "billing");
    EXPECT_EQ(choose_weighted_service(*deep, 0.91), "orders");
    EXPECT_EQ(find_route(*c, "b.example", "/x/y/z")->name, "other");
    EXPECT_EQ(find_route(*c, "c.example", "/x/"), nullptr);
    EXPECT_EQ(find_route(*c, "a.example", "/x"), nullptr);
    EXPECT_EQ(find_service(*c, "orders")->health_path, "/up");
}

TEST(operator_config, unknown_fields_are_ignored)
{
    EXPECT_EQ(
        parse_failure(replaced("\"BaseVersion\":5", "\"New\":{\"a\":[1]}")),
        "");
}

// A truncated or inconsistent document must not replace the current one.
TEST(operator_config, invalid_document_is_rejected)
{
    EXPECT_EQ(parse_failure(std::string(valid_document).substr(0, 400)),
              "not a whole JSON object");
    EXPECT_EQ(parse_failure(replaced("\"Service\":\"billing\",\"TimeoutS\"",
                                     "\"Service\":\"nobody\",\"TimeoutS\"")),
              "route charge names service 'nobody', which no [service] "
              "section defines");
    EXPECT_EQ(parse_failure(replaced("\"/x/y/\"", "\"/x/y\"")),
              "route deep: Prefix must be a path that begins and ends with a "
              "slash");
    EXPECT_EQ(parse_failure(replaced("\"/x/y/\"", "\"/x/\"")),
              "route deep has the host and path of another route");
    EXPECT_EQ(parse_failure(replaced("\"Version\":7", "\"Version\":\"7\"")),
              "document: Version must be a whole number above 0");
}

fleet_config parse_accepted(const std::string& text)
{
    std::string error;
    auto c = parse_operator_config(text, floor_share, error);
    EXPECT_TRUE(c) << error;
    return c.value_or(fleet_config{});
}

/// Expects a single note and that only route `name` is disabled, both with the
/// same reason.
void expect_unclear(const std::string& text, const std::string& name,
                    const std::string& reason)
{
    const auto c = parse_accepted(text);
    EXPECT_EQ(c.warnings, std::vector<std::string>{reason});
    for (const auto& r : c.routes)
        EXPECT_EQ(r.unclear_reason, r.name == name ? reason : "") << r.name;
}

// A route with an unsupported action must not disable the rest of the document.
TEST(operator_config, unclear_route_is_disabled_alone)
{
    expect_unclear(replaced("\"TimeoutS\":8,", ""), "charge",
                   "route charge: TimeoutS must be a time in seconds");
    expect_unclear(replaced(",\"Weight\":90", ""), "deep",
                   "route deep: Weight must be a number that is not negative");
    expect_unclear(replaced("\"Service\":\"orders\",\"TimeoutS\":1",
                            "\"Redirect\":\"/y/\",\"TimeoutS\":1"),
                   "other", "route other: Service must be a text");
}

TEST(operator_config, uploads_are_not_idempotent)
{
    const auto c = parse_accepted(replaced("\"non_idempotent\"", "\"upload\""));
    EXPECT_TRUE(c.warnings.empty());
    EXPECT_FALSE(is_idempotent(c.routes[0], "GET"));
    EXPECT_FALSE(is_idempotent(c.routes[0], "PUT"));
    EXPECT_EQ(c.routes[0].attempts, 2);
}

// Guards against downloads that get a single attempt, which the first failure
// of a backend server ends.
TEST(operator_config, downloads_are_idempotent)
{
    const auto c =
        parse_accepted(replaced("\"non_idempotent\"", "\"download\""));
    EXPECT_TRUE(c.warnings.empty());
    EXPECT_TRUE(is_idempotent(c.routes[0], "GET"));
    EXPECT_TRUE(is_idempotent(c.routes[0], "POST"));
    EXPECT_EQ(c.routes[0].attempts, 2);
    EXPECT_TRUE(c.routes[0].large_answers);
    EXPECT_FALSE(c.routes[1].large_answers);
}

// Requests of an unknown kind might not be idempotent, so they must not be
// repeated.
TEST(operator_config, unknown_kind_gets_a_single_attempt)
{
    const auto c = parse_accepted(replaced("\"non_idempotent\"", "\"maybe\""));
    EXPECT_EQ(c.warnings,
              std::vector<std::string>{
                  "route charge: Kind 'maybe' is not known and taken for work "
                  "that must not run twice"});
    EXPECT_TRUE(c.routes[0].unclear_reason.empty());
    EXPECT_FALSE(is_idempotent(c.routes[0], "GET"));
    EXPECT_EQ(c.routes[0].attempts, 1);
    EXPECT_EQ(c.routes[1].attempts, 3);
}

TEST(operator_config, invalid_optional_value_counts_as_absent)
{
    auto c =
        parse_accepted(replaced("\"Priority\":1", "\"Priority\":\"high\""));
    EXPECT_EQ(c.warnings, std::vector<std::string>{
                              "route charge: Priority must be a whole number "
                              "within its bounds"});
    EXPECT_EQ(c.routes[0].priority, route_config{}.priority);
    c = parse_accepted(
        replaced("\"TargetLatencyS\":2", "\"TargetLatencyS\":-2"));
    EXPECT_EQ(c.warnings.size(), 1U);
    EXPECT_EQ(c.routes[0].target_us, 8 * us_per_s);
    c = parse_accepted(
        replaced("\"MaxBodyBytes\":1048576", "\"MaxBodyBytes\":{}"));
    EXPECT_EQ(c.warnings.size(), 1U);
    EXPECT_EQ(c.limits.body_bytes, caller_limits{}.body_bytes);
    EXPECT_EQ(c.limits.header_bytes, 16384);
    c = parse_accepted(
        replaced("\"MaxConnections\":360", "\"MaxConnections\":0"));
    EXPECT_EQ(c.warnings.size(), 1U);
    EXPECT_EQ(c.services[0].max_connections, service_config{}.max_connections);
}

TEST(operator_config, truncated_document_is_rejected)
{
    const std::string text = valid_document;
    EXPECT_TRUE(rc::check("a prefix is refused", [&] {
        const auto n = *rc::gen::inRange<std::size_t>(0, text.size() - 1);
        RC_ASSERT(!parse_failure(text.substr(0, n)).empty());
    }));
}

} // namespace
} // namespace jasminetray
