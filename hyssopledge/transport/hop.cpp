#include "hyssopledge/transport/hop.h"

#include "hyssopledge/protocol/call_headers.h"

#include <array>
#include <charconv>
#include <vector>

namespace hyssopledge::transport {

const char *const HopCallField = "x-hyssop-call";
const char *const HopAnswerField = "x-hyssop-answer";
const char *const TransferField = "x-hyssop-transfer";

namespace {

constexpr char Separator = '|';
constexpr std::array OutcomeWords = {"ran", "not-run", "unknown"};

std::vector<std::string_view> split(std::string_view Text) {
  std::vector<std::string_view> Parts;
  while (true) {
    const std::size_t At = Text.find(Separator);
    Parts.push_back(Text.substr(0, At));
    if (At == std::string_view::npos)
      return Parts;
    Text.remove_prefix(At + 1);
  }
}

template <class T> bool parseNumber(std::string_view Text, T &Value) {
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Error == std::errc() && End == Text.data() + Text.size();
}

} // namespace

const char *outcomeText(hop_outcome Outcome) {
  switch (Outcome) {
  case hop_outcome::Ran:
    return OutcomeRan;
  case hop_outcome::NotRun:
    return OutcomeNotRun;
  case hop_outcome::Unknown:
    break;
  }
  return OutcomeUnknown;
}

std::string formatHopCall(const hop_call &Call) {
  std::string Text;
  for (const std::string *Part :
       {&Call.Upstream, &Call.Route, &Call.CallerService}) {
    Text += *Part;
    Text += Separator;
  }
  Text += std::to_string(Call.TimeLeft.count()) + Separator +
          std::to_string(Call.SloTimeLeft.count()) + Separator +
          std::to_string(Call.Priority) + Separator;
  if (Call.MayMissSlo)
    Text += 'l';
  if (Call.IsRetry)
    Text += 'r';
  if (Call.BodyBytes > 0 || Call.TransferTicket > 0 || !Call.Workspace.empty())
    Text += Separator + std::to_string(Call.BodyBytes) + Separator +
            std::to_string(Call.TransferTicket);
  if (!Call.Workspace.empty())
    Text += Separator + Call.Workspace;
  return Text;
}

state::result<hop_call> parseHopCall(std::string_view Text) {
  const auto Parts = split(Text);
  hop_call Call;
  std::int64_t TimeLeft = 0;
  std::int64_t SloTimeLeft = 0;
  const bool HasWorkspace = Parts.size() == 10;
  const bool HasTransfer = Parts.size() == 9 || HasWorkspace;
  if ((Parts.size() != 7 && !HasTransfer) || !parseNumber(Parts[3], TimeLeft) ||
      !parseNumber(Parts[4], SloTimeLeft) ||
      !parseNumber(Parts[5], Call.Priority) ||
      (HasTransfer && (!parseNumber(Parts[7], Call.BodyBytes) ||
                       !parseNumber(Parts[8], Call.TransferTicket))))
    return state::failure(state::errc::InvalidMessage,
                          std::string(HopCallField) +
                              " must have 7, 9 or 10 parts between '|'");
  Call.Upstream = Parts[0];
  Call.Route = Parts[1];
  Call.CallerService = Parts[2];
  if (HasWorkspace)
    Call.Workspace = Parts[9];
  Call.TimeLeft = state::milliseconds(TimeLeft);
  Call.SloTimeLeft = state::milliseconds(SloTimeLeft);
  Call.MayMissSlo = Parts[6].find('l') != std::string_view::npos;
  Call.IsRetry = Parts[6].find('r') != std::string_view::npos;
  return Call;
}

void setHopAnswerField(hop_answer &Answer) {
  std::string Text = OutcomeWords[static_cast<std::size_t>(Answer.Outcome)];
  Text += Separator + Answer.Reason + Separator +
          (Answer.RejectedByUpstream ? "1" : "0");
  if (Answer.Load) {
    const state::load_report &Load = *Answer.Load;
    Text += Separator + std::to_string(Load.Running) + Separator +
            std::to_string(Load.Waiting) + Separator +
            std::to_string(Load.Slots) + Separator +
            std::to_string(Load.ExpectedWait.count()) + Separator +
            std::to_string(Load.SlowdownPercent) + Separator +
            std::to_string(Load.FailurePercent) + Separator +
            std::to_string(Load.WorkPercent);
  }
  Answer.Response.set(HopAnswerField, Text);
}

hop_answer parseHopAnswer(http_response Response) {
  hop_answer Answer;
  const auto Parts = split(fieldValue(Response, HopAnswerField));
  Answer.Reason = "no-outcome";
  if (Parts.size() >= 3) {
    for (std::size_t I = 0; I < OutcomeWords.size(); ++I)
      if (Parts[0] == OutcomeWords[I])
        Answer.Outcome = static_cast<hop_outcome>(I);
    Answer.Reason = Parts[1];
    Answer.RejectedByUpstream = Parts[2] == "1";
  } else if (Response.find(HopAnswerField) == Response.end() &&
             fieldValue(Response, protocol::call_headers::Outcome) ==
                 OutcomeNotRun) {
    Answer.Outcome = hop_outcome::NotRun;
    Answer.Reason = fieldValue(Response, protocol::call_headers::Reason);
  }
  state::load_report Load;
  std::int64_t Wait = 0;
  // Earlier versions don't send the last part.
  if (Parts.size() >= 9 && parseNumber(Parts[3], Load.Running) &&
      parseNumber(Parts[4], Load.Waiting) &&
      parseNumber(Parts[5], Load.Slots) && parseNumber(Parts[6], Wait) &&
      parseNumber(Parts[7], Load.SlowdownPercent) &&
      parseNumber(Parts[8], Load.FailurePercent) &&
      (Parts.size() == 9 || parseNumber(Parts[9], Load.WorkPercent))) {
    Load.ExpectedWait = state::milliseconds(Wait);
    Answer.Load = Load;
  }
  Response.erase(HopAnswerField);
  Answer.Response = std::move(Response);
  return Answer;
}

} // namespace hyssopledge::transport
