/// \file
/// OpenTracing tracer that propagates W3C traceparent and writes finished spans
/// as Zipkin v2 JSON, one span a line.
#pragma once

#include "hyssopledge/state/random.h"
#include "hyssopledge/state/result.h"

#include <boost/beast/http/fields.hpp>
#include <functional>
#include <memory>
#include <opentracing/tracer.h>
#include <string>

namespace hyssopledge::transport {

/// Takes one line of JSON without a line end. Called from any thread.
using span_sink = std::function<void(const std::string &Line)>;

struct tracer_options {
  std::string ServiceName; // localEndpoint of the spans, the instance
  double Sampling = 1.0;   // share of traces started here, 0..1
  std::uint64_t Seed = 0;  // of trace and span ids
};

std::shared_ptr<opentracing::Tracer> makeTracer(tracer_options Options,
                                                span_sink Sink);

/// Appends lines to a file; Unavailable when it can't be opened.
state::result<span_sink> makeSpanFileSink(const std::string &Path);

/// The span context in the traceparent field; null when there is none or it is
/// malformed.
std::unique_ptr<opentracing::SpanContext>
extractTrace(const opentracing::Tracer &Tracer,
             const boost::beast::http::fields &Fields);

/// Replaces the traceparent field.
void injectTrace(const opentracing::Tracer &Tracer,
                 const opentracing::SpanContext &Context,
                 boost::beast::http::fields &Fields);

} // namespace hyssopledge::transport
