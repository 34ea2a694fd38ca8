#pragma once

#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_inventory/rattanroad_inventory.h"

namespace rattanroad {

/** Returns a small valid document with entries in each list. */
inline const char* exampleDocument()
{
    return R"({
"failure_domains":[{"id":"remera","region":"kigali"},{"id":"kimironko","region":"kigali"}],
"workers":[{"id":"w-1","failure_domain":"remera","rack":"a1","cores":32,"memory_mb":131072,"accelerators":1},
           {"id":"w-2","failure_domain":"kimironko","rack":"b1","cores":16,"memory_mb":65536}],
"targets":[{"id":"t-1","worker":"w-1","address":"192.0.2.1:9001","path":"/run","kinds":["quote","block"],"slots":8,
            "connections":64,"not_run_statuses":[429,503]},
           {"id":"t-2","worker":"w-2","address":"[2001:db8::2]:9001","path":"/run","kinds":["quote"],"slots":4,
            "connections":64,"state":"leaving"}],
"teams":[{"id":"felt","quota_slots":6,"weight":2.5},{"id":"quotes"}],
"rules":[{"id":"r-1","kind":"block","allow":{"failure_domains":["remera"]},"never_repeat":true},
         {"id":"r-2","kind":"quote","deny":{"targets":["t-2"]},"require":{"cores":8}}],
"entry_hosts":[{"id":"remera-1","failure_domain":"remera"}]})";
}

}
