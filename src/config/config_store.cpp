// Configuration in the platform's store.
#include "config/config_store.hpp"

#include "base/text_func.hpp"
#include "config/config_check.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace jasminetray {

namespace {

namespace json = boost::json;

constexpr char config_table[] = "jasminetray-config";
constexpr char head_key[] = "config-head";
constexpr std::uint64_t chunk_divisor = 64;   // every 64th section on average
constexpr std::uint64_t list_divisor = 64;    // every 64th chunk on average
constexpr std::size_t max_chunk_size = 65536; // split at the next line

std::string history_key(std::uint64_t version)
{
    return "config-history-" + std::to_string(version);
}

std::string get_string(const json::object& o, const char* key)
{
    const auto* v = o.if_contains(key);
    return v && v->is_string() ? std::string(v->as_string()) : std::string();
}

std::optional<json::object> parse_object(const std::string& text)
{
    json::error_code ec;
    auto v = json::parse(text, ec);
    if (ec || !v.is_object())
        return std::nullopt;
    return v.as_object();
}

std::uint64_t get_integer(const json::object& o, const char* key)
{
    const auto* v = o.if_contains(key);
    return v && v->is_int64() ? static_cast<std::uint64_t>(v->as_int64()) : 0;
}

/// Writes chunks, lists and manifest. Returns the hash of the manifest.
std::optional<std::uint64_t> put_objects(const store_api& p,
                                         const std::vector<config_file>& files,
                                         store_error& error)
{
    config_manifest m;
    for (const auto& f : files) {
        std::vector<std::uint64_t> chunks;
        for (const auto& c : split_chunks(f.content)) {
            chunks.push_back(text_hash(c));
            if (!p.put_object(chunk_name(chunks.back()), c, error))
                return std::nullopt;
        }
        m.files.push_back({f.name, {}});
        for (const auto& l : split_lists(chunks)) {
            m.files.back().lists.push_back(text_hash(l));
            if (!p.put_object(list_name(text_hash(l)), l, error))
                return std::nullopt;
        }
    }
    const auto text = to_text(m);
    const auto hash = text_hash(text);
    if (!p.put_object(manifest_name(hash), text, error))
        return std::nullopt;
    return hash;
}

submit_result make_not_accepted(store_error e, const std::string& step)
{
    submit_result r;
    r.outcome = submit_outcome::not_accepted;
    r.reason = "store " + std::string(name_of(store_error_names, e)) +
               " while " + step + "; the configuration in force is unchanged";
    return r;
}

std::vector<std::string>
find_differing_files(const store_api& p, const config_head& winner,
                     const std::vector<config_file>& ours)
{
    std::string reason;
    store_error error{};
    const auto theirs = load_files(
        winner.manifest,
        [&](const std::string& name) { return p.get_object(name, error); },
        reason);
    std::vector<std::string> differing;
    if (!theirs)
        return differing;
    for (const auto& f : ours) {
        const bool same =
            std::any_of(theirs->begin(), theirs->end(), [&](const auto& t) {
                return t.name == f.name && t.content == f.content;
            });
        if (!same)
            differing.push_back(f.name);
    }
    return differing;
}

/// Reads the history row to find out whose write created the version. The row
/// is written in the head's transaction and never changes.
/// @return nothing if the same conditional write must be repeated
std::optional<submit_result> resolve_submission(const store_api& p,
                                                const submission& s,
                                                const config_head& ours,
                                                bool had_conflict)
{
    for (int n = 0; n < s.max_resolve_attempts; ++n) {
        store_error error{};
        const auto row = read_history(p, ours.version, error);
        if (row && row->submission == s.id)
            return submit_result{submit_outcome::accepted, *row, "", {}};
        if (row) {
            return submit_result{submit_outcome::lost_race, *row,
                                 "version " + std::to_string(row->version) +
                                     " was submitted by " + row->author +
                                     " first",
                                 find_differing_files(p, *row, s.files)};
        }
        if (error == store_error::missing && had_conflict)
            return make_not_accepted(store_error::conflict, "moving the head");
        if (error == store_error::missing)
            return std::nullopt;
        if (s.wait_before_retry)
            s.wait_before_retry();
    }
    submit_result r;
    r.outcome = submit_outcome::undetermined;
    r.reason = "the store stopped responding after the write was sent; check "
               "`config history` for submission " +
               s.id + " when it responds again";
    return r;
}

} // namespace

std::vector<std::string> split_chunks(const std::string& text)
{
    std::vector<std::string> chunks;
    std::string chunk;
    std::size_t at = 0;
    while (at < text.size()) {
        const auto end = std::min(text.find('\n', at), text.size() - 1) + 1;
        const auto line = std::string_view(text).substr(at, end - at);
        const bool section =
            line.front() == '[' && text_hash(line) % chunk_divisor == 0;
        if (!chunk.empty() && (section || chunk.size() >= max_chunk_size)) {
            chunks.push_back(std::move(chunk));
            chunk.clear();
        }
        chunk += line;
        at = end;
    }
    if (!chunk.empty() || chunks.empty())
        chunks.push_back(std::move(chunk));
    return chunks;
}

std::string to_text(const config_manifest& m)
{
    json::array files;
    for (const auto& f : m.files) {
        json::array lists;
        for (const auto hash : f.lists)
            lists.push_back(json::string(to_hex(hash)));
        files.push_back(json::object{{"name", f.name}, {"lists", lists}});
    }
    return json::serialize(json::object{{"files", files}});
}

