// Decides what an answer on a backend server's connection is. Answers to
// earlier requests and refusals that belong to none may stand where the answer
// to the current request is due.
#pragma once

#include "node/dialect_type.hpp"
#include "node/http_type.hpp"

namespace jasminetray {

/// What an answer is checked against. A copy, as the backend server may be
/// removed from the node's list before its answer arrives.
struct expected_answer
{
    worker_id id{};
    std::string worker; ///< name of its process
    std::string echo;   ///< request id that the answer must carry
    bool echo_required = true;
    bool repeatable =
        false; ///< may run twice, so that a refusal needs no proof
};

/// Where an answer stands on its connection.
struct answer_position
{
    bool first_request = false; ///< no earlier request was sent there
    bool followed = false;      ///< unread bytes stand after it
};

enum class answer_kind : std::uint8_t
{
    own,     ///< of the current request
    not_run, ///< refuses the current request, which did not run
    other,   ///< of another request
    /// A refusal without id that may be of an earlier request, or of none. The
    /// current request may run, and its answer may follow.
    unproven_refusal,
};

struct answer_safeguards
{
    bool check_echo = true;    ///< an answer must carry its request's id
    bool prove_refusal = true; ///< so must a refusal, but on a new connection
};

/// Returns whether an answer has the form of a refusal without execution.
bool is_refusal(const http_dialect& d, const http::response_header<>& head);

/// Returns whether a refusal lacks the id that would prove whose it is.
bool is_bare_refusal(const http_dialect& d,
                     const http::response_header<>& head);

answer_kind classify_answer(const http_dialect& d, const expected_answer& f,
                            const answer_position& at,
                            const http::response_header<>& head,
                            const answer_safeguards& on);

} // namespace jasminetray
