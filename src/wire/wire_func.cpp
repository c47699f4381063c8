// Frame layout, MAC and Cap'n Proto conversion of gossip messages.
#include "wire/wire_func.hpp"

#include "member/member_query.hpp"
#include "wire/gossip.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cstring>
#include <kj/exception.h>
#include <kj/io.h>
#include <sodium.h>

namespace jasminetray {

namespace {

constexpr std::size_t mac_bytes = 16;
constexpr std::uint32_t frame_version = 0x4a540001; // "JT", layout 1
constexpr std::size_t cluster_offset = sizeof(frame_version);
constexpr std::size_t mac_offset = cluster_offset + sizeof(std::uint64_t);
constexpr std::size_t body_offset = mac_offset + mac_bytes;
constexpr std::uint64_t max_traversal_words = 16384;

using mac = std::array<unsigned char, mac_bytes>;

const unsigned char* as_bytes(const char* s)
{
    return reinterpret_cast<const unsigned char*>(s);
}

/// Computes the MAC over the cluster's id and the body.
mac compute_mac(std::string_view frame, const std::string& key)
{
    mac m{};
    std::array<unsigned char, crypto_generichash_KEYBYTES_MAX> hashed_key{};
    crypto_generichash(hashed_key.data(), hashed_key.size(),
                       as_bytes(key.data()), key.size(), nullptr, 0);
    crypto_generichash_state state;
    crypto_generichash_init(&state, hashed_key.data(), hashed_key.size(),
                            m.size());
    crypto_generichash_update(&state, as_bytes(frame.data()), mac_offset);
    crypto_generichash_update(&state, as_bytes(frame.data() + body_offset),
                              frame.size() - body_offset);
    crypto_generichash_final(&state, m.data(), m.size());
    return m;
}

void put_summary(wire::Summary::Builder b, const record_summary& s)
{
    b.setId(static_cast<std::uint64_t>(s.id));
    b.setGeneration(s.generation);
    b.setSequence(s.sequence);
}

record_summary get_summary(wire::Summary::Reader r)
{
    return {static_cast<node_id>(r.getId()), r.getGeneration(),
            r.getSequence()};
}

void put_address(wire::Address::Builder b, const node_address& a)
{
    b.setIp(a.ip);
    b.setGossipPort(a.gossip_port);
    b.setEntryPort(a.entry_port);
    b.setExitPort(a.exit_port);
    b.setRpcPort(a.rpc_port);
    b.setAdminPort(a.admin_port);
}

node_address get_address(wire::Address::Reader r)
{
    return {r.getIp(),       r.getGossipPort(), r.getEntryPort(),
            r.getExitPort(), r.getRpcPort(),    r.getAdminPort()};
}

void put_node(wire::Node::Builder b, const node_record& n)
{
    put_summary(b.initSummary(), summary_of(n));
    b.setBoot(static_cast<std::uint64_t>(n.boot));
    b.setName(n.name);
    b.setCentre(static_cast<std::uint32_t>(n.centre));
    b.setLeaving(n.leaving);
    put_address(b.initAddress(), n.address);
    auto workers = b.initWorkers(static_cast<unsigned>(n.workers.size()));
    for (unsigned k = 0; k < workers.size(); ++k) {
        const auto& w = n.workers[k];
        workers[k].setId(static_cast<std::uint64_t>(w.id));
        workers[k].setService(static_cast<std::uint64_t>(w.service));
        workers[k].setScope(static_cast<std::uint32_t>(w.scope));
        workers[k].setSlots(w.slots);
        workers[k].setSeverity(w.severity);
        workers[k].setDoubt(w.failure_probability);
        workers[k].setDraining(w.draining);
        workers[k].setWarmUpMs(w.warm_up_ms);
    }
    auto complaints =
        b.initComplaints(static_cast<unsigned>(n.avoided_peers.size()));
    for (unsigned k = 0; k < complaints.size(); ++k)
        complaints.set(k, static_cast<std::uint64_t>(n.avoided_peers[k]));
}

bool get_node(wire::Node::Reader r, node_record& n)
{
    if (r.getWorkers().size() > max_workers ||
        r.getComplaints().size() > max_avoided_peers)
        return false;
    const auto s = get_summary(r.getSummary());
    n.id = s.id;
    n.generation = s.generation;
    n.sequence = s.sequence;
    n.boot = static_cast<boot_id>(r.getBoot());
    n.name = std::string(r.getName());
    n.centre = static_cast<centre_id>(r.getCentre());
    n.leaving = r.getLeaving();
    n.address = get_address(r.getAddress());
    for (const auto w : r.getWorkers()) {
        n.workers.push_back({static_cast<worker_id>(w.getId()),
                             static_cast<service_id>(w.getService()),
                             w.getSlots(), w.getSeverity(), w.getDraining(),
                             w.getDoubt(), static_cast<centre_id>(w.getScope()),
                             w.getWarmUpMs()});
    }
    for (const auto c : r.getComplaints())
        n.avoided_peers.push_back(static_cast<node_id>(c));
    return true;
}

constexpr double load_scale = 100;
constexpr double max_load = 65535;

void put_load(wire::Load::Builder b, const load_report& l)
{
    b.setWorker(static_cast<std::uint64_t>(l.worker));
    b.setService(static_cast<std::uint64_t>(l.service));
    b.setHundredths(static_cast<std::uint16_t>(
        std::clamp(load_scale * l.load, 0.0, max_load)));
    b.setWorkMs(static_cast<std::uint32_t>(l.work / us_per_ms));
    b.setDoubt(static_cast<std::uint8_t>(l.failure_probability));
    b.setSuspect(l.suspect);
    b.setSpeed(static_cast<float>(l.speed.factor));
    b.setKnee(static_cast<std::uint16_t>(
        std::clamp<int>(l.speed.knee, 0, UINT16_MAX)));
    b.setSpeedAgeMs(static_cast<std::uint32_t>(
        std::clamp<span_us>(l.speed.age / us_per_ms, 0, UINT32_MAX)));
    b.setKind(l.speed.kind);
    b.setKindUs(static_cast<std::uint32_t>(
        std::clamp<double>(l.speed.kind_us, 0, UINT32_MAX)));
}

load_report get_load(wire::Load::Reader r)
{
    return {static_cast<worker_id>(r.getWorker()),
            static_cast<service_id>(r.getService()),
            r.getHundredths() / load_scale,
            static_cast<span_us>(r.getWorkMs()) * us_per_ms,
            r.getDoubt(),
            r.getSuspect(),
            {r.getSpeed(), r.getKnee(),
             static_cast<span_us>(r.getSpeedAgeMs()) * us_per_ms, r.getKind(),
             static_cast<double>(r.getKindUs())}};
}

constexpr std::size_t max_crash_reports = 64; // per message

void put_quarantine(wire::Message::Builder b, const quarantine_message& q)
{
    auto crashes = b.initCrashes(static_cast<unsigned>(q.reports.size()));
    for (unsigned k = 0; k < crashes.size(); ++k) {
        const auto& r = q.reports[k];
        crashes[k].setRequest(static_cast<std::uint64_t>(r.request));
        crashes[k].setProcess(static_cast<std::uint64_t>(r.process));
        crashes[k].setAgeMs(static_cast<std::uint32_t>(
            std::clamp<span_us>(r.age / us_per_ms, 0, UINT32_MAX)));
        crashes[k].setCleared(r.cleared);
    }
    auto digest = b.initCrashDigest(static_cast<unsigned>(q.digest.size()));
    for (unsigned k = 0; k < digest.size(); ++k)
        digest.set(k, q.digest[k]);
    b.setCrashReply(q.reply);
}

bool get_quarantine(wire::Message::Reader r, quarantine_message& q)
{
    if (r.getCrashes().size() > max_crash_reports ||
        (r.getCrashDigest().size() != 0 &&
         r.getCrashDigest().size() != quarantine_buckets))
        return false;
    for (const auto x : r.getCrashes())
        q.reports.push_back({static_cast<fingerprint>(x.getRequest()),
                             static_cast<process_id>(x.getProcess()),
                             static_cast<span_us>(x.getAgeMs()) * us_per_ms,
                             x.getCleared()});
    for (const auto h : r.getCrashDigest())
        q.digest.push_back(h);
    q.reply = r.getCrashReply();
    return true;
}

void put_lists(wire::Message::Builder b, const gossip_message& m)
{
    auto records = b.initRecords(static_cast<unsigned>(m.records.size()));
    for (unsigned k = 0; k < records.size(); ++k)
        put_node(records[k], m.records[k]);
    auto rumours = b.initRumours(static_cast<unsigned>(m.rumours.size()));
    for (unsigned k = 0; k < rumours.size(); ++k) {
        const auto& r = m.rumours[k];
        put_summary(rumours[k].initAbout(),
                    {r.about, r.generation, r.sequence});
        rumours[k].setState(static_cast<std::uint8_t>(r.state));
    }
    auto digest = b.initDigest(static_cast<unsigned>(m.digest.size()));
    for (unsigned k = 0; k < digest.size(); ++k)
        digest.set(k, m.digest[k]);
    auto sums = b.initSummaries(static_cast<unsigned>(m.summaries.size()));
    for (unsigned k = 0; k < sums.size(); ++k)
        put_summary(sums[k], m.summaries[k]);
    auto want = b.initWant(static_cast<unsigned>(m.requested_records.size()));
    for (unsigned k = 0; k < want.size(); ++k)
        want.set(k, static_cast<std::uint64_t>(m.requested_records[k]));
    auto loads = b.initLoads(static_cast<unsigned>(m.loads.size()));
    for (unsigned k = 0; k < loads.size(); ++k)
        put_load(loads[k], m.loads[k]);
    auto reports =
        b.initReports(static_cast<unsigned>(m.baseline.reports.size()));
    for (unsigned k = 0; k < reports.size(); ++k) {
        reports[k].setSeen(m.baseline.reports[k].seen);
        reports[k].setFailed(m.baseline.reports[k].failed);
        reports[k].setAbove(m.baseline.reports[k].above);
        reports[k].setBurstUs(m.baseline.reports[k].burst_us);
        reports[k].setSourceShare(m.baseline.reports[k].source_share);
    }
}

bool get_lists(wire::Message::Reader r, gossip_message& m)
{
    for (const auto n : r.getRecords()) {
        m.records.emplace_back();
        if (!get_node(n, m.records.back()))
            return false;
    }
    for (const auto x : r.getRumours()) {
        const auto s = get_summary(x.getAbout());
        if (x.getState() >= liveness_names.size())
            return false;
        m.rumours.push_back({s.id, s.generation, s.sequence,
                             static_cast<liveness>(x.getState())});
    }
    for (const auto h : r.getDigest())
        m.digest.push_back(h);
    for (const auto s : r.getSummaries())
        m.summaries.push_back(get_summary(s));
    for (const auto id : r.getWant())
        m.requested_records.push_back(static_cast<node_id>(id));
    for (const auto x : r.getLoads())
        m.loads.push_back(get_load(x));
    for (const auto x : r.getReports())
        m.baseline.reports.push_back({x.getSeen(), x.getFailed(), x.getAbove(),
                                      x.getBurstUs(), x.getSourceShare()});
    return get_quarantine(r, m.quarantine);
}

bool get_message(wire::Message::Reader r, gossip_message& m)
{
    if (r.getKind() >= gossip_kinds)
        return false;
    m.kind = static_cast<gossip_kind>(r.getKind());
    m.sender = get_summary(r.getSender());
    m.centre = static_cast<centre_id>(r.getCentre());
    m.config_version = r.getConfigVersion();
    m.config_hash = r.getConfigHash();
    m.reads_store = r.getReadsStore();
    m.config_era = r.getConfigEra();
    m.proof = {r.getProvenVersion(), r.getProvenAt(), m.config_era};
    m.store_time = r.getStoreTime();
    m.probe = r.getProbe();
    m.target = static_cast<node_id>(r.getTarget());
    m.target_address = get_address(r.getTargetAddress());
    m.buckets = r.getBuckets();
    m.baseline.correlation_id = r.getTicket();
    m.baseline.service = static_cast<service_id>(r.getService());
    m.baseline.lookback = r.getBack();
    m.baseline.centre = static_cast<centre_id>(r.getAbout());
    return get_lists(r, m);
}

wire_error verify_frame(std::string_view bytes, const cluster_keys& keys)
{
    std::uint32_t version = 0;
    std::uint64_t cluster = 0;
    if (bytes.size() < body_offset || bytes.size() > max_datagram)
        return wire_error::too_short;
    std::memcpy(&version, bytes.data(), sizeof(version));
    std::memcpy(&cluster, bytes.data() + cluster_offset, sizeof(cluster));
    if (version != frame_version)
        return wire_error::other_version;
    if (cluster != keys.cluster)
        return wire_error::other_cluster;
    for (const auto& key : keys.keys) {
        const auto m = compute_mac(bytes, key);
        if (sodium_memcmp(m.data(), bytes.data() + mac_offset, m.size()) == 0)
            return wire_error::none;
    }
    return wire_error::bad_mac;
}

} // namespace

std::string encode_message(const gossip_message& m, const cluster_keys& keys)
{
    capnp::MallocMessageBuilder builder;
    auto b = builder.initRoot<wire::Message>();
    b.setKind(static_cast<std::uint8_t>(m.kind));
    put_summary(b.initSender(), m.sender);
    b.setCentre(static_cast<std::uint32_t>(m.centre));
    b.setConfigVersion(m.config_version);
    b.setConfigHash(m.config_hash);
    b.setConfigEra(m.config_era);
    b.setReadsStore(m.reads_store);
    b.setProvenVersion(m.proof.version);
    b.setProvenAt(m.proof.at);
    b.setStoreTime(m.store_time);
    b.setProbe(m.probe);
    b.setTarget(static_cast<std::uint64_t>(m.target));
    if (m.kind == gossip_kind::indirect_ping)
        put_address(b.initTargetAddress(), m.target_address);
    b.setBuckets(m.buckets);
    b.setTicket(m.baseline.correlation_id);
    b.setService(static_cast<std::uint64_t>(m.baseline.service));
    b.setBack(m.baseline.lookback);
    b.setAbout(static_cast<std::uint32_t>(m.baseline.centre));
    put_lists(b, m);
    put_quarantine(b, m.quarantine);
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    const auto body = stream.getArray();
    std::string frame(body_offset, '\0');
    std::memcpy(frame.data(), &frame_version, sizeof(frame_version));
    std::memcpy(frame.data() + cluster_offset, &keys.cluster,
                sizeof(keys.cluster));
    frame.append(reinterpret_cast<const char*>(body.begin()), body.size());
    const auto tag = compute_mac(frame, keys.keys.front());
    std::memcpy(frame.data() + mac_offset, tag.data(), tag.size());
    return frame;
}

std::optional<gossip_message> decode_message(std::string_view bytes,
                                             const cluster_keys& keys,
                                             wire_error& error)
{
    error = verify_frame(bytes, keys);
    if (error != wire_error::none)
        return std::nullopt;
    gossip_message m;
    bool in_bounds = false;
    // Cap'n Proto throws on malformed input.
    const auto failed = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream stream(kj::arrayPtr(
            as_bytes(bytes.data() + body_offset), bytes.size() - body_offset));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = max_traversal_words;
        capnp::PackedMessageReader reader(stream, options);
        in_bounds = get_message(reader.getRoot<wire::Message>(), m);
    });
    if (failed != nullptr)
        error = wire_error::malformed;
    else if (!in_bounds)
        error = wire_error::out_of_bounds;
    if (error != wire_error::none)
        return std::nullopt;
    return m;
}

} // namespace jasminetray
