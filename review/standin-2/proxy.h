// A TCP proxy whose open connections can fall silent for good, without a reset, while new ones work. SIGUSR1 silences
// the connections that are open at that moment: they stay open, and nothing passes on them any more.
#pragma once

#include "record.h"

#include <atomic>
#include <csignal>

namespace standin {

/*! @brief Number of times that the open connections were silenced. */
inline volatile std::sig_atomic_t silences = 0;

class Proxy {
public:
    Proxy(std::string listen, std::string target)
        : m_listen { std::move(listen) }
        , m_target { std::move(target) }
    {
    }

    void run() const
    {
        const int listener = listenOn(m_listen);
        while (true) {
            const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            const auto openedAt = silences;
            if (client >= 0)
                std::thread { [this, client, openedAt] { relay(client, openedAt); } }.detach();
        }
    }

private:
    /*! @brief Passes bytes on until one side ends or the connection falls silent. */
    static void pass(int client, int server, std::sig_atomic_t openedAt)
    {
        while (silences == openedAt) {
            pollfd both[2] { { client, POLLIN, 0 }, { server, POLLIN, 0 } };
            if (poll(both, 2, 5) <= 0 || silences != openedAt)
                continue;
            char bytes[65536];
            for (const auto& it : both) {
                if (it.revents == 0)
                    continue;
                const auto n = recv(it.fd, bytes, sizeof bytes, 0);
                if (n <= 0
                    || !sendAll(it.fd == client ? server : client, std::string { bytes, static_cast<std::size_t>(n) }))
                    return;
            }
        }
        // A silent connection takes what its client sends and ends only when its client closes it.
        std::string discarded;
        while (readMore(client, discarded, 300000))
            discarded.clear();
    }

    void relay(int client, std::sig_atomic_t openedAt) const
    {
        const int on = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const int server = connectTo(m_target, 1000);
        if (server >= 0) {
            pass(client, server, openedAt);
            close(server);
        }
        // Without a server the client sees a reset, as from a port without a listener.
        const linger now { 1, 0 };
        setsockopt(client, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close(client);
    }

    std::string m_listen;
    std::string m_target;
};

}
