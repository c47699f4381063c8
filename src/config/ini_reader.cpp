// INI reading through inih; see ini_reader.hpp.
#include "config/ini_reader.hpp"

#include "base/text_func.hpp"

#include <cstring>
#include <ini.h>

namespace jasminetray {

namespace {

struct reading
{
    std::string_view rest;          ///< text not yet handed to inih
    int line = 0;                   ///< lines handed out so far
    int too_long = 0;               ///< first line over inih's buffer; or 0
    std::vector<ini_entry> entries; ///< collected so far
};

// inih asks for one line at a time, which tells us the line of each entry.
char* next_line(char* buf, int size, void* stream)
{
    auto& r = *static_cast<reading*>(stream);
    if (r.rest.empty())
        return nullptr;
    const auto end = r.rest.find('\n');
    auto line = r.rest.substr(0, end);
    r.rest.remove_prefix(end == std::string_view::npos ? r.rest.size()
                                                       : end + 1);
    ++r.line;
    // A line that inih's buffer cannot hold would be cut without a word and
    // the cut part read as another line.
    if (line.size() + 2 > static_cast<std::size_t>(size)) {
        if (r.too_long == 0)
            r.too_long = r.line;
        line = line.substr(0, static_cast<std::size_t>(size) - 2);
    }
    std::memcpy(buf, line.data(), line.size());
    buf[line.size()] = '\n';
    buf[line.size() + 1] = '\0';
    return buf;
}

int collect(void* user, const char* section, const char* name,
            const char* value)
{
    auto& r = *static_cast<reading*>(user);
    r.entries.push_back({std::string(trim(section)), name, value, r.line});
    return 1;
}

} // namespace

std::string config_error::text() const
{
    return file + ":" + std::to_string(line) + ": " + reason;
}

std::optional<std::vector<ini_entry>> read_ini(const config_file& file,
                                               config_error& last)
{
    reading r;
    r.rest = file.content;
    const int failed = ini_parse_stream(next_line, &r, collect, &r);
    if (r.too_long != 0) {
        last = {file.name, r.too_long, "line is too long"};
        return std::nullopt;
    }
    if (failed != 0) {
        last = {file.name, failed, "expected [section] or key = value"};
        return std::nullopt;
    }
    return std::move(r.entries);
}

} // namespace jasminetray
