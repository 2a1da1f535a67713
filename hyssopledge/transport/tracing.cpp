#include "hyssopledge/transport/tracing.h"

#include "hyssopledge/protocol/call_headers.h"

#include <array>
#include <atomic>
#include <charconv>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <opentracing/propagation.h>
#include <optional>
#include <sstream>

namespace hyssopledge::transport {

namespace ot = opentracing;

namespace {

std::string formatHex(std::uint64_t Value) {
  std::array<char, 16> Digits{};
  for (std::size_t I = Digits.size(); I-- > 0; Value >>= 4)
    Digits[I] = "0123456789abcdef"[Value & 15];
  return {Digits.data(), Digits.size()};
}

std::optional<std::uint64_t> parseHex(std::string_view Text) {
  if (Text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
    return std::nullopt;
  std::uint64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

/// Trace id, span id and sampling flag. Baggage is not supported.
class span_context final : public ot::SpanContext {
public:
  void ForeachBaggageItem(
      std::function<bool(const std::string &, const std::string &)>)
      const override {}
  std::unique_ptr<ot::SpanContext> Clone() const noexcept override {
    return std::make_unique<span_context>(*this);
  }
  std::string ToTraceID() const noexcept override {
    return formatHex(TraceHigh) + formatHex(TraceLow);
  }
  std::string ToSpanID() const noexcept override { return formatHex(SpanId); }

  std::string traceParent() const {
    return "00-" + ToTraceID() + "-" + ToSpanID() + (Sampled ? "-01" : "-00");
  }

  /// Parses "00-<32 hex>-<16 hex>-<2 hex>"; a later version may append fields.
  static std::optional<span_context> parse(std::string_view Text) {
    if (Text.size() < 55 || Text[2] != '-' || Text[35] != '-' ||
        Text[52] != '-' || Text.substr(0, 2) == "ff")
      return std::nullopt;
    const auto Version = parseHex(Text.substr(0, 2));
    if (!Version || (*Version == 0 && Text.size() != 55))
      return std::nullopt;
    const auto High = parseHex(Text.substr(3, 16));
    const auto Low = parseHex(Text.substr(19, 16));
    const auto Span = parseHex(Text.substr(36, 16));
    const auto Flags = parseHex(Text.substr(53, 2));
    if (!High || !Low || !Span || !Flags || (*High == 0 && *Low == 0) ||
        *Span == 0)
      return std::nullopt;
    span_context Context;
    Context.TraceHigh = *High;
    Context.TraceLow = *Low;
    Context.SpanId = *Span;
    Context.Sampled = (*Flags & 1) != 0;
    return Context;
  }

  std::uint64_t TraceHigh = 0;
  std::uint64_t TraceLow = 0;
  std::uint64_t SpanId = 0;
  bool Sampled = true;
};

/// Formats the scalar values of tags; other values become empty.
struct tag_formatter {
  std::string operator()(const std::string &Text) const { return Text; }
  std::string operator()(const char *Text) const { return Text; }
  std::string operator()(ot::string_view Text) const { return Text; }
  std::string operator()(bool Value) const { return Value ? "true" : "false"; }
  template <class T>
  requires std::is_arithmetic_v<T> std::string operator()(T Value) const {
    std::ostringstream Out;
    Out << Value;
    return Out.str();
  }
  template <class T>
  requires(!std::is_arithmetic_v<T>) std::string operator()(const T &) const {
    return {};
  }
};

class zipkin_tracer;

class span final : public ot::Span {
public:
  span(std::shared_ptr<const zipkin_tracer> Tracer, ot::string_view Name,
       span_context Context, std::uint64_t ParentSpanId,
       const ot::StartSpanOptions &Options);
  ~span() override {
    if (!Finished)
      Finish();
  }

  void FinishWithOptions(const ot::FinishSpanOptions &) noexcept override;
  void SetOperationName(ot::string_view NewName) noexcept override {
    Name = NewName;
  }
  void SetTag(ot::string_view Key, const ot::Value &Value) noexcept override {
    if (Context.Sampled)
      Tags[Key] = ot::Value::visit(Value, tag_formatter{});
  }
  void SetBaggageItem(ot::string_view, ot::string_view) noexcept override {}
  std::string BaggageItem(ot::string_view) const noexcept override {
    return {};
  }
  void
  Log(std::initializer_list<std::pair<ot::string_view, ot::Value>>) noexcept
      override {}
  void
  Log(ot::SystemTime,
      std::initializer_list<std::pair<ot::string_view, ot::Value>>) noexcept
      override {}
  void Log(ot::SystemTime,
           const std::vector<std::pair<ot::string_view, ot::Value>> &) noexcept
      override {}
  const ot::SpanContext &context() const noexcept override { return Context; }
  const ot::Tracer &tracer() const noexcept override;

private:
  std::shared_ptr<const zipkin_tracer> Tracer;
  std::string Name;
  span_context Context;
  std::uint64_t ParentSpanId;
  ot::SystemTime StartTimestamp;
  ot::SteadyTime SteadyStart;
  std::map<std::string, std::string> Tags;
  bool Finished = false;
};

class zipkin_tracer final : public ot::Tracer,
                            public std::enable_shared_from_this<zipkin_tracer> {
public:
  zipkin_tracer(tracer_options Options, span_sink Sink)
      : Options(std::move(Options)), Sink(std::move(Sink)) {}

  std::unique_ptr<ot::Span> StartSpanWithOptions(
      ot::string_view Name,
      const ot::StartSpanOptions &SpanOptions) const noexcept override {
    span_context Context;
    std::uint64_t ParentSpanId = 0;
    for (const auto &[Type, Reference] : SpanOptions.references)
      if (const auto *OwnContext =
              dynamic_cast<const span_context *>(Reference)) {
        Context = *OwnContext;
        ParentSpanId = OwnContext->SpanId;
        break;
      }
    if (ParentSpanId == 0) {
      Context.TraceHigh = nextId();
      Context.TraceLow = nextId();
      Context.Sampled = state::unitInterval(nextId()) < Options.SamplingRatio;
    }
    Context.SpanId = nextId();
    return std::make_unique<span>(shared_from_this(), Name, Context,
                                  ParentSpanId, SpanOptions);
  }

  ot::expected<void> Inject(const ot::SpanContext &Context,
                            std::ostream &) const override {
    return unsupportedCarrier(Context);
  }
  ot::expected<void> Inject(const ot::SpanContext &Context,
                            const ot::TextMapWriter &Writer) const override {
    const auto *OwnContext = dynamic_cast<const span_context *>(&Context);
    if (OwnContext == nullptr)
      return ot::make_unexpected(ot::invalid_span_context_error);
    return Writer.Set(protocol::call_headers::TraceParent,
                      OwnContext->traceParent());
  }
  ot::expected<void>
  Inject(const ot::SpanContext &Context,
         const ot::HTTPHeadersWriter &Writer) const override {
    return Inject(Context, static_cast<const ot::TextMapWriter &>(Writer));
  }

  ot::expected<std::unique_ptr<ot::SpanContext>>
  Extract(std::istream &) const override {
    return ot::make_unexpected(ot::invalid_carrier_error);
  }
  ot::expected<std::unique_ptr<ot::SpanContext>>
  Extract(const ot::TextMapReader &Reader) const override {
    const auto Text = Reader.LookupKey(protocol::call_headers::TraceParent);
    if (!Text)
      return std::unique_ptr<ot::SpanContext>();
    const auto Context = span_context::parse({Text->data(), Text->size()});
    if (!Context)
      return ot::make_unexpected(ot::span_context_corrupted_error);
    return std::unique_ptr<ot::SpanContext>(
        std::make_unique<span_context>(*Context));
  }
  ot::expected<std::unique_ptr<ot::SpanContext>>
  Extract(const ot::HTTPHeadersReader &Reader) const override {
    return Extract(static_cast<const ot::TextMapReader &>(Reader));
  }

  void write(const nlohmann::json &Span) const {
    Sink(Span.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
  const std::string &serviceName() const { return Options.ServiceName; }

private:
  static ot::expected<void> unsupportedCarrier(const ot::SpanContext &) {
    return ot::make_unexpected(ot::invalid_carrier_error);
  }

  /// Returns an id other than 0: SplitMix64 over an atomic counter, so that
  /// threads need no lock.
  std::uint64_t nextId() const {
    std::uint64_t Value =
        Options.Seed + 0x9e3779b97f4a7c15ULL * (1 + Counter.fetch_add(1));
    Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
    Value ^= Value >> 31;
    return Value != 0 ? Value : 1;
  }

  tracer_options Options;
  span_sink Sink;
  mutable std::atomic<std::uint64_t> Counter{0};
};

span::span(std::shared_ptr<const zipkin_tracer> Tracer, ot::string_view Name,
           span_context Context, std::uint64_t ParentSpanId,
           const ot::StartSpanOptions &Options)
    : Tracer(std::move(Tracer)), Name(Name), Context(std::move(Context)),
      ParentSpanId(ParentSpanId),
      StartTimestamp(Options.start_system_timestamp),
      SteadyStart(Options.start_steady_timestamp) {
  if (StartTimestamp == ot::SystemTime())
    StartTimestamp = ot::SystemClock::now();
  if (SteadyStart == ot::SteadyTime())
    SteadyStart = ot::SteadyClock::now();
  for (const auto &[Key, Value] : Options.tags)
    SetTag(Key, Value);
}

const ot::Tracer &span::tracer() const noexcept { return *Tracer; }

void span::FinishWithOptions(const ot::FinishSpanOptions &Options) noexcept {
  if (Finished)
    return;
  Finished = true;
  if (!Context.Sampled)
    return;
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  const auto End = Options.finish_steady_timestamp == ot::SteadyTime()
                       ? ot::SteadyClock::now()
                       : Options.finish_steady_timestamp;
  nlohmann::json Line = {
      {"traceId", Context.ToTraceID()},
      {"id", Context.ToSpanID()},
      {"name", Name},
      {"timestamp",
       duration_cast<microseconds>(StartTimestamp.time_since_epoch()).count()},
      // Zipkin requires a duration of at least 1 microsecond.
      {"duration",
       std::max<std::int64_t>(
           1, duration_cast<microseconds>(End - SteadyStart).count())},
      {"localEndpoint", {{"serviceName", Tracer->serviceName()}}}};
  if (ParentSpanId != 0)
    Line["parentId"] = formatHex(ParentSpanId);
  const auto Kind = Tags.find("span.kind");
  if (Kind != Tags.end()) {
    Line["kind"] = Kind->second == "client" ? "CLIENT" : "SERVER";
    Tags.erase(Kind);
  }
  if (!Tags.empty())
    Line["tags"] = Tags;
  Tracer->write(Line);
}

//-----------------------------------------------------------------------------
// HTTP fields as carriers
//-----------------------------------------------------------------------------

class fields_reader final : public ot::HTTPHeadersReader {
public:
  explicit fields_reader(const header_fields &Fields) : Fields(Fields) {}
  ot::expected<ot::string_view> LookupKey(ot::string_view Key) const override {
    const auto Found = Fields.find({Key.data(), Key.size()});
    if (Found == Fields.end())
      return ot::make_unexpected(ot::key_not_found_error);
    return ot::string_view(Found->value().data(), Found->value().size());
  }
  ot::expected<void>
  ForeachKey(std::function<ot::expected<void>(ot::string_view, ot::string_view)>
                 Handler) const override {
    for (const auto &Field : Fields) {
      const auto Result =
          Handler({Field.name_string().data(), Field.name_string().size()},
                  {Field.value().data(), Field.value().size()});
      if (!Result)
        return Result;
    }
    return {};
  }

private:
  const header_fields &Fields;
};

class fields_writer final : public ot::HTTPHeadersWriter {
public:
  explicit fields_writer(header_fields &Fields) : Fields(Fields) {}
  ot::expected<void> Set(ot::string_view Key,
                         ot::string_view Value) const override {
    Fields.set({Key.data(), Key.size()},
               boost::beast::string_view(Value.data(), Value.size()));
    return {};
  }

private:
  header_fields &Fields;
};

} // namespace

std::shared_ptr<ot::Tracer> makeTracer(tracer_options Options, span_sink Sink) {
  return std::make_shared<zipkin_tracer>(std::move(Options), std::move(Sink));
}

state::result<span_sink> makeSpanFileSink(const std::string &Path) {
  struct file {
    std::mutex Mutex;
    std::ofstream Out;
  };
  auto File = std::make_shared<file>();
  File->Out.open(Path, std::ios::app);
  if (!File->Out)
    return state::failure(state::errc::Unavailable,
                          "can't open trace file " + Path);
  return span_sink([File](const std::string &Line) {
    const std::lock_guard<std::mutex> Lock(File->Mutex);
    File->Out << Line << std::endl;
  });
}

std::unique_ptr<ot::SpanContext> extractTrace(const ot::Tracer &Tracer,
                                              const header_fields &Fields) {
  const fields_reader Reader(Fields);
  auto Context = Tracer.Extract(Reader);
  return Context ? std::move(*Context) : nullptr;
}

void injectTrace(const ot::Tracer &Tracer, const ot::SpanContext &Context,
                 header_fields &Fields) {
  const fields_writer Writer(Fields);
  (void)Tracer.Inject(Context, Writer);
}

} // namespace hyssopledge::transport
