#include "lycheespool/store/leader_lease.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace lycheespool;
using namespace std::chrono_literals;

// Guards against two leaders that act at once when the clocks of their machines drift by 1% against each other.
TEST_CASE("the old holder has stopped before a candidate may take over")
{
    CHECK(rc::check([] {
        const auto drift = *rc::gen::inRange(-10, 11);
        const auto delay = std::chrono::milliseconds { *rc::gen::inRange(0, 3000) };
        const TimePoint start {};
        LeaderLease holder;
        LeaderLease candidate;
        holder.held(Epoch { 1 }, 7, start);
        candidate.observe(7, start + delay);
        const auto elapsed = *rc::gen::inRange(0, 20000);
        const auto holderNow = start + std::chrono::microseconds { elapsed * (1000 + drift) };
        const auto candidateNow = start + std::chrono::microseconds { elapsed * (1000 - drift) };
        RC_ASSERT(!(holder.isHeld(holderNow) && candidate.mayTakeOver(candidateNow)));
    }));
}

// Guards against a paused holder that resumes and acts although its term ran out.
TEST_CASE("a holder that was paused past its term no longer holds the lease")
{
    LeaderLease lease;
    lease.held(Epoch { 1 }, 7, TimePoint {});
    CHECK(lease.isHeld(TimePoint {} + 2999ms));
    CHECK_FALSE(lease.isHeld(TimePoint {} + 3s));
    CHECK(lease.wasHeld());
}
