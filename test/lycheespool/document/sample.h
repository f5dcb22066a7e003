#pragma once

#include "lycheespool/document/document_store.h"
#include "lycheespool/document/run.h"
#include "lycheespool/store/emulated_table.h"

#include <fmt/format.h>

#include <atomic>

namespace lycheespool::test {

inline const SectionId alpha { "workspace.alpha" };
inline const SectionId beta { "workspace.beta" };

/*! @brief Returns the section text of a workspace with ann as operator. */
inline std::string workspaceText(const SectionId& section, unsigned priority)
{
    return fmt::format("[{}]\noperators = [\"ann\"]\npriority = {}\n", section.value(), priority);
}

inline Edit newEdit(const SectionId& section, Revision base, std::string text, std::string author = "ada")
{
    static std::atomic<unsigned> lastToken { 0 };
    Edit edit;
    edit.section = section;
    edit.base = base;
    edit.text = std::move(text);
    edit.author = std::move(author);
    edit.token = EditToken { fmt::format("token-{}", ++lastToken) };
    return edit;
}

/*! @brief A document with administrator ada, three zones and two workspaces, at revision 4. */
struct Sample {
    MemoryTable rows;
    TableFaults faults;
    EmulatedTable table { rows, faults };
    DocumentStore<EmulatedTable> store { table, EntryId { "entry-1" }, EditPolicy {} };

    Sample()
    {
        accept(limitsSection(), "[limits]\nadministrators = [\"ada\"]\n");
        accept(zonesSection(),
            "[zones]\noperators = [\"zoe\"]\n[zones.z1]\nin_service = true\n[zones.z2]\nin_service = true\n"
            "[zones.z3]\nin_service = true\n");
        accept(alpha, workspaceText(alpha, 1));
        accept(beta, workspaceText(beta, 1));
    }

    EditResult apply(const Edit& edit) { return run(store.apply(edit)); }

    Revision accept(const SectionId& section, std::string text)
    {
        const auto result = apply(newEdit(section, Revision {}, std::move(text)));
        if (result.status != EditStatus::accepted)
            throw std::logic_error { "an edit of the sample document was not accepted" };
        return result.revision;
    }

    [[nodiscard]] std::size_t count(const char* prefix) const { return rows.list(prefix).size(); }
};

}
