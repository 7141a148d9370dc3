// A crowd of clients that send requests of legal size made of very many short
// entries, two ahead on each connection, while all slots of the service are
// taken.
#include "memory.hpp"

using namespace rig;

int main()
{
    constexpr int connections = 2'000;
    constexpr int sent_ahead = 2;
    constexpr std::size_t list_bytes = 10'000; // of the 16,384 of a head
    guarded_node n;
    // A sound runner at work on long answers.
    n.add_runner("i-model", "model", true, [](int fd) {
        reader in(fd);
        while (auto const it = in.read()) {
            sleep_s(14);
            if (!send_all(fd,
                          answer(200, "id: 1\ndata: a\n\n",
                                 "Request-Id: " + it->header("Request-Id") +
                                     "\r\nResponse-Seal: s\r\nContent-Type: "
                                     "text/event-stream\r\n")))
                return;
        }
    });
    n.run();
    std::string list = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";
    if (with_trouble()) {
        list = "a:1";
        while (list.size() + 4 <= list_bytes)
            list += ",a:1";
    }
    note("client  a crowd: %d connections, %d requests each, Prefix-Hash of "
         "%zu bytes",
         connections, sent_ahead, list.size());
    std::vector<int> open;
    for (int k = 0; k < connections; ++k) {
        int const fd = connect_to(n.self.front());
        if (fd < 0) {
            note("client  the crowd has only %d connections", k);
            break;
        }
        open.push_back(fd);
        for (int m = 0; m < sent_ahead; ++m)
            send_all(fd, "GET /m/x HTTP/1.1\r\nHost: h\r\nAuthorization: "
                         "Bearer k" +
                             std::to_string(k % 3) + "\r\nRequest-Id: c" +
                             std::to_string(k) + "-" + std::to_string(m) +
                             "\r\nModel: m\r\nToken-Count: 2500,80\r\n"
                             "Prefix-Hash: " +
                             list + "\r\nDeadline-Ms: 15000\r\n\r\n");
    }
    note("client  the crowd has sent its requests");
    judge(n, n.watch_memory(12));
}
