#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_network/store/StoreClient.h"

#include <functional>

namespace rattanroad::daemon {

/** Registers this incarnation of the host as a KeyHome, which decides about idempotency keys, under
    /rattanroad/key-homes/<host> in the store. Reports whether an earlier incarnation was registered.
*/
class KeyHomeRegistration {
public:
    using RegisteredCallback = std::function<void(bool hadPredecessor)>;

    KeyHomeRegistration(
        platform::StoreClient& store, const HostId& host, Incarnation incarnation, RegisteredCallback registered);
    KeyHomeRegistration(const KeyHomeRegistration&) = delete;
    KeyHomeRegistration& operator=(const KeyHomeRegistration&) = delete;

    /** Makes one attempt. The callback is not called when the attempt fails or the store does not answer. Ignored while
       an attempt is in flight.
    */
    void start();

private:
    void write(platform::StoreRevision expected);

    platform::StoreClient& m_store;
    std::string m_key;
    std::string m_value;
    RegisteredCallback m_registered;
    bool m_hadPredecessor { false };
    bool m_isInFlight { false };
};

}
