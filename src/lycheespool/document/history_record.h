#pragma once

#include "lycheespool/document/section_record.h"

namespace lycheespool {

/*! @brief Row `document/history/<revision>`; immutable once written. */
struct HistoryRecord {
    /*! @brief The section as the edit wrote it. */
    SectionRecord section;
    /*! @brief Revision of the section before the edit; 0 when it did not exist. */
    Revision previous;
};

}
