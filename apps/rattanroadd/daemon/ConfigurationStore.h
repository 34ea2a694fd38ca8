#pragma once

#include "rattanroad_configuration/rattanroad_configuration.h"
#include "rattanroad_network/store/StoreClient.h"

#include <functional>
#include <map>

namespace rattanroad::daemon {

/** Adapts the store client to the requests and answers of the configuration module. */
class ConfigurationStore {
public:
    using GetCallback = std::function<void(const StoreGetAnswer&)>;
    using PutCallback = std::function<void(const StorePutIfAnswer&)>;
    using WatchCallback = std::function<void(const StoreWatchEvent&)>;

    explicit ConfigurationStore(platform::StoreClient& store);
    ConfigurationStore(const ConfigurationStore&) = delete;
    ConfigurationStore& operator=(const ConfigurationStore&) = delete;

    void get(const StoreGet& request, GetCallback callback);
    void putIf(const StorePutIf& request, PutCallback callback);
    void startWatch(const StoreWatch& request, const WatchCallback& callback);
    void stopWatch(StoreWatchId watch);

private:
    platform::StoreClient& m_store;
    std::map<StoreWatchId, platform::WatchId> m_watches;
};

}
