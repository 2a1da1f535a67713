/// \file
/// Parses and formats the operators' configuration document (JSON) and splits
/// it into immutable parts that are addressed by their SHA-256 hash.
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

/// Parses a document and checks its size, syntax, schema (unknown keys are
/// errors) and references. The failure lists each problem with its path, the
/// invalid value and the expected one. InvalidDocument, or TooLarge above
/// MaxDocumentBytes.
state::result<state::document> parseDocument(std::string_view Json);

/// Formats canonical JSON: equal documents give equal bytes.
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

/// Splits a document into one part for each service with its routes and one for
/// the rest, so that a change of one service changes a single part.
split_document splitDocument(const state::document &Document);

/// Returns the bytes of the part with this raw hash, or none.
using part_lookup =
    std::function<std::optional<std::string>(const std::string &Hash)>;

/// Returns the raw hashes of the parts that the lookup does not have.
/// InvalidMessage when the manifest can't be decoded.
state::result<std::vector<std::string>> missingParts(std::string_view Manifest,
                                                     const part_lookup &Lookup);

/// Reassembles a document and verifies each part against its hash. NotFound
/// when a part is missing, InvalidMessage for a corrupt manifest or part,
/// InvalidDocument when the result is no valid document, TooLarge when the
/// parts exceed twice MaxDocumentBytes.
state::result<state::document> joinParts(std::string_view Manifest,
                                         const part_lookup &Lookup);

//-----------------------------------------------------------------------------
// Hashes
//-----------------------------------------------------------------------------

std::string sha256(std::string_view Data);   // 32 raw bytes
std::string hexEncode(std::string_view Raw); // two lower-case digits a byte

} // namespace hyssopledge::protocol
