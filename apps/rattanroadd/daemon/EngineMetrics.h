#pragma once

#include "rattanroad_dispatch/rattanroad_dispatch.h"
#include "rattanroad_network/rattanroad_network.h"

namespace rattanroad::daemon {

/** Copies the counters of the engine and of the network classes into the metrics. */
void refreshMetrics(Metrics& metrics, const EntryHost& engine, const PeerLink::Statistics& peers,
    const platform::StoreClient::Statistics& store, const TraceExporter::Statistics& traces);

}
