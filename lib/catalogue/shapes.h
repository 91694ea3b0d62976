// The JSON format of services and release notes.

#ifndef MARJORAMSLIP_LIB_CATALOGUE_SHAPES_H_
#define MARJORAMSLIP_LIB_CATALOGUE_SHAPES_H_

#include "marjoramslip/catalogue/release_note.h"
#include "marjoramslip/json/fields.h"

namespace marjoramslip {

/// Returns the fields of a service.
const json::shape<service_spec>& ServiceShape();

/// Returns the fields of a release note.
const json::shape<release_note>& NoteShape();

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CATALOGUE_SHAPES_H_
