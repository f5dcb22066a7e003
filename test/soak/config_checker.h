#pragma once

#include "lycheespool/core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheespool::soak {

/*! @brief Number of successive config versions in which a probed route or key exists. */
inline constexpr std::uint64_t probeLifetime = 4;

/*! @brief A call that tests which config version a gateway uses. */
struct ConfigProbe {
    std::string gateway;
    /*! @brief Start of the gateway's process, as a counter. */
    unsigned incarnation { 0 };
    /*! @brief Version that added the probed route or key. */
    std::uint64_t target { 0 };
    /*! @brief True if the call was served, false if it was denied. */
    bool isServed { false };
    TimePoint sent;
    TimePoint answered;
};

/**
 * @brief Checks that config changes take effect in time and that no gateway returns to an older version.
 *
 * A route or key that version N adds exists in the versions N to N + probeLifetime - 1.
 */
class ConfigChecker {
public:
    void onSent(std::uint64_t version) { m_newestSent = version; }
    void onAcknowledged(std::uint64_t version, TimePoint now) { m_acknowledged.emplace_back(now, version); }
    /*! @brief Returns a description of the violation that the answer to a probe shows, if any. */
    [[nodiscard]] std::optional<std::string> onProbe(const ConfigProbe& probe);
    [[nodiscard]] std::uint64_t newestSent() const { return m_newestSent; }
    /*! @brief Number of probes that were served or denied. */
    [[nodiscard]] std::size_t probes() const { return m_probes; }

private:
    using TimedVersion = std::pair<TimePoint, std::uint64_t>;

    /*! @brief Returns the newest version of a list that is ordered by time, up to a point in time. */
    [[nodiscard]] static std::uint64_t newestUntil(const std::vector<TimedVersion>& versions, TimePoint until);

    std::uint64_t m_newestSent { 0 };
    std::size_t m_probes { 0 };
    std::vector<TimedVersion> m_acknowledged;
    /*! @brief Oldest versions that the answers of each process are consistent with, by time of the answer. */
    std::map<std::pair<std::string, unsigned>, std::vector<TimedVersion>> m_observed;
};

}
