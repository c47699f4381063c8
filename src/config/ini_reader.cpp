// INI parsing with inih.
#include "config/ini_reader.hpp"

#include "base/text_func.hpp"

#include <cstring>
#include <ini.h>

namespace jasminetray {

namespace {

struct parse_state
{
    std::string_view rest; ///< input not yet passed to inih
    int line = 0;          ///< lines passed so far
    int too_long = 0;      ///< first line that exceeds inih's buffer, or 0
    ini_entry entry;       ///< reused for each entry
    const ini_handler* handler = nullptr;
    bool stopped = false; ///< by the handler; later entries are skipped
};

/// Reader callback of inih. It is called once per line, which yields the line
/// number of each entry.
char* next_line(char* buf, int size, void* stream)
{
    auto& r = *static_cast<parse_state*>(stream);
    if (r.rest.empty())
        return nullptr;
    const auto end = r.rest.find('\n');
    auto line = r.rest.substr(0, end);
    r.rest.remove_prefix(end == std::string_view::npos ? r.rest.size()
                                                       : end + 1);
    ++r.line;
    // inih would silently split a line that exceeds its buffer.
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

int handle_entry(void* user, const char* section, const char* name,
                 const char* value)
{
    auto& r = *static_cast<parse_state*>(user);
    // Entries after a truncated line may be in the wrong section.
    if (r.stopped || r.too_long != 0)
        return 1;
    r.entry.section = trim(section);
    r.entry.key = name;
    r.entry.value = value;
    r.entry.line = r.line;
    r.stopped = !(*r.handler)(r.entry);
    return 1;
}

} // namespace

std::string config_error::text() const
{
    return file + ":" + std::to_string(line) + ": " + reason;
}

bool read_ini(const config_file& file, const ini_handler& handler,
              config_error& error)
{
    parse_state r;
    r.rest = file.content;
    r.handler = &handler;
    const int failed = ini_parse_stream(next_line, &r, handle_entry, &r);
    if (r.stopped)
        return false;
    if (r.too_long != 0)
        error = {file.name, r.too_long, "line is too long"};
    else if (failed != 0)
        error = {file.name, failed, "expected [section] or key = value"};
    return r.too_long == 0 && failed == 0;
}

} // namespace jasminetray
