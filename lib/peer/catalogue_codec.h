// Protobuf encoding of the catalogue and of group records.

#ifndef MARJORAMSLIP_PEER_CATALOGUE_CODEC_H_
#define MARJORAMSLIP_PEER_CATALOGUE_CODEC_H_

#include "marjoramslip/base/result.h"
#include "marjoramslip/catalogue/catalogue.h"
#include "marjoramslip/core/group_record.h"
#include "peer.pb.h"

namespace marjoramslip::peer {

/// Encodes a group record.
void Write(const group_record& value, proto::GroupRecord& out);
/// Decodes a group record. Fails with kInvalid if a value is out of range or
/// the forks are out of order.
result<group_record> Read(const proto::GroupRecord& in);

/// Encodes a catalogue.
void Write(const catalogue& value, proto::CatalogueNews& out);
/// Decodes a catalogue. Fails with kInvalid if a value is out of range, or a
/// name is missing or duplicated.
result<catalogue> Read(const proto::CatalogueNews& in);

}  // namespace marjoramslip::peer

#endif  // MARJORAMSLIP_PEER_CATALOGUE_CODEC_H_
