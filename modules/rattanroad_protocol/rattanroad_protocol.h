/** rattanroad_protocol: the messages between entry hosts, as protobuf types in namespace rattanroad::protocol.

    Dependencies: rattanroad_core; protobuf. The messages are described in rattanroad.proto; generated/ is committed so
    that a build does not run protoc.
*/
#pragma once

#include "rattanroad_protocol/conversions/Conversions.h"
#include "rattanroad_protocol/generated/rattanroad.pb.h"
