// INI reading through inih; see ini_reader.hpp.
#include "config/ini_reader.hpp"

#include "base/text_func.hpp"

#include <cstring>
#include <ini.h>

namespace jasminetray {

namespace {

struct reading
{
    std::string_view rest; ///< text not yet handed to inih
    int line = 0;          ///< lines handed out so far
    int too_long = 0;      ///< first line over inih's buffer; or 0
    ini_entry entry;       ///< handed to take, reused
    const ini_taker* take = nullptr;
    bool refused = false; ///< by take; the rest is passed over
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

int pass_on(void* user, const char* section, const char* name,
            const char* value)
{
    auto& r = *static_cast<reading*>(user);
    // Entries after a line that was cut may stand in the wrong section.
    if (r.refused || r.too_long != 0)
        return 1;
    r.entry.section = trim(section);
    r.entry.key = name;
    r.entry.value = value;
    r.entry.line = r.line;
    r.refused = !(*r.take)(r.entry);
    return 1;
}

} // namespace

std::string config_error::text() const
{
    return file + ":" + std::to_string(line) + ": " + reason;
}

bool read_ini(const config_file& file, const ini_taker& take,
              config_error& last)
{
    reading r;
    r.rest = file.content;
    r.take = &take;
    const int failed = ini_parse_stream(next_line, &r, pass_on, &r);
    if (r.refused)
        return false;
    if (r.too_long != 0)
        last = {file.name, r.too_long, "line is too long"};
    else if (failed != 0)
        last = {file.name, failed, "expected [section] or key = value"};
    return r.too_long == 0 && failed == 0;
}

} // namespace jasminetray
