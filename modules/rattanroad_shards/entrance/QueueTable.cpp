#include "rattanroad_shards/entrance/QueueTable.h"

namespace rattanroad::shards {

const QueueTable::Entry* QueueTable::find(std::string_view host, std::string_view path) const
{
    const Entry* best = nullptr;
    for (const Entry& entry : entries) {
        if (entry.host != host || path.substr(0, entry.prefix.size()) != entry.prefix)
            continue;
        if (!best || entry.prefix.size() > best->prefix.size())
            best = &entry;
    }
    return best;
}

}
