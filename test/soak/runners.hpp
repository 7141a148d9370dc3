// Runners of the soak: they answer every request that is meant for them with
// what its id and query ask for, and keep a list of what they ran.
#pragma once

#include "soak/plain_http.hpp"
#include "soak/proxy.hpp"
#include "support/platform_fake.hpp"

namespace papayahook::soak {

// What a request asks for and what its answer must be.
struct wish
{
    // i: idempotent, o: order, s: stream, r: resumable stream, m: the same of
    // model runners, f: a stream of small events at some MB/s, b: blank lines
    // at that rate until the caller closes
    char kind = 'i';
    std::string id;
    std::string route;    // by its kind if empty
    int size = 0;         // bytes, or events of a stream
    int after = 0;        // the last event that the caller has
    milliseconds work{0}; // before the answer, or each event
    std::size_t body = 0; // bytes of the request's body
    int parts = 0;        // of the prompt, as its head lists them
    int fields = 0;       // short ones of the head, beside the others
};
bool streams(wish const& it);
std::string pattern(std::string const& id, std::size_t size);
std::string answer_to(wish const& it);
std::string bytes_of(wish const& it, bool in_chunks);

struct run
{
    std::string runner;
    clock::time_point began;
    clock::time_point ended = clock::time_point::max();
    bool broken_off = false; // its connection, while it ran
};

class runners
{
public:
    static constexpr int slots = 16; // of each
    runners(support::platform_fake& platform, std::string service, int count,
            bool of_models);
    ~runners();

    // A runner says that it leaves; a new one takes its address afterwards.
    void leave(std::size_t number, bool by_header, bool by_entry,
               milliseconds rest);
    // The proxy in front of a runner.
    proxy& way_to(std::size_t number) { return *all_[number].before; }
    // Its connections are reset, or go silent for good.
    void break_off(std::size_t number, bool silently);
    std::map<std::string, std::vector<run>> runs();
    std::vector<std::string> faults(); // what no runner should see

private:
    struct runner
    {
        std::unique_ptr<proxy> before;
        bool leaving = false;
        int incarnation = 1;
    };
    std::string name_of(std::size_t number) const;
    void enroll(std::size_t number, char const* state);
    void answer(std::size_t number, runtime::http_request const& in,
                runtime::responder_ptr const& out);
    void send_events(wish const& it, int from, std::size_t number_of_run,
                     runtime::responder_ptr const& out);
    void after(milliseconds delay, std::function<void()> action);
    void end_run(std::string const& id, std::size_t number);

    support::platform_fake& platform_;
    std::string service_;
    bool of_models_;
    std::recursive_mutex mutex_;
    std::vector<runner> all_;
    std::map<std::string, std::vector<run>> runs_;
    std::vector<std::string> faults_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<std::unique_ptr<runtime::http_server>> servers_;
    std::thread thread_;
};

} // namespace papayahook::soak
