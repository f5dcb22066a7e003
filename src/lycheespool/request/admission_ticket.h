#pragma once

#include "lycheespool/core/clock.h"

#include <memory>
#include <utility>

namespace lycheespool {

/**
 * @brief RAII holder of the slot of an admitted request.
 * @tparam AdmissionType An Admission.
 */
template <typename AdmissionType>
class AdmissionTicket {
public:
    AdmissionTicket() = default;

    /**
     * @brief Constructs a ticket for an acquired slot.
     * @param admission Admission control to which the slot is released.
     */
    explicit AdmissionTicket(std::shared_ptr<AdmissionType> admission)
        : m_admission { std::move(admission) }
        , m_start { m_admission->now() }
    {
    }

    AdmissionTicket(AdmissionTicket&& other) noexcept
        : m_admission { std::move(other.m_admission) }
        , m_start { other.m_start }
    {
    }

    AdmissionTicket& operator=(AdmissionTicket&& other) noexcept
    {
        std::swap(m_admission, other.m_admission);
        std::swap(m_start, other.m_start);
        return *this;
    }

    ~AdmissionTicket()
    {
        if (m_admission)
            m_admission->release(m_admission->now() - m_start);
    }

    /**
     * @brief Checks if a slot is held.
     * @return False if the request was refused.
     */
    [[nodiscard]] bool isHeld() const { return m_admission != nullptr; }

private:
    std::shared_ptr<AdmissionType> m_admission;
    TimePoint m_start;
};

}
