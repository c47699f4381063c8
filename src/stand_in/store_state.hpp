// A stand-in for the platform's store: rows with versions out of one counter,
// transactions, ranges, a feed of changes, objects; and the store's faults.
// Everything is kept in memory. It speaks the platform's published protocol.
#pragma once

#include "stand_in/stand_in_server.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

namespace jasminetray {

/// What is wrong with the store at the moment.
struct store_fault
{
    bool down = false;        ///< closes each connection without an answer
    bool silent = false;      ///< takes calls and never answers
    bool busy = false;        ///< answers 503; nothing is done
    bool many = false;        ///< answers 429; nothing is done
    bool lose_answer = false; ///< does a write, then closes
    int slow_ms = 0;          ///< waits before each answer
};

/// A row. Invariant: version is that of the last transaction that wrote it.
struct stored_row
{
    std::uint64_t version = 0;
    std::string value; ///< as it came, in base64
};

/// One change, for the feed.
struct stored_change
{
    std::uint64_t version = 0;
    std::string table;
    std::string key;
};

/// The whole store.
struct store_state
{
    // Invariant: versions only rise; every write takes a new one.
    std::uint64_t version = 0;
    std::map<std::pair<std::string, std::string>, stored_row> rows;
    std::deque<stored_change> changes; ///< oldest first
    std::uint64_t forgotten = 0;       ///< version up to which none are kept
    std::size_t page = 500;            ///< rows of one answer
    std::unordered_map<std::string, std::string> objects;
    store_fault fault;
    std::int64_t reads = 0;
    std::int64_t writes = 0;
};

/// Writes a row from outside, as the platform's operator does.
/// @param value plain; it is encoded here
void put_operator_row(store_state& s, const std::string& table,
                      const std::string& key, const std::string& value);

/// Drops all history, as the store may do at any time.
void forget_history(store_state& s);

/// Serves one call of the protocol, or of the controls: POST /fault
/// {"mode": none|down|silent|busy|many|slow|lose_answer|forget, "ms": N},
/// POST /operator {"table", "key", "value"}, GET /stats.
stand_in_end serve_store(store_state& s, const stand_in_request& q,
                         stand_in_response& r, asio::io_context& ctx,
                         const asio::yield_context& y);

} // namespace jasminetray
