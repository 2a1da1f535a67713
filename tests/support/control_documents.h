/// \file
/// Documents and head records for tests of the control plane.
#pragma once

#include "hyssopledge/coordination/keys.h"
#include "hyssopledge/coordination/platform_store.h"
#include "hyssopledge/protocol/document_codec.h"
#include "hyssopledge/protocol/generated/control.pb.h"

#include <string>

namespace hyssopledge::tests {

/// Revision changes the first route only.
inline state::document makeDocument(const std::string &Environment,
                                    std::size_t Services,
                                    std::uint64_t Revision = 0) {
  state::document Document;
  Document.Environment = Environment;
  Document.Lease.InitialDuration = std::chrono::seconds(20);
  Document.Lease.MaxDuration = std::chrono::seconds(80);
  for (std::size_t I = 0; I < Services; ++I) {
    state::service_spec Service;
    Service.Name = "service" + std::to_string(I);
    Service.Versions = {"v1", "v2"};
    Service.StableVersion = "v1";
    Document.Services.push_back(Service);
    state::route_spec Route;
    Route.Name = "route" + std::to_string(I);
    Route.PathPrefix = "/" + Service.Name;
    Route.Service = Service.Name;
    if (I == 0)
      Route.Timeout = state::milliseconds(1000 + Revision);
    Document.Routes.push_back(Route);
  }
  return Document;
}

inline control::head makeHead(const std::string &Environment,
                              std::uint64_t Version,
                              const std::string &ManifestHash) {
  control::head Head;
  Head.set_environment(Environment);
  Head.set_version(Version);
  Head.set_manifest_hash(ManifestHash);
  return Head;
}

/// Writes the parts of the document and updates the head record in one
/// transaction, as hyssopctl does.
inline control::head commitDocument(coordination::platform_store &Platform,
                                    const state::document &Document,
                                    std::uint64_t Version,
                                    std::int64_t HeadRevision) {
  const protocol::split_document Split = protocol::splitDocument(Document);
  coordination::platform_txn Txn;
  auto Put = [&Txn](const std::string &Hash, const std::string &Data) {
    Txn.Puts.push_back(
        {coordination::keys::part(protocol::hexEncode(Hash)), Data, 0});
  };
  for (const protocol::document_part &Part : Split.Parts)
    Put(Part.Hash, Part.Data);
  Put(Split.ManifestHash, Split.Manifest);
  control::head Head =
      makeHead(Document.Environment, Version, Split.ManifestHash);
  const std::string Key = coordination::keys::head(Document.Environment);
  Txn.Conditions = {{Key, HeadRevision}};
  Txn.Puts.push_back({Key, Head.SerializeAsString(), 0});
  Platform.commit(Txn, [](const auto &) {});
  return Head;
}

} // namespace hyssopledge::tests
