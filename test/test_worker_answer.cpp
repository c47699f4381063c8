// Classification of backend servers' answers, by where they stand on their
// connection.
#include "node/worker_answer_func.hpp"
#include "platform/dialect.hpp"

#include <gtest/gtest.h>

namespace jt = jasminetray;
namespace http = jt::http;

namespace {

http::response_header<> make_head(const jt::http_dialect& d, unsigned status,
                                  const std::string& echo, bool refusal)
{
    http::response_header<> h;
    h.result(status);
    if (!echo.empty())
        h.set(std::string(d.request), echo);
    if (refusal)
        h.set(std::string(d.not_run), "1");
    return h;
}

jt::answer_kind classify(const jt::http_dialect& d, unsigned status,
                         const std::string& echo, bool first,
                         bool followed = false, bool repeatable = false)
{
    return jt::classify_answer(d, {{}, "w", "mine", true, repeatable},
                               {first, followed},
                               make_head(d, status, echo, status != 200), {});
}

} // namespace

// Guards against a late refusal of an earlier request that is believed.
TEST(worker_answer, only_an_id_or_a_first_request_proves_a_refusal)
{
    for (const auto& d : {jt::http_dialect{}, jt::make_platform_dialect()}) {
        for (const unsigned status : {429U, 503U}) {
            EXPECT_EQ(classify(d, status, "mine", false),
                      jt::answer_kind::not_run);
            EXPECT_EQ(classify(d, status, "", true), jt::answer_kind::not_run);
            EXPECT_EQ(classify(d, status, "", false),
                      jt::answer_kind::unproven_refusal);
            EXPECT_EQ(classify(d, status, "", true, true),
                      jt::answer_kind::unproven_refusal);
            EXPECT_EQ(classify(d, status, "", false, false, true),
                      jt::answer_kind::not_run);
            EXPECT_EQ(classify(d, status, "theirs", true),
                      jt::answer_kind::other);
        }
        EXPECT_EQ(classify(d, 200, "mine", false), jt::answer_kind::own);
        EXPECT_EQ(classify(d, 200, "", false), jt::answer_kind::other);
    }
}
