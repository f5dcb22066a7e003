#include "lycheespool/document/audit_query.h"

namespace lycheespool {

bool AuditQuery::matches(const AuditRecord& record) const
{
    return (!subject || *subject == record.subject) && (!who || *who == record.who) && (!from || record.time >= *from)
        && (!to || record.time < *to);
}

}
