/// \file
/// OpenTracing tracer that propagates the W3C traceparent field and writes
/// finished spans as Zipkin v2 JSON, one span a line.
#pragma once

#include "hyssopledge/state/random.h"
#include "hyssopledge/state/result.h"
#include "hyssopledge/transport/header_fields.h"

#include <functional>
#include <memory>
#include <opentracing/tracer.h>
#include <string>

namespace hyssopledge::transport {

/// Receives one line of JSON without a line end. Called from any thread.
using span_sink = std::function<void(const std::string &Line)>;

struct tracer_options {
  std::string ServiceName;    // localEndpoint of the spans: the instance
  double SamplingRatio = 1.0; // sampled share of the traces started here, 0..1
  std::uint64_t Seed = 0;     // of the generator of trace and span ids
};

std::shared_ptr<opentracing::Tracer> makeTracer(tracer_options Options,
                                                span_sink Sink);

/// Returns a sink that appends to a file; Unavailable when it can't be opened.
state::result<span_sink> makeSpanFileSink(const std::string &Path);

/// Returns the span context in the traceparent field, or null when the field is
/// missing or malformed.
std::unique_ptr<opentracing::SpanContext>
extractTrace(const opentracing::Tracer &Tracer, const header_fields &Fields);

/// Sets the traceparent field to the span context.
void injectTrace(const opentracing::Tracer &Tracer,
                 const opentracing::SpanContext &Context,
                 header_fields &Fields);

} // namespace hyssopledge::transport
