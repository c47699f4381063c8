// Configuration in the platform's store; see config_store.hpp.
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
constexpr std::uint64_t chunk_share = 64; // one section in 64 starts a chunk
constexpr std::uint64_t list_share = 64;  // one chunk in 64 starts a list
constexpr std::size_t max_chunk = 65536;  // bytes; cut at a line anyway

std::string history_key(std::uint64_t version)
{
    return "config-history-" + std::to_string(version);
}

std::string text_at(const json::object& o, const char* key)
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

std::uint64_t whole_at(const json::object& o, const char* key)
{
    const auto* v = o.if_contains(key);
    return v && v->is_int64() ? static_cast<std::uint64_t>(v->as_int64()) : 0;
}

/// Writes chunks and manifest; gives the manifest's hash.
std::optional<std::uint64_t> put_objects(const store_api& p,
                                         const std::vector<config_file>& files,
                                         store_error& last)
{
    config_manifest m;
    for (const auto& f : files) {
        std::vector<std::uint64_t> chunks;
        for (const auto& c : split_chunks(f.content)) {
            chunks.push_back(text_hash(c));
            if (!p.put_object(chunk_name(chunks.back()), c, last))
                return std::nullopt;
        }
        m.files.push_back({f.name, {}});
        for (const auto& l : split_lists(chunks)) {
            m.files.back().lists.push_back(text_hash(l));
            if (!p.put_object(list_name(text_hash(l)), l, last))
                return std::nullopt;
        }
    }
    const auto text = to_text(m);
    const auto hash = text_hash(text);
    if (!p.put_object(manifest_name(hash), text, last))
        return std::nullopt;
    return hash;
}

submit_result not_accepted(store_error e, const std::string& step)
{
    submit_result r;
    r.outcome = submit_outcome::not_accepted;
    r.reason = "store " + std::string(name_of(store_error_names, e)) +
               " while " + step + "; nothing is in force";
    return r;
}

std::vector<std::string> differing_files(const store_api& p,
                                         const config_head& winner,
                                         const std::vector<config_file>& ours)
{
    std::string why;
    store_error last{};
    const auto theirs = load_files(
        winner.manifest,
        [&](const std::string& name) { return p.get_object(name, last); }, why);
    std::vector<std::string> differ;
    if (!theirs)
        return differ;
    for (const auto& f : ours) {
        const bool same =
            std::any_of(theirs->begin(), theirs->end(), [&](const auto& t) {
                return t.name == f.name && t.content == f.content;
            });
        if (!same)
            differ.push_back(f.name);
    }
    return differ;
}

