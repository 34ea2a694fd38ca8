#pragma once

#include "rattanroad_configuration/rattanroad_configuration.h"
#include "rattanroad_network/store/StoreClient.h"

#include <functional>
#include <map>

namespace rattanroad::daemon {

/** Carries out the store requests of the configuration module with the store client. */
class ConfigurationStore {
public:
    using GetAnswered = std::function<void(const StoreGetAnswer&)>;
    using PutAnswered = std::function<void(const StorePutIfAnswer&)>;
    using WatchReported = std::function<void(const StoreWatchEvent&)>;

    explicit ConfigurationStore(platform::StoreClient& store);
    ConfigurationStore(const ConfigurationStore&) = delete;
    ConfigurationStore& operator=(const ConfigurationStore&) = delete;

    void get(const StoreGet& request, GetAnswered answered);
    void putIf(const StorePutIf& request, PutAnswered answered);
    void startWatch(const StoreWatch& request, const WatchReported& reported);
    void stopWatch(StoreWatchId watch);

private:
    platform::StoreClient& m_store;
    std::map<StoreWatchId, platform::WatchId> m_watches;
};

}
