/// \file
/// JSON Schemas of the operators' document and of the settings files. The
/// "description" texts appear in error messages after "must be". The schemas
/// use neither "pattern" nor "uniqueItems": std::regex recurses once for each
/// character of a long string, and the uniqueness check takes quadratic time.
/// The codecs check both.
#pragma once

namespace hyssopledge::protocol::schemas {

//-----------------------------------------------------------------------------
// Operators' document
//-----------------------------------------------------------------------------

constexpr char Document[] = R"json({
"type": "object", "description": "a document object",
"additionalProperties": false,
"required": ["environment", "services", "routes"],
"properties": {
  "environment": {"type": "string", "description": "the name of the environment, such as \"production\""},
  "services": {"type": "array", "description": "an array of services", "items": {
    "type": "object", "description": "a service object",
    "additionalProperties": false,
    "required": ["name", "versions", "stable"],
    "properties": {
      "name": {"type": "string", "description": "the name of the service"},
      "versions": {"type": "array", "minItems": 1, "description": "an array of at least one version name",
        "items": {"type": "string", "description": "a version name"}},
      "stable": {"type": "string", "description": "one of the service's versions"},
      "rollout": {"type": "object", "description": "a rollout object",
        "additionalProperties": false, "required": ["to"],
        "properties": {
          "to": {"type": "string", "description": "one of the service's versions"},
          "complete_within_s": {"type": "integer", "minimum": 1, "maximum": 2592000, "description": "whole seconds, 1 to 2592000"},
          "initial_share": {"type": "number", "minimum": 0, "maximum": 1, "description": "a share above 0 and at most 1"},
          "max_unproven_share": {"type": "number", "minimum": 0, "maximum": 1, "description": "a share from 0 to 1"},
          "watch_afterward_s": {"type": "integer", "minimum": 0, "maximum": 2592000, "description": "whole seconds, 0 to 2592000"}}},
      "limits": {"type": "object", "description": "a limits object",
        "additionalProperties": false,
        "properties": {
          "slots": {"type": "integer", "minimum": 1, "maximum": 100000, "description": "a whole number, 1 to 100000"},
          "connections": {"type": "integer", "minimum": 1, "maximum": 100000, "description": "a whole number, 1 to 100000"},
          "queue_length": {"type": "integer", "minimum": 0, "maximum": 100000, "description": "a whole number, 0 to 100000"}}}}}},
  "routes": {"type": "array", "description": "an array of routes", "items": {
    "type": "object", "description": "a route object",
    "additionalProperties": false,
    "required": ["name", "path_prefix", "service"],
    "properties": {
      "name": {"type": "string", "description": "the name of the route"},
      "path_prefix": {"type": "string", "description": "a path prefix that starts with /"},
      "methods": {"type": "array", "description": "an array of HTTP methods; empty for all",
        "items": {"type": "string", "description": "an HTTP method such as \"GET\""}},
      "service": {"type": "string", "description": "the name of a service of the document"},
      "idempotent": {"type": "boolean", "description": "true or false"},
      "timeout_ms": {"type": "integer", "minimum": 1, "maximum": 3600000, "description": "whole milliseconds, 1 to 3600000"},
      "max_attempts": {"type": "integer", "minimum": 1, "maximum": 100, "description": "a whole number, 1 to 100"}}}},
  "lease": {"type": "object", "description": "a lease object",
    "additionalProperties": false,
    "properties": {
      "initial_s": {"type": "integer", "minimum": 1, "maximum": 2592000, "description": "whole seconds, 1 to 2592000"},
      "growth": {"type": "number", "minimum": 1, "maximum": 10, "description": "a factor from 1 to 10"},
      "max_s": {"type": "integer", "minimum": 1, "maximum": 2592000, "description": "whole seconds, 1 to 2592000"}}}}
})json";

//-----------------------------------------------------------------------------
// Settings
//-----------------------------------------------------------------------------

constexpr char DaemonSettings[] = R"json({
"type": "object", "description": "a settings object",
"additionalProperties": false,
"required": ["instance", "data_centre", "environment", "data_address", "control_address",
             "gossip_address", "admin_address", "platform"],
"properties": {
  "instance": {"type": "string", "description": "the name of the instance, unique in the environment"},
  "data_centre": {"type": "string", "description": "the name of the data centre"},
  "environment": {"type": "string", "description": "the name of the environment"},
  "data_address": {"type": "string", "description": "an \"ip:port\" for HTTP"},
  "control_address": {"type": "string", "description": "an \"ip:port\" for gRPC"},
  "gossip_address": {"type": "string", "description": "an \"ip:port\" for UDP"},
  "admin_address": {"type": "string", "description": "an \"ip:port\" for HTTP"},
  "platform": {"type": "object", "description": "an object with the platform's endpoints",
    "additionalProperties": false, "required": ["endpoints"],
    "properties": {
      "endpoints": {"type": "array", "minItems": 1, "description": "an array of at least one \"ip:port\"",
        "items": {"type": "string", "description": "an \"ip:port\""}},
      "timeout_ms": {"type": "integer", "minimum": 1, "maximum": 600000, "description": "whole milliseconds, 1 to 600000"}}},
  "bootstrap_peers": {"type": "array", "description": "an array of control addresses",
    "items": {"type": "string", "description": "an \"ip:port\""}},
  "threads": {"type": "integer", "minimum": 1, "maximum": 64, "description": "a whole number, 1 to 64"},
  "probe_interval_ms": {"type": "integer", "minimum": 10, "maximum": 60000, "description": "whole milliseconds, 10 to 60000"},
  "log_file": {"type": "string", "description": "a file name; empty for standard error"},
  "log_level": {"type": "string", "enum": ["trace", "debug", "info", "warn", "error"],
    "description": "\"trace\", \"debug\", \"info\", \"warn\" or \"error\""},
  "trace_file": {"type": "string", "description": "a file name; empty for no traces"},
  "trace_sampling": {"type": "number", "minimum": 0, "maximum": 1, "description": "a share from 0 to 1"}}
})json";

constexpr char OperatorSettings[] = R"json({
"type": "object", "description": "a settings object",
"additionalProperties": false,
"required": ["platform"],
"properties": {
  "platform": {"type": "object", "description": "an object with the platform's endpoints",
    "additionalProperties": false, "required": ["endpoints"],
    "properties": {
      "endpoints": {"type": "array", "minItems": 1, "description": "an array of at least one \"ip:port\"",
        "items": {"type": "string", "description": "an \"ip:port\""}},
      "timeout_ms": {"type": "integer", "minimum": 1, "maximum": 600000, "description": "whole milliseconds, 1 to 600000"}}},
  "author": {"type": "string", "description": "the operator's name, written into the head record"}}
})json";

} // namespace hyssopledge::protocol::schemas
