#include "support/raw_runners.hpp"

#include "platform/wire.hpp"

#include <asio/write.hpp>
#include <nlohmann/json.hpp>

namespace papayahook::support {

namespace {

using asio::ip::tcp;
namespace wire = platform::wire;

constexpr std::string_view close_mark = "<close>";

std::string id_in(std::string const& head)
{
    auto const name = std::string(wire::request_id) + ": ";
    auto const at = head.find(name);
    if (at == head.npos)
        return {};
    auto const from = at + name.size();
    return head.substr(from, head.find('\r', from) - from);
}

std::string fill_in(std::string text, std::string const& id)
{
    constexpr std::string_view placeholder = "{id}";
    for (auto at = text.find(placeholder); at != text.npos;
         at = text.find(placeholder, at + id.size()))
        text.replace(at, placeholder.size(), id);
    return text;
}

} // namespace

struct raw_runners::listener
{
    tcp::acceptor acceptor;
};

struct raw_runners::connection
{
    tcp::socket socket;
    std::array<char, 4096> buf{};
    std::string received;
    std::string answer;
};

raw_runners::raw_runners(platform_fake& platform, std::string const& service,
                         std::vector<std::string> const& names,
                         std::vector<std::string> answers,
                         core::endpoint_kind kind)
    : answers_(std::move(answers)), work_(io_.get_executor())
{
    for (auto const& name : names) {
        auto const it = std::make_shared<listener>(listener{tcp::acceptor(
            io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))});
        auto const port = it->acceptor.local_endpoint().port();
        accept(it);
        nlohmann::json entry{{"service", service},
                             {"address", "127.0.0.1:" + std::to_string(port)},
                             {"zone", "zone-a"},
                             {"slots", 16},
                             {"state", "ready"},
                             {"born", 1}};
        if (kind == core::endpoint_kind::model_runner)
            entry["models"] = nlohmann::json::array();
        platform.put(wire::endpoint_topic, name, entry.dump());
    }
    thread_ = std::thread([this] { io_.run(); });
}

raw_runners::~raw_runners()
{
    io_.stop();
    thread_.join();
}

int raw_runners::requests()
{
    std::scoped_lock const lock(mutex_);
    return static_cast<int>(requests_);
}

void raw_runners::accept(std::shared_ptr<listener> const& it)
{
    it->acceptor.async_accept([this, it](auto ec, tcp::socket socket) {
        if (ec)
            return;
        read(std::make_shared<connection>(connection{std::move(socket)}));
        accept(it);
    });
}

void raw_runners::read(std::shared_ptr<connection> const& it)
{
    it->socket.async_read_some(
        asio::buffer(it->buf), [this, it](auto ec, std::size_t n) {
            if (ec)
                return;
            it->received.append(it->buf.data(), n);
            if (it->received.find("\r\n\r\n") == it->received.npos) {
                read(it);
                return;
            }
            auto const id = id_in(std::exchange(it->received, {}));
            {
                std::scoped_lock const lock(mutex_);
                auto const at = requests_++;
                if (at >= answers_.size())
                    return; // silent
                it->answer = fill_in(answers_[at], id);
            }
            bool const closes = it->answer.ends_with(close_mark);
            if (closes)
                it->answer.resize(it->answer.size() - close_mark.size());
            asio::async_write(it->socket, asio::buffer(it->answer),
                              [this, it, closes](auto ec, auto) {
                                  if (closes || ec)
                                      it->socket.close();
                                  else
                                      read(it);
                              });
        });
}

} // namespace papayahook::support
