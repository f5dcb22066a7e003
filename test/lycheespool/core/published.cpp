#include "lycheespool/core/published.h"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

using lycheespool::Published;

// Guards against lost updates when two writers replace the snapshot at the same time.
TEST_CASE("concurrent updates of a published value are all kept")
{
    Published<int> value;
    constexpr int perThread = 2000;
    {
        std::vector<std::jthread> threads;
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&] {
                for (int n = 0; n < perThread; ++n)
                    value.update([](int& it) { ++it; });
            });
        }
    }
    CHECK(*value.load() == 4 * perThread);
}

// Guards against a snapshot that changes under its reader.
TEST_CASE("a snapshot stays as it was when it was taken")
{
    Published<int> value;
    const auto before = value.load();
    value.store(7);
    CHECK(*before == 0);
    CHECK(*value.load() == 7);
}

// Guards against a reader that keeps an old snapshot after a publication.
TEST_CASE("a reader sees every publication that happened before")
{
    Published<int> value;
    Published<int>::Reader reader { value };
    CHECK(*reader.get() == 0);
    value.store(3);
    CHECK(*reader.get() == 3);
}
