#include "hyssopledge/coordination/directive_store.h"

#include <algorithm>
#include <tuple>

namespace hyssopledge::coordination {

state::rollout_directive toDirective(const control::rollout_record &Record) {
  state::rollout_directive Directive;
  Directive.Service = Record.service();
  Directive.FromVersion = Record.from_version();
  Directive.ToVersion = Record.to_version();
  Directive.Generation = Record.generation();
  Directive.Step = Record.step();
  Directive.Share = Record.share();
  Directive.Phase = static_cast<state::rollout_phase>(Record.phase());
  return Directive;
}

std::uint64_t directiveRevision(std::uint64_t Generation, std::uint64_t Step) {
  // 2^20 steps per generation exceed a rollout of a year with a step a minute.
  constexpr std::uint64_t StepBits = 20;
  constexpr std::uint64_t MaxStep = (1U << StepBits) - 1;
  return (Generation << StepBits) | std::min(Step, MaxStep);
}

control::gossip_record encodeDirective(const control::rollout_record &Record) {
  control::rollout_record Payload = Record;
  Payload.clear_decisions();
  control::gossip_record Encoded;
  Encoded.set_kind(control::RECORD_DIRECTIVE);
  Encoded.set_key(Record.service());
  Encoded.set_revision(directiveRevision(Record.generation(), Record.step()));
  Encoded.set_payload(Payload.SerializeAsString());
  return Encoded;
}

state::result<bool>
directive_store::accept(const control::gossip_record &Record) {
  control::rollout_record Payload;
  if (Record.kind() != control::RECORD_DIRECTIVE ||
      !Payload.ParseFromString(Record.payload()) ||
      Payload.service() != Record.key())
    return state::failure(state::errc::InvalidMessage,
                          "record " + Record.key() +
                              " is not a rollout directive");
  if (!(Payload.share() >= 0 && Payload.share() <= 1) ||
      Payload.phase() >
          static_cast<std::uint32_t>(state::rollout_phase::RolledBack))
    return state::failure(state::errc::InvalidMessage,
                          "directive of service " + Record.key() +
                              " has share " + std::to_string(Payload.share()) +
                              " and phase " + std::to_string(Payload.phase()) +
                              "; expected 0..1 and 0..3");
  return accept(Payload);
}

bool directive_store::accept(const control::rollout_record &Record) {
  auto Found = Directives.find(Record.service());
  if (Found != Directives.end() &&
      std::tuple(Record.generation(), Record.step()) <=
          std::tuple(Found->second.Generation, Found->second.Step))
    return false;
  Directives[Record.service()] = toDirective(Record);
  Records[Record.service()] = encodeDirective(Record);
  std::erase_if(Avoided, [&](const vote_subject &Subject) {
    return Subject.Service == Record.service() &&
           Subject.Generation < Record.generation();
  });
  return true;
}

void directive_store::avoid(const vote_subject &Subject) {
  Avoided.insert(Subject);
}

std::shared_ptr<const state::directive_table>
directive_store::directives() const {
  auto Table = std::make_shared<state::directive_table>();
  Table->ByService = Directives;
  return Table;
}

std::shared_ptr<const state::verdict_table>
directive_store::verdicts(const vote_set &Votes,
                          const electorate &Electorate) const {
  auto Table = std::make_shared<state::verdict_table>();
  for (const auto &[Service, Directive] : Directives) {
    const vote_subject Subject{Service, Directive.ToVersion,
                               Directive.Generation};
    if (Directive.Phase == state::rollout_phase::RolledBack ||
        Votes.condemned(Subject, Electorate))
      Table->Condemned.emplace(Service, Directive.ToVersion);
    if (Avoided.contains(Subject))
      Table->Avoided.emplace(Service, Directive.ToVersion);
  }
  return Table;
}

std::map<std::string, std::uint64_t> directive_store::revisions() const {
  std::map<std::string, std::uint64_t> Revisions;
  for (const auto &[Service, Record] : Records)
    Revisions[Service] = Record.revision();
  return Revisions;
}

std::vector<control::directive_position> directive_store::positions() const {
  std::vector<control::directive_position> Positions;
  for (const auto &[Service, Directive] : Directives) {
    control::directive_position &Position = Positions.emplace_back();
    Position.set_service(Service);
    Position.set_generation(Directive.Generation);
    Position.set_step(Directive.Step);
  }
  return Positions;
}

std::vector<control::gossip_record> directive_store::records() const {
  std::vector<control::gossip_record> All;
  for (const auto &[Service, Record] : Records)
    All.push_back(Record);
  return All;
}

} // namespace hyssopledge::coordination
