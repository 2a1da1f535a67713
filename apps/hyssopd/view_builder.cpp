#include "apps/hyssopd/view_builder.h"

#include <set>
#include <utility>

namespace hyssopledge::hyssopd {

namespace {

std::string targetKey(const state::target_record &Target) {
  return Target.Instance + "#" + std::to_string(Target.Incarnation) + "#" +
         Target.Version;
}

std::vector<state::target_record>
makeTargetRecords(const control::member &Member) {
  std::vector<state::target_record> Targets;
  for (const control::target &Announced : Member.targets()) {
    state::target_record Target;
    Target.Instance = Member.instance();
    Target.Incarnation = Member.incarnation();
    Target.DataCentre = Member.data_centre();
    Target.Address = Member.data_address();
    Target.Service = Announced.service();
    Target.Version = Announced.version();
    Target.Slots = Announced.slots();
    if (Announced.draining())
      Target.State = state::target_state::Draining;
    else if (Member.status() == control::MEMBER_SUSPECT)
      Target.State = state::target_state::Unreachable;
    Targets.push_back(std::move(Target));
  }
  return Targets;
}

// Restores unreachable targets of versions without any serving target: a false
// suspicion of the last target must not refuse calls that it could still run.
void restoreLastTargets(std::vector<state::target_record> &Targets) {
  std::set<std::pair<std::string, std::string>> ServedVersions;
  for (const state::target_record &Target : Targets)
    if (Target.State == state::target_state::Serving)
      ServedVersions.emplace(Target.Service, Target.Version);
  for (state::target_record &Target : Targets)
    if (Target.State == state::target_state::Unreachable &&
        !ServedVersions.contains({Target.Service, Target.Version}))
      Target.State = state::target_state::Serving;
}

} // namespace

void view_builder::publish() {
  PublishedView.publish(std::make_shared<const state::routing_view>(View));
}

void view_builder::setSnapshot(std::shared_ptr<const state::snapshot> Next) {
  View.Snapshot = std::move(Next);
  publish();
}

void view_builder::setMembers(const std::vector<control::member> &Members,
                              state::time_point Now) {
  auto Table = std::make_shared<state::target_table>();
  for (const control::member &Member : Members) {
    if (Member.status() == control::MEMBER_DEAD ||
        Member.status() == control::MEMBER_LEFT)
      continue;
    for (state::target_record &Target : makeTargetRecords(Member))
      Table->Targets.push_back(std::move(Target));
  }
  restoreLastTargets(Table->Targets);
  std::map<std::string, state::time_point> CurrentFirstSeen;
  for (state::target_record &Target : Table->Targets) {
    const std::string Key = targetKey(Target);
    auto Found = FirstSeen.find(Key);
    Target.FirstSeen = Found != FirstSeen.end() ? Found->second : Now;
    CurrentFirstSeen.emplace(Key, Target.FirstSeen);
  }
  FirstSeen = std::move(CurrentFirstSeen);
  Stats.update(*Table);
  View.Targets = std::move(Table);
  publish();
}

void view_builder::setRollouts(
    std::shared_ptr<const state::directive_table> Directives,
    std::shared_ptr<const state::verdict_table> Verdicts) {
  View.Directives = std::move(Directives);
  View.Verdicts = std::move(Verdicts);
  publish();
}

void view_builder::setPoison(std::set<std::uint64_t> Fingerprints) {
  auto Table = std::make_shared<state::poison_table>();
  Table->Fingerprints = std::move(Fingerprints);
  View.Poison = std::move(Table);
  publish();
}

} // namespace hyssopledge::hyssopd
