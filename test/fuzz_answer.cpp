// Fuzzing of the bytes that a backend server sends: lengths that it only names,
// chunks, foreign heads, refusals and answers left over from earlier requests,
// in fragments and cut at any byte. The oracle is the backend server, which
// knows what ran.
#include "base/random_func.hpp"
#include "fuzz_frame.hpp"
#include "node/worker_answer_func.hpp"
#include "platform/dialect.hpp"

#include <algorithm>
#include <string>

namespace jt = jasminetray;
namespace http = jt::http;
namespace beast = jt::beast;

namespace {

constexpr int requests = 12;
constexpr int max_strays = 4;
constexpr std::size_t max_body = 4096;
constexpr std::uint64_t beyond_memory = 1500000000000000; // bytes
constexpr std::uint64_t within_memory = 1000000;          // bytes

/// What the node makes of a request.
enum class conclusion
{
    answered,
    not_run,
    unknown,
};

/// What a backend server sent for one request, and whether it ran.
struct exchange
{
    std::string echo;
    std::string body; ///< of its answer
    bool ran = false;
};

class world
{
public:
    world(const jt::answer_safeguards& on, std::uint64_t seed)
        : on_(on), rng_{seed}
    {
    }

    /// Runs one request; returns the property that it violates.
    std::string step()
    {
        ++sent_;
        if (!open_)
            connect();
        exchange x{"r" + std::to_string(sent_), "", false};
        serve(x);
        return check(x, read(x.echo));
    }

    std::size_t answers = 0;  ///< delivered
    std::size_t refusals = 0; ///< believed

private:
    bool chance(std::uint64_t one_in)
    {
        return jt::random_below(rng_, one_in) == 0;
    }

    std::size_t below(std::size_t n)
    {
        return static_cast<std::size_t>(jt::random_below(rng_, n));
    }

    void connect()
    {
        wire_.clear();
        late_.clear();
        buf_.clear();
        open_ = true;
        used_ = false;
        closing_ = false;
    }

    std::string refusal(const std::string& echo)
    {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" +
               (echo.empty() ? "" : "X-Attempt-Id: " + echo + "\r\n") +
               "Content-Length: 0\r\n\r\n";
    }

    std::string answer(const std::string& echo, const std::string& body)
    {
        std::string text = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + echo +
                           "\r\nX-Server-Seal: s\r\n";
        if (chance(2))
            return text + "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body;
        text += "Transfer-Encoding: chunked\r\n\r\n";
        for (std::size_t at = 0; at < body.size();) {
            const auto n = std::min(body.size() - at, 1 + below(40));
            text += (n < 16 ? "" : std::string(1, "0123456789abcdef"[n / 16])) +
                    std::string(1, "0123456789abcdef"[n % 16]) + "\r\n" +
                    body.substr(at, n) + "\r\n";
            at += n;
        }
        return text + "0\r\n\r\n";
    }

    std::string garbage()
    {
        std::string text(below(60), ' ');
        for (auto& c : text)
            c = static_cast<char>(below(256));
        return text;
    }

    /// The backend server's part: what it writes at once and what comes late.
    void serve(exchange& x)
    {
        wire_ += late_;
        late_.clear();
        x.body = x.echo + std::string(below(200), 'x');
        switch (below(12)) {
        case 0: // refuses, with or without the id
            wire_ += refusal(chance(2) ? x.echo : "");
            return;
        case 1: // a length that never arrives
            x.ran = true;
            wire_ += "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + x.echo +
                     "\r\nX-Server-Seal: s\r\nContent-Length: " +
                     std::to_string(chance(2) ? beyond_memory : within_memory) +
                     "\r\n\r\n" + x.body;
            closing_ = true;
            return;
        case 2: // cut
            x.ran = true;
            wire_ += answer(x.echo, x.body);
            wire_.resize(below(wire_.size()));
            closing_ = true;
            return;
        case 3: // another request's answer, or none that can be read
            x.ran = chance(2);
            wire_ += chance(2) ? garbage() : answer("r0", x.body);
            closing_ = chance(2);
            return;
        case 4: // a late refusal of an earlier request before the answer
            x.ran = true;
            wire_ += (used_ ? refusal("") : "") + answer(x.echo, x.body);
            return;
        default:
            break;
        }
        x.ran = true;
        wire_ += answer(x.echo, x.body);
        if (chance(4))
            late_ = chance(2) ? refusal("") : answer(x.echo, x.body);
    }

