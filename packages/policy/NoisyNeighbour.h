/** \file
 * Tells whether a slow request is explained by other users of the backend server's machine.
 *
 * Load pattern: the machine is shared, and work takes several times its usual time for a fraction
 * of a second. The concurrency limit would take this for too much concurrency and be lowered, which
 * only reduces throughput.
 */
#pragma once

#include "model/BackendLoad.h"
#include "model/Time.h"

namespace fulmarway {

/** aLoad came with the answer of the request, aMean is the mean service time of its kind, zero
 * while unknown. False if the backend server has a queue, or if the request took longer than the
 * report explains: then the report is not used. */
bool
IsSlowedByNeighbours(const BackendLoad& aLoad, Duration aElapsed, Duration aMean);

} // namespace fulmarway