/// Whose write became a version, by its history row. The row is written in
/// the head's transaction and never changed, so it tells for certain.
submit_result settle(const store_api& p, const submission& s,
                     const config_head& ours, bool was_refused)
{
    for (int n = 0; n < s.max_resolve_attempts; ++n) {
        store_error last{};
        const auto row = read_history(p, ours.version, last);
        if (row && row->submission == s.id)
            return {submit_outcome::accepted, *row, "", {}};
        if (row) {
            return {submit_outcome::lost_race, *row,
                    "version " + std::to_string(row->version) +
                        " was submitted by " + row->author + " first",
                    differing_files(p, *row, s.files)};
        }
        // The row is absent and the write was refused, or it is absent and
        // the caller must try the same conditional write again.
        if (last == store_error::missing && was_refused)
            return not_accepted(store_error::conflict, "moving the head");
        if (last == store_error::missing) {
            submit_result r;
            r.outcome = submit_outcome::undetermined;
            r.reason = "again";
            return r;
        }
        if (s.wait_before_retry)
            s.wait_before_retry();
    }
    submit_result r;
    r.outcome = submit_outcome::undetermined;
    r.reason = "the store went out after the write was sent; ask `config "
               "history` for submission " +
               s.id + " when it is back";
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
            line.front() == '[' && text_hash(line) % chunk_share == 0;
        if (!chunk.empty() && (section || chunk.size() >= max_chunk)) {
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
        manifest_file entry{text_at(f.as_object(), "name"), {}};
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
    const auto hash = o ? parse_hex(text_at(*o, "manifest")) : std::nullopt;
    if (!hash)
        return std::nullopt;
    return config_head{whole_at(*o, "version"), *hash, text_at(*o, "author"),
                       text_at(*o, "submission"),
                       whole_at(*o, "rolled_back_to")};
}

std::vector<std::string> split_lists(const std::vector<std::uint64_t>& chunks)
{
    std::vector<std::string> lists(1);
    for (const auto hash : chunks) {
        if (hash % list_share == 0 && !lists.back().empty())
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

std::optional<config_head> read_head(const store_api& p, store_error& last)
{
    const auto row = p.read_row({config_table, head_key}, last);
    if (!row && last == store_error::missing) {
        last = store_error::none;
        return config_head{};
    }
    auto head = row ? parse_head(row->value) : std::nullopt;
    if (head)
        head->row = row->version;
    return head;
}

std::optional<config_head>
read_history(const store_api& p, std::uint64_t version, store_error& last)
{
    const auto row = p.read_row({config_table, history_key(version)}, last);
    return row ? parse_head(row->value) : std::nullopt;
}

submit_result submit_config(const store_api& p, const submission& s)
{
    config_error wrong;
    if (!check_files(s.files, wrong))
        return {submit_outcome::invalid, {}, wrong.text(), {}};
    store_error last{};
    const auto head = read_head(p, last);
    if (!head)
        return not_accepted(last, "reading the head");
    if (s.expected != 0 && head->version != s.expected) {
        return {submit_outcome::lost_race, *head,
                "based on version " + std::to_string(s.expected) +
                    ", but version " + std::to_string(head->version) + " by " +
                    head->author + " is in force",
                differing_files(p, *head, s.files)};
    }
    const auto manifest = put_objects(p, s.files, last);
    if (!manifest)
        return not_accepted(last, "storing the files");
    const config_head ours{head->version + 1, *manifest, s.author, s.id,
                           s.rolled_back_to,  0};
    const std::vector<row_write> writes = {
        {{config_table, head_key}, head->row, to_text(ours), false},
        {{config_table, history_key(ours.version)}, 0, to_text(ours), false}};
    for (int n = 0; n < s.max_resolve_attempts; ++n) {
        if (p.write_rows(writes, last))
            return {submit_outcome::accepted, ours, "", {}};
        if (last == store_error::unreachable && n == 0)
            return not_accepted(last, "moving the head");
        auto r = settle(p, s, ours, last == store_error::conflict);
        if (r.reason != "again")
            return r;
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

/// An object that must match the hash it is named by.
std::optional<std::string> load_object(const object_source& get,
                                       const std::string& name,
                                       std::uint64_t hash, std::string& why)
{
    auto text = get(name);
    if (text && text_hash(*text) == hash)
        return text;
    why = name + (text ? " is damaged" : " is missing");
    return std::nullopt;
}

/// Adds the chunks of a list to a file.
bool load_list(const object_source& get, std::uint64_t hash,
               std::string& content, std::string& why)
{
    const auto list = load_object(get, list_name(hash), hash, why);
    for (const auto& text : split(list.value_or(""), '\n')) {
        const auto chunk = parse_hex(text).value_or(0);
        const auto part = load_object(get, chunk_name(chunk), chunk, why);
        if (!part)
            return false;
        content += *part;
    }
    return list.has_value();
}

} // namespace

std::optional<std::vector<config_file>>
load_files(std::uint64_t hash, const object_source& get, std::string& why)
{
    const auto text = load_object(get, manifest_name(hash), hash, why);
    const auto m = text ? parse_manifest(*text) : std::nullopt;
    if (text && !m)
        why = manifest_name(hash) + " is malformed";
    if (!m)
        return std::nullopt;
    std::vector<config_file> files;
    for (const auto& f : m->files) {
        files.push_back({f.name, ""});
        for (const auto list : f.lists) {
            if (!load_list(get, list, files.back().content, why))
                return std::nullopt;
        }
    }
    return files;
}

} // namespace jasminetray
