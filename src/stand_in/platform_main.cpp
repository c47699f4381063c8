// jasminetray-platform: a stand-in for the platform's store; see
// store_state.hpp for its calls and faults.
#include "stand_in/store_state.hpp"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(ip, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 for any");
DEFINE_string(ready_file, "", "file that receives the bound port once serving");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for the platform's store; exit codes: 0 "
                            "stopped, 3 could not listen");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    namespace jt = jasminetray;
    jt::asio::io_context ctx(1);
    jt::store_state state;
    const auto port = jt::serve_stand_in(
        ctx, FLAGS_ip, static_cast<std::uint16_t>(FLAGS_port),
        [&](const auto& q, auto& r, auto&, const auto& y) {
            return jt::serve_store(state, q, r, ctx, y);
        });
    if (port == 0) {
        std::cerr << "cannot listen on " << FLAGS_ip << "\n";
        return 3;
    }
    jt::write_port_file(FLAGS_ready_file, port);
    jt::asio::signal_set signals(ctx, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { ctx.stop(); });
    ctx.run();
    return 0;
}
