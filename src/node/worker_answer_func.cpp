// Classification of answers; see worker_answer_func.hpp.
#include "node/worker_answer_func.hpp"

#include "node/http_func.hpp"

namespace jasminetray {

namespace {

constexpr unsigned misdirected = 421; ///< of a process that isn't the expected
constexpr unsigned too_many = 429;
constexpr unsigned unavailable = 503;

bool names_other_process(const http_dialect& d, const expected_answer& f,
                         const http::response_header<>& head)
{
    const auto name = d.worker.empty()
                          ? std::string()
                          : header_value(head, to_beast_view(d.worker));
    return head.result_int() == misdirected && !name.empty() &&
           name != f.worker;
}

} // namespace

bool is_refusal(const http_dialect& d, const http::response_header<>& head)
{
    const auto status = head.result_int();
    if (!d.expected_worker.empty() && status == misdirected)
        return true;
    return header_value(head, to_beast_view(d.not_run)) == "1" &&
           (status == unavailable || status == too_many);
}

bool is_bare_refusal(const http_dialect& d, const http::response_header<>& head)
{
    return is_refusal(d, head) && head.result_int() != misdirected &&
           header_value(head, to_beast_view(d.request)).empty();
}

answer_kind classify_answer(const http_dialect& d, const expected_answer& f,
                            const answer_position& at,
                            const http::response_header<>& head,
                            const answer_safeguards& on)
{
    const auto echo = header_value(head, to_beast_view(d.request));
    if (is_refusal(d, head)) {
        if (!echo.empty() && echo != f.echo)
            return on.check_echo ? answer_kind::other : answer_kind::own;
        // On a new connection nothing but the current request can have caused
        // it. A process with another name refuses all that name this one.
        const bool proven = !echo.empty() || names_other_process(d, f, head) ||
                            (at.first_request && !at.followed);
        return proven || f.repeatable || !on.prove_refusal
                   ? answer_kind::not_run
                   : answer_kind::unproven_refusal;
    }
    const bool is_own =
        !on.check_echo || (echo.empty() ? !f.echo_required : echo == f.echo);
    return is_own ? answer_kind::own : answer_kind::other;
}

} // namespace jasminetray
