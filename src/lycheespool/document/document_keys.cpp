#include "lycheespool/document/document_keys.h"

#include <fmt/format.h>

namespace lycheespool {

namespace {

std::string withRevision(const char* prefix, Revision revision)
{
    return fmt::format("{}{:0{}}", prefix, revision.value(), DocumentKeys::revisionDigits);
}

}

std::string DocumentKeys::section(const SectionId& section) { return sections + section.value(); }

std::string DocumentKeys::historyAt(Revision revision) { return withRevision(history, revision); }

std::string DocumentKeys::auditAt(Revision revision) { return withRevision(audit, revision); }

}
