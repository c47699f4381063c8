// Change detection and reload of the settings file; see settings_reload.hpp.
#include "node/settings_reload.hpp"

#include <system_error>

namespace jasminetray {

watched_file::watched_file(std::string path) : path_(std::move(path))
{
    changed();
}

bool watched_file::changed()
{
    std::error_code ec;
    const auto time = std::filesystem::last_write_time(path_, ec);
    const auto size = ec ? 0 : std::filesystem::file_size(path_, ec);
    if (ec || (time == time_ && size == size_))
        return false;
    time_ = time;
    size_ = size;
    return true;
}

void reload_settings(node_settings& settings, node_state& n)
{
    config_error error;
    const auto s = read_settings(settings.file, error);
    if (!s || !check_settings(*s, settings.file, error)) {
        n.events.write(event_id::settings_refused, settings.name, error.text());
        return;
    }
    settings.stamp_bound = s->stamp_bound;
    settings.response_timeout = s->response_timeout;
    settings.idle_ping_after = s->idle_ping_after;
    settings.drain_time = s->drain_time;
    settings.stop_timeout = s->stop_timeout;
    settings.max_in_flight = s->max_in_flight;
    settings.service_in_flight = s->service_in_flight;
    settings.max_attempts = s->max_attempts;
    settings.hosted.service = s->hosted.service;
    settings.hosted.worker = s->hosted.worker;
    settings.hosted.grace = s->hosted.grace;
    settings.hosted.retry_ratio = s->hosted.retry_ratio;
    settings.hosted.retry_window = s->hosted.retry_window;
    settings.hosted.retry_slack = s->hosted.retry_slack;
    n.local_gate.limits.stamp_bound = settings.stamp_bound;
    n.events.write(event_id::settings_reloaded, settings.name,
                   "service=" + settings.hosted.service);
}

} // namespace jasminetray
