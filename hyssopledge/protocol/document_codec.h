/// \file
/// The operators' document as JSON, and its cut into immutable parts named by
/// their hash.
#pragma once

#include "hyssopledge/state/document.h"
#include "hyssopledge/state/result.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopledge::protocol {

//-----------------------------------------------------------------------------
// JSON
//-----------------------------------------------------------------------------

constexpr std::size_t MaxDocumentBytes = 1024 * 1024;

/// Checks size, syntax, schema (unknown keys are errors) and references. A
/// failure lists each problem with its path, the wrong value and what would be
/// right.
state::result<state::document> parseDocument(std::string_view Json);

/// Canonical JSON: the same document gives the same bytes.
std::string formatDocument(const state::document &Document);

//-----------------------------------------------------------------------------
// Parts
//-----------------------------------------------------------------------------

struct document_part {
  std::string Name; // "environment" or "service/NAME"
  std::string Hash; // SHA-256 of Data, 32 raw bytes
  std::string Data;
};

struct split_document {
  std::string ManifestHash; // SHA-256 of Manifest, 32 raw bytes
  std::string Manifest;     // serialized control::manifest
  std::vector<document_part> Parts;
};

/// One part for each service with its routes, and one for the rest. A change of
/// one service changes one part.
split_document splitDocument(const state::document &Document);

/// Finds a part's bytes by its raw hash.
using part_lookup =
    std::function<std::optional<std::string>(const std::string &Hash)>;

/// Raw hashes of the parts that the lookup does not have; InvalidMessage when
/// the manifest can't be decoded.
state::result<std::vector<std::string>> missingParts(std::string_view Manifest,
                                                     const part_lookup &Lookup);

/// Puts the document together and checks each part against its hash. All parts
/// must be there.
state::result<state::document> joinParts(std::string_view Manifest,
                                         const part_lookup &Lookup);

//-----------------------------------------------------------------------------
// Hashes
//-----------------------------------------------------------------------------

std::string sha256(std::string_view Data); // 32 raw bytes
std::string hexEncode(std::string_view Raw);

} // namespace hyssopledge::protocol
