#pragma once

#include "rattanroad_shards/store/KeyValueStore.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <memory>

namespace rattanroad::shards {

/** Reads all keys with a prefix once, page by page, and retries a page that cannot be read. */
class PageReader {
public:
    struct Settings {
        std::string prefix;
        /** Pause before a failed page is requested again. */
        std::chrono::milliseconds retryPause { 100 };
    };
    struct Hooks {
        /** Called with each item. */
        std::function<void(const StoredItem&)> item;
        /** Called after the last item was delivered. */
        std::function<void()> done;
    };

    PageReader(Settings settings, KeyValueStore& store, Timers timers, Hooks hooks);
    ~PageReader() { stop(); }
    PageReader(const PageReader&) = delete;
    PageReader& operator=(const PageReader&) = delete;

    /** Starts at the first page; cancels a read in progress. */
    void start();
    /** Cancels a read in progress; no hook is called after this. */
    void stop();

private:
    void readAfter(const std::string& key);
    void handlePage(const ReadReply& page, const std::shared_ptr<bool>& isActive);

    Settings m_settings;
    KeyValueStore& m_store;
    Timers m_timers;
    Hooks m_hooks;
    /** Shared with the callbacks of the current read; set to false when that read is cancelled or complete. */
    std::shared_ptr<bool> m_isActive;
};

}
