// Tests of configuration files, settings and submissions.
#include "config/config_check.hpp"
#include "config/config_query.hpp"
#include "config/config_store.hpp"
#include "config/node_settings.hpp"
#include "fake_store.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <unistd.h>

namespace jasminetray {
namespace {

constexpr char base[] = "[fleet]\nname = t\n"
                        "[service billing]\nfloor = 60%\n"
                        "[route charge]\npath = /billing\n"
                        "service = billing\n";

std::string error_of(const std::vector<config_file>& files)
{
    config_error error;
    return check_files(files, error) ? "" : error.text();
}

submission make_submission(const std::string& id,
                           const std::string& text = base)
{
    submission s;
    s.files = {{"base.ini", text}};
    s.author = "author-" + id;
    s.id = id;
    s.max_resolve_attempts = 3;
    return s;
}

TEST(config_errors, include_file_line_and_reason)
{
    EXPECT_EQ(error_of({{"base.ini", base}}), "");
    EXPECT_EQ(error_of({{"base.ini", "[service a]\nfloor = much\n"}}),
              "base.ini:2: bad value 'much' for floor: expected N% or N slots");
    EXPECT_EQ(error_of({{"base.ini", "[service a]\n\nflor = 5%\n"}}),
              "base.ini:3: unknown key 'flor' in [service a]");
    EXPECT_EQ(error_of({{"base.ini", "[route a]\npath = /a\nservice = b\n"}}),
              "base.ini:2: route a names service 'b', which no [service] "
              "section defines");
    EXPECT_EQ(error_of({{"base.ini", "[service a]\nfloor = 5%\nfloor = 6%"}}),
              "base.ini:3: key 'floor' given twice");
    EXPECT_EQ(error_of({{"base.ini", "[team a]\nrate = 1\n[team b]\nrate = "
                                     "1\n[team a]\nburst = 2\n"}}),
              "base.ini:6: section [team a] given twice");
    EXPECT_EQ(error_of({{"kumamoto.ini", "[fleet]\nname = x\n"}}),
              "base.ini:0: missing: an overlay needs a base file");
    EXPECT_EQ(error_of({{"base.ini", base},
                        {"s.ini", "[service other]\nfloor = 1%\n"}}),
              "s.ini:2: overlay changes [service other], which the base file "
              "does not have");
    EXPECT_EQ(error_of({{"base.ini", "nonsense\n"}}),
              "base.ini:1: expected [section] or key = value");
}

TEST(config_errors, long_line_is_rejected_not_truncated)
{
    const std::string text = "[team " + std::string(500, 'x') + "]\nrate = 1\n";
    EXPECT_EQ(error_of({{"base.ini", text}}), "base.ini:1: line is too long");
}

TEST(config_overlay, applies_only_to_its_site)
{
    const std::vector<config_file> files = {
        {"base.ini", base}, {"kumamoto.ini", "[service billing]\nfloor = 80%"}};
    config_error error;
    const auto kumamoto = build_config(files, "kumamoto", 3, error);
    const auto fukuoka = build_config(files, "fukuoka", 3, error);
    ASSERT_TRUE(kumamoto && fukuoka);
    EXPECT_EQ(kumamoto->services[0].floor_value, 80);
    EXPECT_EQ(fukuoka->services[0].floor_value, 60);
    EXPECT_EQ(kumamoto->version, 3U);
}

TEST(config_route, longest_prefix_at_path_boundary_wins)
{
    const std::string text = std::string(base) +
                             "[route orders]\npath = /billing/orders\n"
                             "service = billing\n"
                             "[route hosted]\nhost = a.example\npath = /\n"
                             "service = billing\n";
    config_error error;
    const auto c = build_config({{"base.ini", text}}, "", 1, error);
    ASSERT_TRUE(c) << error.text();
    EXPECT_EQ(find_route(*c, "x", "/billing/orders/5")->name, "orders");
    EXPECT_EQ(find_route(*c, "x", "/billing/other")->name, "charge");
    EXPECT_EQ(find_route(*c, "x", "/billings"), nullptr);
    EXPECT_EQ(find_route(*c, "a.example", "/any")->name, "hosted");
}

TEST(config_chunks, edit_changes_one_chunk)
{
    std::string text;
    for (int n = 0; n < 20000; ++n)
        text += "[team team-" + std::to_string(n) + "]\nrate = 5\n";
    auto edited = text;
    edited.replace(edited.find("rate = 5", text.size() / 2), 8, "rate = 6");
    const auto before = split_chunks(text);
    const auto after = split_chunks(edited);
    std::string joined;
    std::size_t changed = 0;
    for (std::size_t n = 0; n < after.size(); ++n) {
        joined += after[n];
        changed += n >= before.size() || after[n] != before[n] ? 1 : 0;
    }
    EXPECT_EQ(joined, edited);
    EXPECT_GT(before.size(), 100U);
    EXPECT_EQ(changed, 1U);
}

// The store applies the write but its response is lost. The history row shows
// whose write it was.
TEST(config_submit, lost_response_is_resolved_by_history_row)
{
    auto p = std::make_shared<fake_store>();
    p->lost_write_responses = 1;
    const auto r = submit_config(make_fake_store(p), make_submission("one"));
    EXPECT_EQ(r.outcome, submit_outcome::accepted);
    EXPECT_EQ(r.head.version, 1U);
}

// The store becomes unavailable before the head is written.
TEST(config_submit, store_down_means_not_accepted)
{
    auto p = std::make_shared<fake_store>();
    p->down_after_writes = 2; // chunk and list
    const auto r = submit_config(make_fake_store(p), make_submission("one"));
    EXPECT_EQ(r.outcome, submit_outcome::not_accepted);
    EXPECT_EQ(p->table.count("config-head"), 0U);
}

// The store applies the write, loses its response and becomes unavailable. The
// result must be neither accepted nor not accepted.
TEST(config_submit, outage_after_write_is_undetermined)
{
    auto p = std::make_shared<fake_store>();
    p->lost_write_responses = 1;
    p->down_after_writes = 4; // chunk, list, manifest, head
    const auto r = submit_config(make_fake_store(p), make_submission("one"));
    EXPECT_EQ(r.outcome, submit_outcome::undetermined);
    EXPECT_NE(r.reason.find("one"), std::string::npos);
}

// Two submissions are based on version 1. The second one is refused and reports
// the winner and the differing files.
TEST(config_submit, lost_race_reports_winner_and_differing_files)
{
    auto p = std::make_shared<fake_store>();
    const auto api = make_fake_store(p);
    submit_config(api, make_submission("zero"));
    auto first =
        make_submission("first", std::string(base) + "[team a]\nrate = 1\n");
    auto second = make_submission("second");
    first.expected = second.expected = 1;
    EXPECT_EQ(submit_config(api, first).outcome, submit_outcome::accepted);
    const auto r = submit_config(api, second);
    EXPECT_EQ(r.outcome, submit_outcome::lost_race);
    EXPECT_EQ(r.head.author, "author-first");
    EXPECT_EQ(r.differing_files, std::vector<std::string>{"base.ini"});
}

TEST(config_submit, damaged_object_is_detected)
{
    auto p = std::make_shared<fake_store>();
    const auto api = make_fake_store(p);
    const auto r = submit_config(api, make_submission("one"));
    for (auto& [name, content] : p->objects) {
        if (name.rfind("chunk-", 0) == 0)
            content += "x";
    }
    std::string reason;
    store_error error{};
    const auto files = load_files(
        r.head.manifest,
        [&](const std::string& name) { return api.get_object(name, error); },
        reason);
    EXPECT_FALSE(files);
    EXPECT_NE(reason.find("damaged"), std::string::npos);
}

/// A file of this process alone: tests run in processes side by side.
std::string make_temp_name()
{
    return testing::TempDir() + "/settings-" + std::to_string(getpid()) +
           ".ini";
}

/// Reads a settings file with a single line in a section.
std::optional<node_settings> read_setting(const std::string& section,
                                          const std::string& line)
{
    const auto file = make_temp_name();
    std::ofstream(file) << "[" << section << "]\n" << line << "\n";
    config_error error;
    return read_settings(file, error);
}

TEST(settings, experiments_disable_mechanisms_and_scale_tunables)
{
    const auto off = read_setting("experiment", "off = last-resort, doubt");
    ASSERT_TRUE(off);
    EXPECT_FALSE(off->experiment.is_enabled(mechanism::fallback));
    EXPECT_FALSE(off->experiment.is_enabled(mechanism::failure_estimation));
    EXPECT_TRUE(off->experiment.is_enabled(mechanism::placement));
    const auto scaled = read_setting("experiment", "scale = least-wait:0.5");
    ASSERT_TRUE(scaled);
    ASSERT_EQ(scaled->experiment.scaled.size(), 1U);
    EXPECT_EQ(scaled->experiment.scaled[0].what, tunable::min_wait);
    EXPECT_EQ(scaled->experiment.scaled[0].factor, 0.5);
    EXPECT_FALSE(read_setting("experiment", "off = last_resort"));
    EXPECT_FALSE(read_setting("experiment", "scale = least-wait"));
    EXPECT_FALSE(read_setting("experiment", "scale = least-wait:0"));
    EXPECT_FALSE(read_setting("experiment", "scale = unknown:2"));
}

// Guards against a cost that makes other data centres attractive, or that no
// comparison holds for.
TEST(settings, byte_cost_outside_its_range_is_refused)
{
    const auto unset = read_setting("placement", "");
    ASSERT_TRUE(unset);
    EXPECT_FALSE(unset->placement.byte_cost);
    const auto set = read_setting("placement", "byte_cost = 0.07");
    ASSERT_TRUE(set);
    EXPECT_EQ(set->placement.byte_cost, 0.07);
    EXPECT_EQ(read_setting("placement", "byte_cost = 0")->placement.byte_cost,
              0.0);
    for (const std::string bad : {"-0.1", "10.1", "nan", "inf", "1 KB", ""})
        EXPECT_FALSE(read_setting("placement", "byte_cost = " + bad)) << bad;
    const auto file = make_temp_name();
    std::ofstream(file) << "[placement]\nbyte_cost = -1\n";
    config_error error;
    EXPECT_FALSE(read_settings(file, error));
    EXPECT_EQ(error.text(),
              file +
                  ":2: bad value '-1' for byte_cost: expected 0 to 10, share "
                  "of a request's value for each 1000 bytes");
}

TEST(settings, errors_include_file_and_line)
{
    const auto file = make_temp_name();
    std::ofstream(file) << "[node]\nname = a\nentry_port = 99999\n";
    config_error error;
    EXPECT_FALSE(read_settings(file, error));
    EXPECT_EQ(error.text(), file + ":3: bad value '99999' for entry_port: "
                                   "expected 0 to 65535, 0 for any");
}

} // namespace
} // namespace jasminetray
