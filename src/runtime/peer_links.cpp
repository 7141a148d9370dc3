#include "runtime/peer_links.hpp"

#include "runtime/accept_loop.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <map>
#include <optional>
#include <system_error>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace papayahook::runtime {

namespace {

using server = websocketpp::server<websocketpp::config::asio>;
using client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

constexpr long open_timeout_ms = 1'500;
constexpr std::size_t frame_overhead_bytes = 8;
// Of a connection that has not yet shown to be a node's, which anybody may
// open: its requests have no body, and its first message is short.
constexpr std::size_t max_handshake_body = 1024;
constexpr std::size_t max_first_message = 64UL * 1024;

} // namespace

struct peer_links::impl
{
    server incoming;
    client outgoing;
    link_handlers handlers;
    link_id next_id = 1;
    std::map<link_id, connection_hdl> server_side;
    std::map<link_id, connection_hdl> client_side;
    std::size_t max_incoming = 0;
    std::size_t max_message_bytes = 0;
    std::vector<connection_hdl> accepted; // also before they are links
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    bool stopped = false;
    // websocketpp's own loop repeats a failed accept without a pause.
    std::optional<accept_loop> acceptor;

    template <class Endpoint>
    void prepare(Endpoint& it, asio::io_context& io, std::size_t max_bytes)
    {
        it.clear_access_channels(websocketpp::log::alevel::all);
        it.clear_error_channels(websocketpp::log::elevel::all);
        it.init_asio(&io);
        it.set_open_handshake_timeout(open_timeout_ms);
        it.set_max_message_size(max_bytes);
        it.set_tcp_post_init_handler([&it](connection_hdl const& hdl) {
            websocketpp::lib::error_code ec;
            auto const con = it.get_con_from_hdl(hdl, ec);
            asio::error_code ignored;
            if (!ec)
                con->get_raw_socket().set_option(asio::ip::tcp::no_delay(true),
                                                 ignored);
        });
    }

    template <class Connection>
    void attach(Connection const& con, link_id id)
    {
        con->set_message_handler(
            [this, id](connection_hdl const&, auto const& msg) {
                received += msg->get_payload().size() + frame_overhead_bytes;
                if (!stopped)
                    handlers.on_message(id, msg->get_payload());
            });
        con->set_close_handler(
            [this, id](connection_hdl const&) { closed(id, "closed"); });
        con->set_fail_handler([this, id, con](connection_hdl const&) {
            closed(id, con->get_ec().message());
        });
    }

    void start_link(asio::ip::tcp::socket socket)
    {
        accepted.erase(
            std::remove_if(accepted.begin(), accepted.end(),
                           [](auto const& it) { return it.expired(); }),
            accepted.end());
        if (accepted.size() >= max_incoming)
            return; // the socket is closed
        auto const con = incoming.get_connection();
        if (!con)
            return;
        accepted.push_back(con->get_handle());
        con->get_raw_socket() = std::move(socket);
        con->start();
    }

    void closed(link_id id, std::string const& reason)
    {
        server_side.erase(id);
        client_side.erase(id);
        if (!stopped)
            handlers.on_close(id, reason);
    }
};

peer_links::peer_links(asio::io_context& io, std::string const& address,
                       std::uint16_t port, std::size_t max_message_bytes,
                       std::size_t max_incoming, link_handlers handlers)
    : impl_(std::make_shared<impl>())
{
    auto& it = *impl_;
    it.handlers = std::move(handlers);
    it.max_incoming = max_incoming;
    it.max_message_bytes = max_message_bytes;
    it.prepare(it.incoming, io, std::min(max_message_bytes, max_first_message));
    it.incoming.set_max_http_body_size(max_handshake_body);
    it.prepare(it.outgoing, io, max_message_bytes);
    // websocketpp copies the handlers into a connection when it creates it. The
    // validate handler is the first to receive the connection, so it sets the
    // handlers of this link.
    it.incoming.set_validate_handler([&it](connection_hdl const& hdl) {
        auto const con = it.incoming.get_con_from_hdl(hdl);
        auto const id = it.next_id++;
        it.attach(con, id);
        con->set_open_handler([&it, id](connection_hdl const& open) {
            it.server_side[id] = open;
            if (!it.stopped)
                it.handlers.on_open(id, false);
        });
        return true;
    });
    it.acceptor.emplace(
        io, asio::ip::tcp::endpoint(asio::ip::make_address(address), port),
        [&it](asio::ip::tcp::socket socket) {
            it.start_link(std::move(socket));
        });
}

peer_links::~peer_links()
{
    impl_->stopped = true;
    impl_->acceptor.reset();
}

link_id peer_links::connect(std::string const& address)
{
    auto& it = *impl_;
    websocketpp::lib::error_code ec;
    auto const con = it.outgoing.get_connection("ws://" + address + "/", ec);
    auto const id = it.next_id++;
    if (ec) {
        asio::post(
            it.outgoing.get_io_service(),
            [self = impl_, id, why = ec.message()] { self->closed(id, why); });
        return id;
    }
    it.attach(con, id);
    con->set_open_handler([&it, id](connection_hdl const& open) {
        it.client_side[id] = open;
        if (!it.stopped)
            it.handlers.on_open(id, true);
    });
    it.outgoing.connect(con);
    return id;
}

void peer_links::accept_messages(link_id link)
{
    auto& it = *impl_;
    auto const found = it.server_side.find(link);
    if (found == it.server_side.end())
        return;
    websocketpp::lib::error_code ec; // it may be closed
    auto const con = it.incoming.get_con_from_hdl(found->second, ec);
    if (con)
        con->set_max_message_size(it.max_message_bytes);
}

void peer_links::send(link_id link, std::string const& message)
{
    constexpr auto binary = websocketpp::frame::opcode::binary;
    websocketpp::lib::error_code ec;
    auto& it = *impl_;
    if (auto n = it.server_side.find(link); n != it.server_side.end())
        it.incoming.send(n->second, message, binary, ec);
    else if (auto m = it.client_side.find(link); m != it.client_side.end())
        it.outgoing.send(m->second, message, binary, ec);
    else
        return;
    it.sent += message.size() + frame_overhead_bytes;
}

void peer_links::close(link_id link)
{
    constexpr auto going_away = websocketpp::close::status::going_away;
    websocketpp::lib::error_code ec;
    auto& it = *impl_;
    if (auto n = it.server_side.find(link); n != it.server_side.end())
        it.incoming.close(n->second, going_away, "", ec);
    else if (auto m = it.client_side.find(link); m != it.client_side.end())
        it.outgoing.close(m->second, going_away, "", ec);
}

std::size_t peer_links::open_connections() const
{
    return impl_->server_side.size() + impl_->client_side.size();
}

std::uint64_t peer_links::bytes_sent() const
{
    return impl_->sent;
}

std::uint64_t peer_links::bytes_received() const
{
    return impl_->received;
}

} // namespace papayahook::runtime
