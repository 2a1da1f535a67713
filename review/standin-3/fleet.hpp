/// \file
/// A small deployment: the store, three machines with their daemons, and a
/// target beside each.
#pragma once

#include "standin.hpp"

namespace review {

//--- Bounds of the settings ---------------------------------------------------
constexpr double DrainMs = 2000;
constexpr double ContactMs = 3000;

inline bool troubleWanted() {
  const char *Text = std::getenv("TROUBLE");
  return Text == nullptr || std::string(Text) != "0";
}

struct fleet {
  std::string Block = freeBlock();
  store Store{Block + "1:8309"};
  std::vector<std::unique_ptr<machine>> Machines;
  run_log Log;
  std::vector<std::unique_ptr<target>> Targets;

  /// Starts a machine for each service and waits until all daemons are ready
  /// and know all targets.
  fleet(const std::string &Program, const std::string &Folder,
        const std::vector<std::string> &Services, const std::string &Config,
        double WorkMs, unsigned MaxDescriptors = 4100) {
    Store.put("op/config", Config);
    for (std::size_t I = 0; I < Services.size(); ++I)
      Machines.push_back(std::make_unique<machine>(
          machine_spec{"sidecar-" + std::to_string(I + 1),
                       "zone-" + std::string(1, static_cast<char>('a' + I)),
                       Services[I], Block + std::to_string(I + 2),
                       Store.address(), MaxDescriptors},
          Program, Folder));
    for (std::size_t I = 0; I < Services.size(); ++I) {
      Machines[I]->start();
      Targets.push_back(std::make_unique<target>(
          *Machines[I], "i-000" + std::to_string(I + 1), Log, WorkMs));
    }
    for (auto &Target : Targets)
      Target->startBeats();
    for (int I = 0; I < 150; ++I) {
      if (std::all_of(Machines.begin(), Machines.end(),
                      [](const auto &M) { return M->ready(); })) {
        sleepMs(ContactMs);
        return;
      }
      sleepMs(100);
    }
    cannotRun("the daemons do not become ready");
  }
};

/// Clients of one machine, each request on a connection of its own.
class clients {
public:
  clients(std::string Address, unsigned Count, const std::string &Method,
          const std::string &Prefix, const std::string &IdPrefix)
      : Address(std::move(Address)) {
    for (unsigned I = 0; I < Count; ++I)
      Threads.emplace_back([this, I, Method, Prefix, IdPrefix] {
        sleepMs(25.0 * I); // out of step with the others
        while (Sending) {
          char Number[16];
          std::snprintf(Number, sizeof Number, "%06u", ++Next);
          const std::string Id = IdPrefix + Number;
          const message Answer =
              callOnce(this->Address,
                       request(Method, Prefix + Id,
                               {{"Host", "shop.example"},
                                {"Attempt-Id", Id},
                                {"Deadline-Ms", "2000"}},
                               Method == "POST" ? "blazer" : ""),
                       2500);
          {
            const std::lock_guard<std::mutex> Lock(Mutex);
            Answers[Id] = Answer.Complete ? Answer.status() : 0;
          }
          sleepMs(100);
        }
      });
  }
  ~clients() { stop(); }
  void stop() {
    Sending = false;
    for (std::thread &Thread : Threads)
      Thread.join();
    Threads.clear();
  }
  /// Number of requests answered with this status; 0: without a whole answer.
  unsigned count(int Status) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    unsigned Count = 0;
    for (const auto &[Id, Known] : Answers)
      Count += Known == Status ? 1 : 0;
    return Count;
  }
  unsigned count() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return static_cast<unsigned>(Answers.size());
  }
  int answer(const std::string &Id) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Answers.find(Id);
    return Found == Answers.end() ? -1 : Found->second;
  }

private:
  std::string Address;
  std::atomic<bool> Sending{true};
  std::atomic<unsigned> Next{0};
  std::mutex Mutex;
  std::map<std::string, int> Answers;
  std::vector<std::thread> Threads;
};

} // namespace review
