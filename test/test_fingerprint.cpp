// Request fingerprints.
#include "quarantine/fingerprint_func.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace jasminetray {

namespace {

const fingerprint_key key = make_fingerprint_key("a cluster's key");

request_content sample()
{
    return {"red", "POST", "shop.example", "/pay/x?a=1", "data"};
}

} // namespace

TEST(fingerprint, depends_on_every_part)
{
    const auto f = fingerprint_of(sample(), key);
    EXPECT_EQ(f, fingerprint_of(sample(), key));
    auto r = sample();
    r.team = "blue";
    EXPECT_NE(f, fingerprint_of(r, key));
    r = sample();
    r.method = "PUT";
    EXPECT_NE(f, fingerprint_of(r, key));
    r = sample();
    r.host = "other.example";
    EXPECT_NE(f, fingerprint_of(r, key));
    r = sample();
    r.target = "/pay/x?a=2";
    EXPECT_NE(f, fingerprint_of(r, key));
    r = sample();
    r.body = "data2";
    EXPECT_NE(f, fingerprint_of(r, key));
}

TEST(fingerprint, parts_are_delimited)
{
    const bool good = rc::check([] {
        const auto all = *rc::gen::container<std::string>(
            rc::gen::inRange('0', '>')); // digits and the separator
        const auto cut = *rc::gen::inRange<std::size_t>(0, all.size() + 1);
        RC_PRE(cut < all.size());
        const std::string_view text(all);
        const auto host_longer = fingerprint_of({"", "GET", text, "", ""}, key);
        const auto split = fingerprint_of(
            {"", "GET", text.substr(0, cut), text.substr(cut), ""}, key);
        RC_ASSERT(host_longer != split);
    });
    EXPECT_TRUE(good);
}

TEST(fingerprint, depends_on_cluster_key)
{
    EXPECT_NE(fingerprint_of(sample(), key),
              fingerprint_of(sample(), make_fingerprint_key("another key")));
}

} // namespace jasminetray