    /// Reads into the parser until the answer is whole.
    bool read_one(jt::response_parser& parser)
    {
        beast::error_code ec;
        std::size_t arrived = 0;
        parser.body_limit(boost::none);
        parser.eager(true);
        while (!parser.is_done() && arrived <= max_body) {
            if (buf_.size() > 0) {
                const auto n = parser.put(buf_.data(), ec);
                buf_.consume(n);
                arrived += n;
                if (parser.get().body().capacity() > 2 * arrived + 64)
                    greedy_ = true;
                if (ec && ec != http::error::need_more)
                    return false;
                if (n > 0)
                    continue;
            }
            if (wire_.empty())
                return false; // silent or closed
            const auto n = std::min(wire_.size(), 1 + below(300));
            beast::ostream(buf_) << wire_.substr(0, n);
            wire_.erase(0, n);
        }
        return parser.is_done();
    }

    /// The node's part, as the exit side reads answers.
    conclusion read(const std::string& echo)
    {
        jt::expected_answer f;
        f.worker = "w";
        f.echo = echo;
        auto result = conclusion::unknown;
        bool keep = false;
        for (int k = 0; k < max_strays; ++k) {
            jt::response_parser parser;
            if (!read_one(parser))
                break;
            const auto kind = jt::classify_answer(
                dialect_, f, {!used_, buf_.size() > 0}, parser.get(), on_);
            keep = parser.keep_alive() && buf_.size() == 0;
            delivered_ = parser.get().body();
            if (kind == jt::answer_kind::own)
                result = conclusion::answered;
            if (kind == jt::answer_kind::not_run)
                result = conclusion::not_run;
            const bool stray = kind == jt::answer_kind::unproven_refusal ||
                               (kind == jt::answer_kind::other && used_);
            if (!stray || !parser.keep_alive())
                break;
        }
        used_ = true;
        open_ = keep && !closing_ && result != conclusion::unknown;
        return result;
    }

    std::string check(const exchange& x, conclusion c)
    {
        answers += c == conclusion::answered ? 1 : 0;
        refusals += c == conclusion::not_run ? 1 : 0;
        if (greedy_)
            return "memory for bytes that have not arrived";
        if (c == conclusion::not_run && x.ran)
            return "said not-run, but it ran";
        if (c == conclusion::answered && (!x.ran || delivered_ != x.body))
            return "another answer";
        return "";
    }

    jt::answer_safeguards on_;
    jt::random_state rng_;
    jt::http_dialect dialect_ = jt::make_platform_dialect();
    int sent_ = 0;
    bool open_ = false;
    bool used_ = false;    ///< an earlier request was sent there
    bool closing_ = false; ///< by the backend server
    bool greedy_ = false;
    std::string wire_; ///< sent by the backend server
    std::string late_; ///< sent once the next request is there
    beast::flat_buffer buf_;
    std::string delivered_;
};

} // namespace

int main(int argc, char** argv)
{
    jt::start_fuzz(argc, argv);
    jt::fuzz_result result;
    const auto start_time = std::chrono::steady_clock::now();
    const jt::answer_safeguards on{FLAGS_off != "echo", FLAGS_off != "refusal"};
    std::size_t answers = 0;
    std::size_t refusals = 0;
    const bool passed = rc::check("what ran is known", [&] {
        world w(on, *rc::gen::arbitrary<std::uint64_t>());
        for (int k = 0; k < requests; ++k) {
            const auto violated = w.step();
            if (!violated.empty())
                jt::record_failure(result, static_cast<std::size_t>(k) + 1,
                                   start_time);
            RC_ASSERT(violated == "");
        }
        answers += w.answers;
        refusals += w.refusals;
    });
    return jt::finish_fuzz("fuzz_answer", passed && answers > 0 && refusals > 0,
                           result);
}
