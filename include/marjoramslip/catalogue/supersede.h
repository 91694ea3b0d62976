// Which catalogue is in force when several have arrived.

#ifndef MARJORAMSLIP_CATALOGUE_SUPERSEDE_H_
#define MARJORAMSLIP_CATALOGUE_SUPERSEDE_H_

#include <optional>

#include "marjoramslip/catalogue/catalogue.h"

namespace marjoramslip {

/// Returns the catalogue in force once `update` has arrived after `in_force`;
/// empty if that changes nothing.
///
/// The endpoints of the higher revision are in force, and all else of the
/// higher declared version, whichever revision has it. Instances count
/// revisions on by themselves, and a store that goes back to an older copy
/// gives them out again, so a higher revision may come with older declarations.
std::optional<catalogue> Supersede(const catalogue& in_force,
                                   const catalogue& update);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CATALOGUE_SUPERSEDE_H_
