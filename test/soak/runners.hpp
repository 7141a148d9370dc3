// Runners of the soak: they answer every request that is meant for them with
// what the request's id and query ask for, and keep a list of what they ran.
#pragma once

#include "soak/plain_http.hpp"
#include "support/platform_fake.hpp"

#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace papayahook::soak {

// What a request asks for and what its answer must be.
struct wish
{
    // i: idempotent, o: order, s: stream, r: resumable stream, m: the same of
    // model runners
    char kind = 'i';
    std::string id;
    std::size_t size = 0;              // bytes, or events of a stream
    int after = 0;                     // the last event that the caller has
    std::chrono::milliseconds work{0}; // before the answer, or per event
    std::size_t body = 0;              // bytes of the request's body
};
bool streams(wish const& it);
std::string pattern(std::string const& id, std::size_t size);
std::string path_of(wish const& it);
std::string answer_to(wish const& it);

struct run
{
    std::string runner;
    clock::time_point began;
    clock::time_point ended; // the answer is written, or could not be
    bool ends = false;       // has ended
    bool written = false;
};

class runners
{
public:
    // Registers `count` runners of a service.
    runners(support::platform_fake& platform, std::string service, int count,
            bool of_models);
    ~runners();

    // A runner says that it leaves; a new one takes its address afterwards.
    void leave(std::size_t number, bool by_header, bool by_entry,
               std::chrono::milliseconds rest);
    std::map<std::string, std::vector<run>> runs();
    std::vector<std::string> faults(); // what no runner should see

private:
    struct runner
    {
        std::string name;
        std::uint16_t port = 0;
        int fd = -1;
        bool leaving = false;
        int incarnation = 1;
    };
    void enroll(runner const& it, char const* state);
    void serve(std::size_t number);
    void talk(std::size_t number, line to);
    bool answer(std::size_t number, message const& in, line& to);
    bool work(wish const& it, std::string const& headers, line& to);

    support::platform_fake& platform_;
    std::string service_;
    bool of_models_;
    std::mutex mutex_;
    bool stops_ = false;
    std::vector<runner> all_;
    std::set<int> open_;
    std::map<std::string, std::vector<run>> runs_;
    std::vector<std::string> faults_;
    std::vector<std::thread> threads_;
};

} // namespace papayahook::soak