std::optional<config_manifest> parse_manifest(const std::string& text)
{
    const auto o = parse_object(text);
    const auto* files = o ? o->if_contains("files") : nullptr;
    if (!files || !files->is_array())
        return std::nullopt;
    config_manifest m;
    for (const auto& f : files->as_array()) {
        if (!f.is_object() || !f.as_object().contains("lists"))
            return std::nullopt;
        manifest_file entry{get_string(f.as_object(), "name"), {}};
        const auto* lists = f.at("lists").if_array();
        for (const auto& c : lists ? *lists : json::array()) {
            const auto hash =
                c.is_string() ? parse_hex(c.as_string()) : std::nullopt;
            if (!hash)
                return std::nullopt;
            entry.lists.push_back(*hash);
        }
        m.files.push_back(std::move(entry));
    }
    return m;
}

std::string to_text(const config_head& h)
{
    return json::serialize(json::object{
        {"version", static_cast<std::int64_t>(h.version)},
        {"manifest", to_hex(h.manifest)},
        {"author", h.author},
        {"submission", h.submission},
        {"rolled_back_to", static_cast<std::int64_t>(h.rolled_back_to)}});
}

std::optional<config_head> parse_head(const std::string& text)
{
    const auto o = parse_object(text);
    const auto hash = o ? parse_hex(get_string(*o, "manifest")) : std::nullopt;
    if (!hash)
        return std::nullopt;
    return config_head{get_integer(*o, "version"), *hash,
                       get_string(*o, "author"), get_string(*o, "submission"),
                       get_integer(*o, "rolled_back_to")};
}

std::vector<std::string> split_lists(const std::vector<std::uint64_t>& chunks)
{
    std::vector<std::string> lists(1);
    for (const auto hash : chunks) {
        if (hash % list_divisor == 0 && !lists.back().empty())
            lists.emplace_back();
        lists.back() += to_hex(hash) + "\n";
    }
    return lists;
}

std::string list_name(std::uint64_t hash)
{
    return "list-" + to_hex(hash);
}

std::string chunk_name(std::uint64_t hash)
{
    return "chunk-" + to_hex(hash);
}

std::string manifest_name(std::uint64_t hash)
{
    return "manifest-" + to_hex(hash);
}

std::optional<config_head> read_head(const store_api& p, store_error& error)
{
    const auto row = p.read_row({config_table, head_key}, error);
    if (!row && error == store_error::missing) {
        error = store_error::none;
        return config_head{};
    }
    auto head = row ? parse_head(row->value) : std::nullopt;
    if (head)
        head->row_version = row->version;
    return head;
}

std::optional<config_head>
read_history(const store_api& p, std::uint64_t version, store_error& error)
{
    const auto row = p.read_row({config_table, history_key(version)}, error);
    return row ? parse_head(row->value) : std::nullopt;
}

submit_result submit_config(const store_api& p, const submission& s)
{
    config_error invalid;
    if (!check_files(s.files, invalid))
        return {submit_outcome::invalid, {}, invalid.text(), {}};
    store_error error{};
    const auto head = read_head(p, error);
    if (!head)
        return make_not_accepted(error, "reading the head");
    if (s.expected != 0 && head->version != s.expected) {
        return {submit_outcome::lost_race, *head,
                "based on version " + std::to_string(s.expected) +
                    ", but version " + std::to_string(head->version) + " by " +
                    head->author + " is in force",
                find_differing_files(p, *head, s.files)};
    }
    const auto manifest = put_objects(p, s.files, error);
    if (!manifest)
        return make_not_accepted(error, "storing the files");
    const config_head ours{head->version + 1, *manifest, s.author, s.id,
                           s.rolled_back_to,  0};
    const std::vector<row_write> writes = {
        {{config_table, head_key}, head->row_version, to_text(ours), false},
        {{config_table, history_key(ours.version)}, 0, to_text(ours), false}};
    for (int n = 0; n < s.max_resolve_attempts; ++n) {
        if (p.write_rows(writes, error))
            return {submit_outcome::accepted, ours, "", {}};
        if (error == store_error::unreachable && n == 0)
            return make_not_accepted(error, "moving the head");
        auto r = resolve_submission(p, s, ours, error == store_error::conflict);
        if (r)
            return *r;
    }
    submit_result r;
    r.outcome = submit_outcome::undetermined;
    r.reason = "the store answered none of " +
               std::to_string(s.max_resolve_attempts) + " writes";
    return r;
}

namespace {

using object_source =
    std::function<std::optional<std::string>(const std::string&)>;

/// Returns an object after verifying its hash.
std::optional<std::string> load_object(const object_source& get,
                                       const std::string& name,
                                       std::uint64_t hash, std::string& reason)
{
    auto text = get(name);
    if (text && text_hash(*text) == hash)
        return text;
    reason = name + (text ? " is damaged" : " is missing");
    return std::nullopt;
}

/// Appends the chunks of a list to `content`.
bool load_list(const object_source& get, std::uint64_t hash,
               std::string& content, std::string& reason)
{
    const auto list = load_object(get, list_name(hash), hash, reason);
    for (const auto& text : split(list.value_or(""), '\n')) {
        const auto chunk = parse_hex(text).value_or(0);
        const auto part = load_object(get, chunk_name(chunk), chunk, reason);
        if (!part)
            return false;
        content += *part;
    }
    return list.has_value();
}

} // namespace

std::optional<std::vector<config_file>>
load_files(std::uint64_t hash, const object_source& get, std::string& reason)
{
    const auto text = load_object(get, manifest_name(hash), hash, reason);
    const auto m = text ? parse_manifest(*text) : std::nullopt;
    if (text && !m)
        reason = manifest_name(hash) + " is malformed";
    if (!m)
        return std::nullopt;
    std::vector<config_file> files;
    for (const auto& f : m->files) {
        files.push_back({f.name, ""});
        for (const auto list : f.lists) {
            if (!load_list(get, list, files.back().content, reason))
                return std::nullopt;
        }
    }
    return files;
}

} // namespace jasminetray
