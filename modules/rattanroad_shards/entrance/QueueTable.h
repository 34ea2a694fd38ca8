#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <string_view>
#include <vector>

namespace rattanroad::shards {

/** Queues and request limits of one version of the configuration. */
struct QueueTable {
    struct Entry {
        /** Value of the Host header, in lower case and without a port. */
        std::string host;
        /** Path prefix of the queue. */
        std::string prefix;
        protocol::QueueRule rule;
    };

    std::uint64_t version { 0 };
    std::vector<Entry> entries;
    /** Larger request bodies are refused. */
    std::size_t maximumBodyBytes { 262144 };

    /** Returns the entry of @p host with the longest prefix of @p path, or null. */
    const Entry* find(std::string_view host, std::string_view path) const;
};

}
