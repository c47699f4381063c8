// Fuzzing of the framing of HTTP messages: heads, lengths, lines of chunks with
// extensions, trailers and interim answers around their limits, in any split
// and cut anywhere. The oracle is the writer, which knows how long each part
// is.
#include "base/random_func.hpp"
#include "fuzz_frame.hpp"
#include "http/arriving_body.hpp"
#include "http/message_limits.hpp"

#include <boost/beast/_experimental/test/stream.hpp>

namespace jt = jasminetray;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr int messages = 6;
constexpr std::size_t longest_part = 10; // of its limit

/// Each can be turned off, which the fuzzer has to notice.
struct framing_safeguards
{
    bool bound_head = true;
    bool bound_body = true;
    bool bound_buffer = true;
    bool drop_trailer = true;
};

/// A message as its writer sees it.
struct written
{
    std::string bytes;
    std::string body;
    std::size_t fields = 0; ///< of its head
    bool sound = true;      ///< readable
    /// A part is longer than its limit, and surely met before any other error.
    bool too_long = false;
};

class writer
{
public:
    writer(jt::random_state& rng, const jt::message_limits& limits)
        : rng_(rng), limits_(limits)
    {
    }

    written write(bool is_request)
    {
        written m;
        write_head(m, is_request);
        if (below(3) == 0)
            write_plain(m);
        else
            write_chunks(m);
        if (below(8) == 0) {
            m.bytes.resize(below(m.bytes.size()));
            m.sound = m.too_long = false;
        } else if (below(8) == 0) {
            m.bytes[below(m.bytes.size())] = static_cast<char>(below(256));
            m.sound = m.too_long = false;
        }
        return m;
    }

private:
    std::size_t below(std::size_t n)
    {
        return static_cast<std::size_t>(jt::random_below(rng_, n));
    }

    /// Returns a length that mostly fits into what is left of a limit.
    std::size_t part(std::size_t limit)
    {
        switch (below(12)) {
        case 0:
            return limit + 1 + below(longest_part * limit);
        case 1:
            return limit;
        default:
            return below(limit / 4);
        }
    }

    std::string filler(std::size_t n)
    {
        std::string text(n, 'a');
        for (auto& c : text)
            c = static_cast<char>('a' + below(26));
        return text;
    }

    void write_head(written& m, bool is_request)
    {
        const auto begin = m.bytes.size();
        m.bytes += is_request ? "POST /x HTTP/1.1\r\n" : "HTTP/1.1 200 OK\r\n";
        for (std::size_t n = below(4); n > 0; --n) {
            m.bytes += "F" + std::to_string(n) + ": " +
                       filler(part(limits_.head_bytes)) + "\r\n";
            ++m.fields;
        }
        ++m.fields; // Content-Length or Transfer-Encoding
        constexpr std::size_t longest_framing_field = 32;
        const auto least = m.bytes.size() - begin;
        // Near the limit either is right: it depends on the split.
        if (least > limits_.head_bytes)
            m.too_long = true;
        if (least + longest_framing_field > limits_.head_bytes)
            m.sound = false;
    }

    void write_plain(written& m)
    {
        const auto most = static_cast<std::size_t>(*limits_.body_bytes);
        m.body = filler(part(most));
        m.bytes += "Content-Length: " + std::to_string(m.body.size()) +
                   "\r\n\r\n" + m.body;
        note_body(m, most);
    }

    void note_body(written& m, std::size_t most)
    {
        if (m.body.size() <= most)
            return;
        m.too_long = m.too_long || m.sound;
        m.sound = false;
    }

    void note_line(written& m, std::size_t bytes)
    {
        constexpr std::size_t line_ends = 8; // around a line or a trailer
        if (m.sound && bytes > limits_.head_bytes)
            m.too_long = true;
        if (bytes + line_ends > limits_.head_bytes)
            m.sound = false;
    }

    void write_chunks(written& m)
    {
        const auto most = static_cast<std::size_t>(*limits_.body_bytes);
        m.bytes += "Transfer-Encoding: chunked\r\n\r\n";
        for (std::size_t n = below(5); n > 0; --n) {
            const auto data = filler(1 + part(most / 2));
            std::array<char, 32> size{};
            std::snprintf(size.data(), size.size(), "%zx", data.size());
            const auto line = size.data() + extension();
            m.bytes += line + "\r\n" + data + "\r\n";
            note_line(m, line.size());
            m.body += data;
            note_body(m, most);
        }
        auto end = "0" + extension() + "\r\n";
        for (std::size_t n = below(3); n > 0; --n)
            end += "T" + std::to_string(n) + ": " +
                   filler(part(limits_.head_bytes)) + "\r\n";
        note_line(m, end.size());
        m.bytes += end + "\r\n";
    }

