#include "settings/Settings.h"

namespace rattanroad::daemon {

const char* settingsSchema()
{
    return R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of rattanroadd",
  "type": "object",
  "additionalProperties": false,
  "required": ["host", "listen", "store"],
  "properties": {
    "host": {
      "type": "object", "additionalProperties": false, "required": ["id", "failure_domain", "region"],
      "properties": {
        "id": { "type": "string", "pattern": "^[a-z0-9-]+$" },
        "failure_domain": { "type": "string", "pattern": "^[a-z0-9-]+$" },
        "region": { "type": "string", "pattern": "^[a-z0-9-]+$" },
        "rack": { "type": "string", "pattern": "^[a-z0-9-]*$" }
      }
    },
    "processor": {
      "type": "object", "additionalProperties": false, "required": ["share"],
      "properties": {
        "share": { "type": "number", "exclusiveMinimum": 0, "maximum": 1024 },
        "cores": { "type": "number", "exclusiveMinimum": 0, "maximum": 1024 }
      }
    },
    "platform_limits": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "target_drain_ms": { "type": "number", "minimum": 500, "maximum": 600000 },
        "target_lease_ms": { "type": "number", "minimum": 250, "maximum": 60000 },
        "resubmission_ms": { "type": "number", "minimum": 500, "maximum": 600000 },
        "evacuation_ms": { "type": "number", "minimum": 100, "maximum": 600000 },
        "shutdown_s": { "type": "number", "minimum": 3.5, "maximum": 3600 },
        "job_status_s": { "type": "number", "minimum": 1, "maximum": 86400 }
      }
    },
    "process_limits": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "memory_mb": { "type": "number", "minimum": 1, "maximum": 1048576 },
        "descriptors": { "type": "number", "minimum": 1, "maximum": 1048576 },
        "caller_connections": { "type": "integer", "minimum": 16, "maximum": 1000000 },
        "caller_bytes": { "type": "integer", "minimum": 1048576, "maximum": 17179869184 },
        "header_bytes": { "type": "integer", "minimum": 1024, "maximum": 262144 },
        "header_timeout_ms": { "type": "integer", "minimum": 100, "maximum": 600000 },
        "body_timeout_ms": { "type": "integer", "minimum": 100, "maximum": 600000 },
        "idle_timeout_ms": { "type": "integer", "minimum": 100, "maximum": 3600000 },
        "answer_timeout_ms": { "type": "integer", "minimum": 100, "maximum": 600000 }
      }
    },
    "listen": {
      "type": "object", "additionalProperties": false, "required": ["callers", "peers"],
      "properties": {
        "callers": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
        "peers": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
        "readiness": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
        "metrics": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" }
      }
    },
    "failure_domains": { "type": "array", "items": { "type": "string", "pattern": "^[a-z0-9-]+$" } },
    "seeds": { "type": "array", "items": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" } },
    "store": {
      "type": "object", "additionalProperties": false, "required": ["address"],
      "properties": {
        "kind": { "enum": ["etcd", "platform"] },
        "address": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
        "timeout_ms": { "type": "integer", "minimum": 10, "maximum": 60000 }
      }
    },
    "requests": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "maximum_bytes": { "type": "integer", "minimum": 1024, "maximum": 67108864 }
      }
    },
    "ledger": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "backups": { "type": "integer", "minimum": 0, "maximum": 2 },
        "segment_lifetime_s": { "type": "integer", "minimum": 1, "maximum": 3600 },
        "retention_s": { "type": "integer", "minimum": 600, "maximum": 3600 }
      }
    },
    "dispatch": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "waste_weight": { "type": "number", "minimum": 0, "maximum": 1 },
        "maximum_ejected_share": { "type": "number", "minimum": 0, "maximum": 1 },
        "maximum_queued_tasks": { "type": "integer", "minimum": 260, "maximum": 1000000 },
        "maximum_team_share": { "type": "number", "minimum": 0.01, "maximum": 1 },
        "connect_timeout_ms": { "type": "integer", "minimum": 1, "maximum": 60000 }
      }
    },
    "traces": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "sample_share": { "type": "number", "minimum": 0, "maximum": 1 },
        "file": { "type": "string" },
        "address": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" }
      }
    },
    "logs": {
      "type": "object", "additionalProperties": false,
      "properties": { "file": { "type": "string" } }
    },
    "drain": {
      "type": "object", "additionalProperties": false,
      "properties": { "notice_ms": { "type": "integer", "minimum": 0, "maximum": 600000 } }
    },
    "testing": {
      "type": "object", "additionalProperties": false,
      "properties": { "allow_link_cuts": { "type": "boolean" } }
    }
  }
})json";
}

}
