// Reading a node's settings; see node_settings.hpp.
#include "config/node_settings.hpp"

#include "config/ini_reader.hpp"
#include "table/settings_table.hpp"

#include <fstream>
#include <sstream>

namespace jasminetray {

namespace {

bool set_entry(node_settings& s, const std::string& file, const ini_entry& e,
               config_error& last)
{
    for (const auto& x : settings_table) {
        if (x.section != e.section || x.row.key != e.key)
            continue;
        if (x.row.set(s, e.value))
            return true;
        last = {file, e.line,
                "bad value '" + e.value + "' for " + e.key + ": expected " +
                    std::string(x.row.expects)};
        return false;
    }
    last = {file, e.line, "unknown key '" + e.key + "' in [" + e.section + "]"};
    return false;
}

} // namespace

std::optional<node_settings> read_settings(const std::string& file,
                                           config_error& last)
{
    std::ifstream in(file);
    if (!in) {
        last = {file, 0, "cannot be read"};
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    node_settings s;
    s.file = file;
    const auto take = [&](const ini_entry& e) {
        return set_entry(s, file, e, last);
    };
    if (!read_ini({file, text.str()}, take, last))
        return std::nullopt;
    return s;
}

bool check_settings(const node_settings& s, const std::string& file,
                    config_error& last)
{
    const auto need = [&](const std::string& value, const char* key) {
        if (value.empty())
            last = {file, 0, std::string(key) + " is missing"};
        return !value.empty();
    };
    return need(s.name, "[node] name") &&
           need(s.centre, "[node] data_centre") && need(s.key, "[cluster] key");
}

span_us stop_timeout_for(const node_settings& s)
{
    // A node that is still handing out answers when the kill comes closes on
    // their callers. The longer the grace, the slower the VMs it is meant for:
    // 0.4 s are left of 6 s, 0.67 s of 10 s.
    constexpr span_us kept_share = 15;
    return s.hosted.grace > 0 ? s.hosted.grace - s.hosted.grace / kept_share
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
