// A runner in trouble sends bytes that are no answer, without end, in the body
// of one stream: line ends alone, 4 MB a second, until the caller closes.
#include "memory.hpp"

using namespace rig;

int main()
{
    constexpr double bytes_per_s = 4e6;
    guarded_node n;
    n.add_runner("i-model", "model", true, [](int fd) {
        reader in(fd);
        while (auto const it = in.read()) {
            auto const id = it->header("Request-Id");
            auto const head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                              "\r\nResponse-Seal: s\r\nContent-Type: "
                              "text/event-stream\r\n";
            std::string const event = "id: 1\ndata: a\n\n";
            if (!with_trouble()) {
                send_all(fd, head + "Content-Length: " +
                                 std::to_string(event.size()) + "\r\n\r\n" +
                                 event);
                continue;
            }
            send_all(fd, head + "\r\n" + event);
            std::string const block(40'000, '\n');
            double sent = 0;
            auto const from = now_s();
            while (send_all(fd, block)) {
                sent += static_cast<double>(block.size());
                sleep_s(from + sent / bytes_per_s - now_s());
            }
            note("runner  sent %.1f MB until the caller closed", sent / 1e6);
            return;
        }
    });
    n.run();
    std::thread([&] {
        note("client  asks for a stream");
        auto const it = ask(n.self.front(),
                            "GET /m/x HTTP/1.1\r\nHost: h\r\nAuthorization: "
                            "Bearer k1\r\nRequest-Id: s1\r\nModel: m\r\n"
                            "Token-Count: 800,100\r\nPrefix-Hash: a1:800\r\n"
                            "Deadline-Ms: 15000\r\n\r\n",
                            17);
        note("client  the stream ends: status %d, %zu bytes, %s",
             it ? it->status() : 0, it ? it->body.size() : 0,
             it && it->complete ? "complete" : "cut off");
    }).detach();
    judge(n, n.watch_memory(18));
}
