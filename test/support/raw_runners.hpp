// Runners of a fake platform that send arbitrary bytes as answers.
#pragma once

#include "papayahook/papayahook.hpp"
#include "support/platform_fake.hpp"

#include <asio/ip/tcp.hpp>

namespace papayahook::support {

class raw_runners
{
public:
    // Registers runners of one service. The n-th request that reaches any of
    // them gets the n-th answer, in which "{id}" stands for the request's id.
    // An answer that ends with "<close>" is the last one on its connection.
    raw_runners(platform_fake& platform, std::string const& service,
                std::vector<std::string> const& names,
                std::vector<std::string> answers,
                core::endpoint_kind kind = core::endpoint_kind::model_runner);
    ~raw_runners();

    int requests();

private:
    struct listener;
    struct connection;
    void accept(std::shared_ptr<listener> const& it);
    void read(std::shared_ptr<connection> const& it);

    std::mutex mutex_;
    std::vector<std::string> answers_;
    std::size_t requests_ = 0;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace papayahook::support
