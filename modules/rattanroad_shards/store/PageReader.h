#pragma once

#include "rattanroad_shards/store/KeyValueStore.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <memory>

namespace rattanroad::shards {

/** Reads all keys with a prefix once, page by page, and repeats a page that cannot be read. */
class PageReader {
public:
    struct Settings {
        std::string prefix;
        /** Pause before a page is asked for again. */
        std::chrono::milliseconds retryPause { 100 };
    };
    struct Hooks {
        std::function<void(const StoredItem&)> item;
        /** The last page was read. */
        std::function<void()> done;
    };

    PageReader(Settings settings, KeyValueStore& store, Timers timers, Hooks hooks);
    ~PageReader() { stop(); }
    PageReader(const PageReader&) = delete;
    PageReader& operator=(const PageReader&) = delete;

    /** Begins at the first page; an earlier reading is dropped. */
    void start();
    /** No hook is called after this. */
    void stop();

private:
    void readAfter(const std::string& key);
    void takePage(const ReadReply& page, const std::shared_ptr<bool>& isWanted);

    Settings m_settings;
    KeyValueStore& m_store;
    Timers m_timers;
    Hooks m_hooks;
    /** True until the present reading is dropped. */
    std::shared_ptr<bool> m_isWanted;
};

}
