// Request fingerprints with SipHash.
#include "quarantine/fingerprint_func.hpp"

#include "base/text_func.hpp"

#include <sodium.h>

namespace jasminetray {

namespace {

static_assert(std::tuple_size_v<fingerprint_key> == crypto_shorthash_KEYBYTES);
static_assert(sizeof(fingerprint) == crypto_shorthash_BYTES);

const unsigned char* bytes_of(const char* s)
{
    return reinterpret_cast<const unsigned char*>(s);
}

std::uint64_t keyed_hash(std::string_view s, const fingerprint_key& key)
{
    std::uint64_t hash = 0;
    crypto_shorthash(reinterpret_cast<unsigned char*>(&hash),
                     bytes_of(s.data()), s.size(), key.data());
    return hash;
}

/// Appends a length-prefixed part, so that the encoding is unambiguous.
void append(std::string& out, std::string_view part)
{
    out += std::to_string(part.size());
    out += ':';
    out += part;
}

} // namespace

fingerprint_key make_fingerprint_key(const std::string& cluster_key)
{
    constexpr std::string_view purpose = "request fingerprint";
    fingerprint_key key{};
    crypto_generichash(key.data(), key.size(), bytes_of(cluster_key.data()),
                       cluster_key.size(), bytes_of(purpose.data()),
                       purpose.size());
    return key;
}

fingerprint fingerprint_of(const request_content& r, const fingerprint_key& key)
{
    std::string head;
    append(head, r.team);
    append(head, r.method);
    append(head, r.host);
    append(head, r.target);
    append(head, to_hex(keyed_hash(r.body, key)));
    return static_cast<fingerprint>(keyed_hash(head, key));
}

std::string to_text(fingerprint f)
{
    return to_hex(static_cast<std::uint64_t>(f));
}

} // namespace jasminetray
