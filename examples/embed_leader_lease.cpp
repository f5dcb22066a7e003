// Uses the leader lease as a library: two candidates share an in-memory table, one of them stops renewing the lease,
// and the other one takes over with a higher epoch.

#include "lycheespool/core/clock.h"
#include "lycheespool/store/leader_lease.h"
#include "lycheespool/store/memory_table.h"

#include <fmt/format.h>

using namespace lycheespool;

namespace {

constexpr const char* leaseKey = "lease/example";

/*! @brief A candidate for leadership. */
struct Candidate {
    std::string name;
    LeaderLease lease;

    void tick(MemoryTable& table, TimePoint now)
    {
        const auto row = table.get(leaseKey);
        lease.observe(row.version, now);
        if (!lease.isHeld(now) && !lease.mayTakeOver(now))
            return;
        const auto lastEpoch = row.exists() ? std::stoull(row.value) : 0;
        const auto epoch = lease.isHeld(now) ? lease.epoch() : Epoch { lastEpoch + 1 };
        const auto result
            = table.commit({ { { leaseKey, row.version } }, { { leaseKey, std::to_string(epoch.value()) } } });
        if (result.committed)
            lease.held(epoch, result.version, now);
    }
};

}

int main()
{
    MemoryTable table;
    ManualClock clock;
    Candidate first { "first", {} };
    Candidate second { "second", {} };
    for (int elapsed = 0; elapsed < 20; ++elapsed) {
        if (elapsed < 8)
            first.tick(table, clock.now());
        second.tick(table, clock.now());
        for (const auto* it : { &first, &second }) {
            if (it->lease.isHeld(clock.now()))
                fmt::print("t={:2} s: {} leads with epoch {}\n", elapsed, it->name, it->lease.epoch().value());
        }
        clock.advance(LeaderLeaseTimes {}.renewInterval);
    }
}
