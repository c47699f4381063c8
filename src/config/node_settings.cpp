// Reads and checks node settings.
#include "config/node_settings.hpp"

#include "config/ini_reader.hpp"
#include "table/settings_table.hpp"

#include <fstream>
#include <sstream>

namespace jasminetray {

namespace {

bool set_entry(node_settings& s, const std::string& file, const ini_entry& e,
               config_error& error)
{
    for (const auto& x : settings_table) {
        if (x.section != e.section || x.row.key != e.key)
            continue;
        if (x.row.set(s, e.value))
            return true;
        error = {file, e.line,
                 "bad value '" + e.value + "' for " + e.key + ": expected " +
                     std::string(x.row.expects)};
        return false;
    }
    error = {file, e.line,
             "unknown key '" + e.key + "' in [" + e.section + "]"};
    return false;
}

} // namespace

std::optional<node_settings> read_settings(const std::string& file,
                                           config_error& error)
{
    std::ifstream in(file);
    if (!in) {
        error = {file, 0, "cannot be read"};
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    node_settings s;
    s.file = file;
    const auto handler = [&](const ini_entry& e) {
        return set_entry(s, file, e, error);
    };
    if (!read_ini({file, text.str()}, handler, error))
        return std::nullopt;
    return s;
}

bool check_settings(const node_settings& s, const std::string& file,
                    config_error& error)
{
    const auto require = [&](const std::string& value, const char* key) {
        if (value.empty())
            error = {file, 0, std::string(key) + " is missing"};
        return !value.empty();
    };
    return require(s.name, "[node] name") &&
           require(s.centre, "[node] data_centre") &&
           require(s.key, "[cluster] key");
}

span_us stop_timeout_for(const node_settings& s)
{
    // Stops before the platform's kill, which would cut responses that are
    // still being sent. A longer grace period implies slower VMs and gets a
    // longer margin: 0.4 s of 6 s, 0.67 s of 10 s.
    constexpr span_us margin_divisor = 15;
    return s.hosted.grace > 0 ? s.hosted.grace - s.hosted.grace / margin_divisor
                              : s.stop_timeout;
}

std::string settings_reference()
{
    std::ostringstream out;
    out << "| section | key | value | meaning |\n|---|---|---|---|\n";
    for (const auto& x : settings_table) {
        out << "| " << x.section << " | " << x.row.key << " | " << x.row.expects
            << " | " << x.row.meaning << " |\n";
    }
    return out.str();
}

} // namespace jasminetray
