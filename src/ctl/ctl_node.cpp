// Queries and operator commands sent to nodes over RPC. A node that can't
// answer returns the address of the node that can, and the tool follows it.
#include "base/names_type.hpp"
#include "base/text_func.hpp"
#include "ctl/ctl_type.hpp"
#include "rpc/peer_rpc.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>

DEFINE_string(node, "", "IP:PORT of any node's RPC address");
DEFINE_bool(json, false, "print the response as JSON");
DEFINE_string(token, "", "operator token, required for changes");
DEFINE_string(reason, "", "reason recorded in the audit event");
DEFINE_int64(seconds, 600, "duration of an operator's ejection, in seconds");
DEFINE_bool(force, false,
            "eject even when the capacity left falls below the floor");

namespace jasminetray {

namespace {

namespace json = boost::json;

constexpr span_us rpc_timeout = 2 * us_per_s;
constexpr int max_redirects = 3;

/// Sends a request to the node of --node; prints an error when that fails.
std::optional<json::object> send_request(const std::string& request)
{
    auto address = parse_host_port(FLAGS_node);
    for (int n = 0; address && n < max_redirects; ++n) {
        const auto ip = boost::asio::ip::make_address_v4(address->ip).to_uint();
        const auto text = call_query(ip, address->port, request, rpc_timeout);
        json::error_code ec;
        const auto v = text ? json::parse(*text, ec) : json::value();
        if (!text || ec || !v.is_object()) {
            std::cerr << "no valid response from " << address->ip << ":"
                      << address->port << "\n";
            return std::nullopt;
        }
        const auto* redirect = v.as_object().if_contains("ask");
        if (redirect == nullptr || !redirect->is_string())
            return v.as_object();
        address = parse_host_port(std::string(redirect->as_string()));
    }
    std::cerr << "--node IP:PORT is missing or invalid, or there were too many "
                 "redirects\n";
    return std::nullopt;
}

std::string to_display_text(const json::value& v)
{
    if (v.is_string())
        return std::string(v.as_string());
    return json::serialize(v);
}

void print_row(const json::object& o)
{
    std::string line;
    for (const auto& [key, value] : o)
        line += std::string(key) + "=" + to_display_text(value) + "  ";
    std::cout << line << "\n";
}

/// Prints scalar members first, then each list with one line per element.
void print_object(const json::object& o)
{
    for (const auto& [key, value] : o) {
        if (!value.is_array())
            std::cout << std::left << std::setw(20) << std::string(key) << " "
                      << to_display_text(value) << "\n";
    }
    for (const auto& [key, value] : o) {
        if (!value.is_array())
            continue;
        std::cout << key << ":\n";
        for (const auto& row : value.as_array())
            print_row(row.as_object());
    }
}

int print_query(const json::object& request)
{
    const auto response = send_request(json::serialize(request));
    if (!response)
        return exit_refused;
    if (FLAGS_json)
        std::cout << json::serialize(*response) << "\n";
    else
        print_object(*response);
    return response->contains("error") ? exit_refused : exit_success;
}

/// Reads the key from standard input, because a command line is visible in
/// process lists and shell histories.
int whois()
{
    std::string key;
    std::getline(std::cin, key);
    if (key.empty()) {
        std::cerr << "usage: whois --node IP:PORT, with the key on standard "
                     "input\n";
        return exit_usage;
    }
    return print_query({{"query", "whois"}, {"key", key}});
}

int explain(const ctl_args& args)
{
    const std::string topic = args.size() > 1 ? args[1] : "";
    const std::string subject = args.size() > 2 ? args[2] : "";
    std::string family;
    if (topic == "request" || topic == "refusal")
        family = "routing";
    else if (topic == "ejection")
        family = "health";
    else if (topic == "config")
        family = "configuration";
    else if (topic == "member")
        family = "membership";
    else if (topic == "change")
        family = "operation";
    if (family.empty()) {
        std::cerr << "usage: explain request|refusal|ejection|config|member|"
                     "change [SUBJECT]\n";
        return exit_usage;
    }
    return print_query(
        {{"query", "explain"}, {"family", family}, {"subject", subject}});
}

int send_change(const json::object& request)
{
    const auto response =
        send_request(json::serialize(request) + "\n" + FLAGS_token);
    if (!response)
        return exit_refused;
    std::cout << json::serialize(*response) << "\n";
    return response->contains("error") ? exit_refused : exit_success;
}

int quarantine(const ctl_args& args)
{
    if (args.size() == 2 && args[1] == "list")
        return print_query({{"query", "quarantine"}});
    if (args.size() == 3 && args[1] == "release")
        return send_change({{"command", "release"},
                            {"fingerprint", args[2]},
                            {"reason", FLAGS_reason}});
    std::cerr << "usage: quarantine list | quarantine release FINGERPRINT "
                 "--reason TEXT\n";
    return exit_usage;
}

} // namespace

int run_query(const ctl_args& args)
{
    const std::string command = args.empty() ? "" : args[0];
    if (command == "fleet")
        return print_query({{"query", "fleet"}});
    if (command == "node")
        return print_query({{"query", "status"}});
    if (command == "service" && args.size() == 3)
        return print_query({{"query", "service"}, {"name", args[2]}});
    if (command == "placement" && args.size() == 2)
        return print_query({{"query", "placement"}, {"name", args[1]}});
    if (command == "quarantine")
        return quarantine(args);
    if (command == "teams" && args.size() == 2 && args[1] == "list")
        return print_query({{"query", "teams"}});
    if (command == "teams" && args.size() == 3 && args[1] == "show")
        return print_query({{"query", "team"}, {"name", args[2]}});
    if (command == "whois")
        return whois();
    if (command == "explain")
        return explain(args);
    std::cerr << "usage: fleet show | node show | service show NAME | "
                 "placement SERVICE | "
                 "teams list | teams show NAME | whois | explain ...\n";
    return exit_usage;
}

int run_change(const ctl_args& args)
{
    if (args.size() != 2) {
        std::cerr << "usage: " << args[0] << " WORKER --reason TEXT\n";
        return exit_usage;
    }
    return send_change({{"command", args[0]},
                        {"worker", args[1]},
                        {"reason", FLAGS_reason},
                        {"seconds", FLAGS_seconds},
                        {"force", FLAGS_force}});
}

} // namespace jasminetray
