// Questions to nodes and changes by hand, over RPC. A node that does not
// have the answer names the one that does, and it is asked next.
#include "base/names_type.hpp"
#include "base/text_func.hpp"
#include "ctl/ctl_type.hpp"
#include "rpc/peer_rpc.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>

DEFINE_string(node, "", "ip:port of any node's RPC address");
DEFINE_bool(json, false, "print JSON as it came");
DEFINE_string(token, "", "token for changes");
DEFINE_string(reason, "", "why; kept in the audit event");
DEFINE_int64(seconds, 600, "expiry of an ejection by hand");
DEFINE_bool(force, false, "eject even below the floor");

namespace jasminetray {

namespace {

namespace json = boost::json;

constexpr span_us call_bound = 2 * us_per_s;
constexpr int max_hops = 3;

/// Asks a node, and whichever it names instead.
std::optional<json::object> ask(const std::string& request)
{
    auto at = parse_host_port(FLAGS_node);
    for (int n = 0; at && n < max_hops; ++n) {
        const auto ip = boost::asio::ip::make_address_v4(at->ip).to_uint();
        const auto text = call_query(ip, at->port, request, call_bound);
        json::error_code ec;
        const auto v = text ? json::parse(*text, ec) : json::value();
        if (!text || ec || !v.is_object()) {
            std::cerr << "no answer from " << at->ip << ":" << at->port << "\n";
            return std::nullopt;
        }
        const auto* next = v.as_object().if_contains("ask");
        if (next == nullptr || !next->is_string())
            return v.as_object();
        at = parse_host_port(std::string(next->as_string()));
    }
    std::cerr << "--node ip:port is needed\n";
    return std::nullopt;
}

std::string text_of(const json::value& v)
{
    if (v.is_string())
        return std::string(v.as_string());
    return json::serialize(v);
}

void print_row(const json::object& o)
{
    std::string line;
    for (const auto& [key, value] : o)
        line += std::string(key) + "=" + text_of(value) + "  ";
    std::cout << line << "\n";
}

/// Plain members first, then each list as one line per element.
void print_object(const json::object& o)
{
    for (const auto& [key, value] : o) {
        if (!value.is_array())
            std::cout << std::left << std::setw(20) << std::string(key) << " "
                      << text_of(value) << "\n";
    }
    for (const auto& [key, value] : o) {
        if (!value.is_array())
            continue;
        std::cout << key << ":\n";
        for (const auto& row : value.as_array())
            print_row(row.as_object());
    }
}

int show(const json::object& request)
{
    const auto answer = ask(json::serialize(request));
    if (!answer)
        return exit_refused;
    if (FLAGS_json)
        std::cout << json::serialize(*answer) << "\n";
    else
        print_object(*answer);
    return answer->contains("error") ? exit_refused : exit_done;
}

/// The key comes by standard input: a command line stands in process lists and
/// in histories of shells.
int whois()
{
    std::string key;
    std::getline(std::cin, key);
    if (key.empty()) {
        std::cerr << "usage: whois --node IP:PORT, with the key in standard "
                     "input\n";
        return exit_usage;
    }
    return show({{"query", "whois"}, {"key", key}});
}

int explain(const ctl_words& words)
{
    const std::string what = words.size() > 1 ? words[1] : "";
    const std::string subject = words.size() > 2 ? words[2] : "";
    std::string family;
    if (what == "request" || what == "refusal")
        family = "routing";
    else if (what == "ejection")
        family = "health";
    else if (what == "config")
        family = "configuration";
    else if (what == "member")
        family = "membership";
    else if (what == "change")
        family = "operation";
    if (family.empty()) {
        std::cerr << "usage: explain request|refusal|ejection|config|member|"
                     "change [SUBJECT]\n";
        return exit_usage;
    }
    return show(
        {{"query", "explain"}, {"family", family}, {"subject", subject}});
}

/// Sends a change and prints its answer.
int change(const json::object& request)
{
    const auto answer = ask(json::serialize(request) + "\n" + FLAGS_token);
    if (!answer)
        return exit_refused;
    std::cout << json::serialize(*answer) << "\n";
    return answer->contains("error") ? exit_refused : exit_done;
}

int quarantine(const ctl_words& words)
{
    if (words.size() == 2 && words[1] == "list")
        return show({{"query", "quarantine"}});
    if (words.size() == 3 && words[1] == "release")
        return change({{"command", "release"},
                       {"fingerprint", words[2]},
                       {"reason", FLAGS_reason}});
    std::cerr << "usage: quarantine list | quarantine release FINGERPRINT "
                 "--reason TEXT\n";
    return exit_usage;
}

} // namespace

int run_query(const ctl_words& words)
{
    const std::string what = words.empty() ? "" : words[0];
    if (what == "fleet")
        return show({{"query", "fleet"}});
    if (what == "node")
        return show({{"query", "status"}});
    if (what == "service" && words.size() == 3)
        return show({{"query", "service"}, {"name", words[2]}});
    if (what == "quarantine")
        return quarantine(words);
    if (what == "teams" && words.size() == 2 && words[1] == "list")
        return show({{"query", "teams"}});
    if (what == "teams" && words.size() == 3 && words[1] == "show")
        return show({{"query", "team"}, {"name", words[2]}});
    if (what == "whois")
        return whois();
    if (what == "explain")
        return explain(words);
    std::cerr << "usage: fleet show | node show | service show NAME | "
                 "teams list | teams show NAME | whois | explain ...\n";
    return exit_usage;
}

int run_change(const ctl_words& words)
{
    if (words.size() != 2) {
        std::cerr << "usage: " << words[0] << " WORKER --reason TEXT\n";
        return exit_usage;
    }
    return change({{"command", words[0]},
                   {"worker", words[1]},
                   {"reason", FLAGS_reason},
                   {"seconds", FLAGS_seconds},
                   {"force", FLAGS_force}});
}

} // namespace jasminetray
