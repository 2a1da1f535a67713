#include "hyssopledge/transport/transfer_gate.h"

#include <utility>

namespace hyssopledge::transport {

using boost::system::error_code;
using state::boot_clock;
using state::milliseconds;

const char *const transfer_gate::Path = "/hyssop/transfer";

namespace {

// Bodies that take less time on the link are sent without a request.
constexpr milliseconds MinTransferTime{10};
// Interval at which queued transfers are checked.
constexpr milliseconds CheckInterval{20};

double bytesPerMs(double LinkMbps) { return LinkMbps * 1000 / 8; }

} // namespace

bool transfer_gate::needsTransfer(std::size_t BodyBytes, double LinkMbps) {
  return LinkMbps > 0 && static_cast<double>(BodyBytes) >=
                             bytesPerMs(LinkMbps) *
                                 static_cast<double>(MinTransferTime.count());
}

transfer_gate::transfer_gate(boost::asio::io_context &Context,
                             upstream_client &UpstreamClient, double LinkMbps)
    : Context(Context), UpstreamClient(UpstreamClient), Timer(Context) {
  Queue.setRate(bytesPerMs(LinkMbps));
}

void transfer_gate::onRequest(const std::shared_ptr<server_exchange> &Sender,
                              hop_call Call) {
  const state::time_point Now = boot_clock::now();
  const std::uint64_t Ticket = ++LastTicket;
  state::transfer_request Request;
  Request.Ticket = Ticket;
  Request.Bytes = Call.BodyBytes;
  Request.MayMissSlo = Call.MayMissSlo;
  Request.SloDeadline = Now + Call.SloTimeLeft;
  Request.Deadline = Now + Call.TimeLeft;
  // A body that the upstream's queue would refuse is not worth its transfer.
  const milliseconds Arrival = Queue.arrivalTime(Request, Now);
  hop_call OnArrival = Call;
  OnArrival.TimeLeft -= Arrival;
  OnArrival.SloTimeLeft -= Arrival;
  queue_preview Preview = UpstreamClient.preview(OnArrival);
  if (Preview.Refusal)
    return refuse(Sender, std::move(*Preview.Refusal));
  Request.SloDeadline -= Preview.ExpectedTime;
  Request.Deadline -= Preview.ExpectedTime;
  const state::transfer_decision Decision = Queue.admit(Request, Now);
  if (Decision.Action == state::transfer_action::Refuse)
    return refuse(Sender, UpstreamClient.refusal(Decision.Reason));
  armTimer();
  if (Decision.Action == state::transfer_action::Send)
    return admit(Ticket, Sender);
  Sender->onDisconnect([this, Ticket] {
    Queue.cancel(Ticket);
    Waiting.erase(Ticket);
  });
  Waiting.emplace(Ticket, waiting_transfer{Sender, std::move(Call)});
}

void transfer_gate::onArrival(std::uint64_t Ticket) {
  release(Queue.finish(Ticket, boot_clock::now()));
}

void transfer_gate::admit(std::uint64_t Ticket,
                          const std::shared_ptr<server_exchange> &Sender) {
  http_response Response = makeResponse(200, "text/plain", "");
  Response.set(TransferField, std::to_string(Ticket));
  Sender->respond(std::move(Response));
}

void transfer_gate::refuse(const std::shared_ptr<server_exchange> &Sender,
                           hop_answer Answer) {
  Answer.Response = makeErrorResponse(503, OutcomeNotRun, Answer.Reason,
                                      "the body was not requested");
  setHopAnswerField(Answer);
  Sender->respond(std::move(Answer.Response));
}

void transfer_gate::release(
    const std::vector<state::transfer_release> &Releases) {
  for (const state::transfer_release &Release : Releases) {
    const auto Found = Waiting.find(Release.Ticket);
    if (Found == Waiting.end())
      continue;
    const waiting_transfer Transfer = std::move(Found->second);
    Waiting.erase(Found);
    // The upstream may have been replaced or drained meanwhile.
    const char *Reason = Release.Send
                             ? UpstreamClient.refusalReason(Transfer.Call)
                             : Release.Reason;
    if (Reason == nullptr) {
      admit(Release.Ticket, Transfer.Sender);
      continue;
    }
    refuse(Transfer.Sender, UpstreamClient.refusal(Reason));
    if (Release.Send)
      release(Queue.finish(Release.Ticket, boot_clock::now()));
  }
}

void transfer_gate::armTimer() {
  if (TimerArmed)
    return;
  TimerArmed = true;
  Timer.expires_after(CheckInterval);
  Timer.async_wait([this](const error_code &Error) {
    if (Error)
      return;
    TimerArmed = false;
    release(Queue.expire(boot_clock::now()));
    if (Queue.pending())
      armTimer();
  });
}

} // namespace hyssopledge::transport