    std::string extension()
    {
        if (below(3) != 0)
            return "";
        return ";e=" + filler(1 + part(limits_.head_bytes));
    }

    jt::random_state& rng_;
    jt::message_limits limits_;
};

template <bool is_request>
class reader
{
public:
    using parser_type = http::parser<is_request, jt::arriving_body>;

    reader(const framing_safeguards& on, const jt::message_limits& limits)
        : on_(on), limits_(limits)
    {
    }

    /// Reads one message; returns the property that it violates.
    std::string read(const written& m, std::size_t read_size)
    {
        boost::asio::io_context ctx;
        beast::test::stream from(ctx, m.bytes);
        from.read_size(read_size);
        from.close_remote();
        beast::flat_buffer buf;
        parser_type parser;
        limit(parser, buf);
        beast::error_code ec;
        http::read_header(from, buf, parser, ec);
        auto violated = held(parser, buf);
        std::optional<jt::head_fields<parser_type>> head;
        if (!ec)
            head.emplace(parser);
        while (!ec && !parser.is_done() && violated.empty()) {
            http::read_some(from, buf, parser, ec);
            violated = held(parser, buf);
        }
        if (head && on_.drop_trailer)
            head->drop_trailer(parser);
        return violated.empty() ? check(m, parser, ec) : violated;
    }

    std::size_t whole = 0;
    std::size_t refused = 0;

private:
    void limit(parser_type& parser, beast::flat_buffer& buf) const
    {
        jt::apply_limits(parser, buf, limits_);
        const auto none = std::numeric_limits<std::uint32_t>::max();
        if (!on_.bound_head)
            parser.header_limit(none);
        if (!on_.bound_body)
            parser.body_limit(boost::none);
        if (!on_.bound_buffer || !on_.bound_head)
            buf.max_size(none);
    }

    std::string held(const parser_type& parser,
                     const beast::flat_buffer& buf) const
    {
        if (buf.capacity() > limits_.head_bytes)
            return "a buffer beyond the limit";
        if (parser.get().body().size() > *limits_.body_bytes)
            return "a body beyond the limit";
        return "";
    }

    std::string check(const written& m, const parser_type& parser,
                      const beast::error_code& ec)
    {
        const auto& got = parser.get();
        whole += !ec && m.sound ? 1 : 0;
        refused += jt::exceeds_limit(ec) ? 1 : 0;
        if (m.too_long && !jt::exceeds_limit(ec))
            return "a part beyond its limit was read: " + ec.message();
        if (!m.sound)
            return "";
        if (ec)
            return "a sound message failed: " + ec.message();
        if (got.body() != m.body)
            return "another body";
        const auto fields = static_cast<std::size_t>(
            std::distance(got.base().begin(), got.base().end()));
        return fields == m.fields ? "" : "fields that aren't of the head";
    }

    framing_safeguards on_;
    jt::message_limits limits_;
};

} // namespace

int main(int argc, char** argv)
{
    jt::start_fuzz(argc, argv);
    jt::fuzz_result result;
    const auto start_time = std::chrono::steady_clock::now();
    const framing_safeguards on{FLAGS_off != "head", FLAGS_off != "body",
                                FLAGS_off != "buffer", FLAGS_off != "trailer"};
    std::size_t whole = 0;
    std::size_t refused = 0;
    const bool passed = rc::check("what is held is bounded", [&] {
        jt::random_state rng{*rc::gen::arbitrary<std::uint64_t>()};
        for (int k = 0; k < messages; ++k) {
            const jt::message_limits limits{
                static_cast<std::uint32_t>(128 + jt::random_below(rng, 1024)),
                64 + jt::random_below(rng, 2048)};
            writer from(rng, limits);
            const auto read_size =
                static_cast<std::size_t>(1 + jt::random_below(rng, 600));
            std::string violated;
            if (jt::random_below(rng, 2) == 0) {
                reader<true> to(on, limits);
                violated = to.read(from.write(true), read_size);
                whole += to.whole;
                refused += to.refused;
            } else {
                reader<false> to(on, limits);
                violated = to.read(from.write(false), read_size);
                whole += to.whole;
                refused += to.refused;
            }
            if (!violated.empty())
                jt::record_failure(result, static_cast<std::size_t>(k) + 1,
                                   start_time);
            RC_ASSERT(violated == "");
        }
    });
    return jt::finish_fuzz("fuzz_framing", passed && whole > 0 && refused > 0,
                           result);
}
