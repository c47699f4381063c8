// Body of an HTTP message that takes memory only for bytes that have arrived.
#pragma once

#include "base/memory_reserve.hpp"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <string>

namespace jasminetray {

/// A string body. http::string_body reserves the length that the head names
/// before a byte of the body has arrived; a peer may name any length.
struct arriving_body : boost::beast::http::string_body
{
    /// Grows the string as bytes arrive. Memory that can't be had is an error
    /// of the read, not an exception in the I/O loop.
    class reader
    {
    public:
        template <bool is_request, typename Fields>
        explicit reader(boost::beast::http::header<is_request, Fields>&,
                        value_type& body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& length,
                  boost::beast::error_code& ec)
        {
            named_ = length.value_or(0);
            ec = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& ec)
        {
            const auto n = boost::beast::buffer_bytes(buffers);
            const no_memory_reserve scope;
            try {
                grow(body_.size() + n);
                for (const auto b : boost::beast::buffers_range_ref(buffers))
                    body_.append(static_cast<const char*>(b.data()), b.size());
            } catch (const std::exception&) { // bad_alloc or length_error
                ec = make_error_code(
                    boost::system::errc::errc_t::not_enough_memory);
                return 0;
            }
            ec = {};
            return n;
        }

        void finish(boost::beast::error_code& ec)
        {
            ec = {};
        }

    private:
        /// Doubles the capacity, but not beyond the named length.
        void grow(std::size_t needed)
        {
            if (needed <= body_.capacity())
                return;
            std::uint64_t to = std::max<std::uint64_t>(
                needed, 2 * std::uint64_t{body_.capacity()});
            if (named_ >= needed)
                to = std::min(to, named_);
            body_.reserve(static_cast<std::size_t>(to));
        }

        value_type& body_;
        std::uint64_t named_ = 0; ///< length in the head; 0 for none
    };
};

} // namespace jasminetray
