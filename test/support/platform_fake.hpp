// Stand-in of the users' platform: store, API and runners, by their published
// calls, on one thread beside the test.
#pragma once

#include "runtime/http_server.hpp"

#include <asio/executor_work_guard.hpp>
#include <map>
#include <mutex>
#include <thread>

namespace papayahook::support {

struct fake_runner
{
    std::string name;
    std::string service;
    std::string version = "v1";
    bool fails = false;                // answers 500
    std::chrono::milliseconds work{5}; // before its answer
};

struct api_call
{
    std::string path;
    std::string fencing;
    std::string body;
};

class platform_fake
{
public:
    platform_fake();
    ~platform_fake();

    std::string store_address;
    std::string api_address;

    // Writes a record, as the operator or a runner would.
    void put(std::string const& topic, std::string const& key,
             std::string const& value);
    // Newest value of a key; empty when there is none.
    std::string newest(std::string const& topic, std::string const& key);
    // Listens and registers itself.
    void add_runner(fake_runner const& it);
    std::vector<api_call> api_calls();
    // Requests that runners ran, by the version that ran them.
    std::map<std::string, int> runs();
    // Headers of the newest request at a runner.
    runtime::header_list last_headers();

private:
    void listen(std::string const& address,
                runtime::http_server::handler on_request);
    void on_store(runtime::http_request const& in, runtime::responder_ptr out);
    void on_append(runtime::http_request const& in,
                   runtime::responder_ptr const& out);
    void on_newest(runtime::http_request const& in,
                   runtime::responder_ptr const& out);
    void on_read(runtime::http_request const& in, runtime::responder_ptr out,
                 std::chrono::milliseconds waits);
    void on_runner(fake_runner const& r, runtime::http_request const& in,
                   runtime::responder_ptr const& out);
    void after(std::chrono::milliseconds delay, std::function<void()> act);

    std::mutex mutex_;
    std::map<std::string, std::vector<std::string>> topics_; // raw records
    std::vector<api_call> api_calls_;
    std::map<std::string, int> runs_;
    runtime::header_list last_headers_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<std::unique_ptr<runtime::http_server>> servers_;
    std::thread thread_;
};

} // namespace papayahook::support
