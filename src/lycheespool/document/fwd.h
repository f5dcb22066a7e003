#pragma once

namespace lycheespool {

class DocumentCache;
struct AuditRecord;
struct Document;
struct Edit;
struct EditResult;
struct EditTicket;
struct Finding;
struct HeadRecord;
struct HistoryRecord;
struct SectionRecord;
struct SectionText;
struct StoredDocument;

template <typename Type>
class DocumentStore;

template <typename Type>
class DocumentWatcher;

}
