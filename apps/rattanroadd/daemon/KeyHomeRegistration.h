#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_network/store/StoreClient.h"

#include <functional>

namespace rattanroad::daemon {

/** Registers this incarnation as key home under /rattanroad/key-homes/<host> in the store, and learns whether an
    earlier incarnation was registered.
*/
class KeyHomeRegistration {
public:
    using Registered = std::function<void(bool hadPredecessor)>;

    KeyHomeRegistration(
        platform::StoreClient& store, const HostId& host, Incarnation incarnation, Registered registered);
    KeyHomeRegistration(const KeyHomeRegistration&) = delete;
    KeyHomeRegistration& operator=(const KeyHomeRegistration&) = delete;

    /** Makes one attempt; without an answer of the store nothing is called back. Ignored during an attempt. */
    void start();

private:
    void write(platform::StoreRevision expected);

    platform::StoreClient& m_store;
    std::string m_key;
    std::string m_value;
    Registered m_registered;
    bool m_hadPredecessor { false };
    bool m_isActive { false };
};

}
