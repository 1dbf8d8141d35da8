/**
 * DOC: drain
 *
 * How fast an engine frees its slots, measured: the base of every wait that a caller is told.
 * By Little's law an engine with L requests of mean length S ends one every S / L, so the figure
 * follows the load at once and needs no window.
 */
#ifndef REQUEST_POLICY_DRAIN_H
#define REQUEST_POLICY_DRAIN_H

#include <stdint.h>

/**
 * struct drn - drain rate of one engine
 * @length_us: mean length of a request, 0 before anything is known
 * @last_us: the last time that a request ended, or that the engine stopped being idle
 */
typedef struct
{
  uint64_t length_us;
  uint64_t last_us;
} drn_t;

/** drn_started() - @load_before requests ran; @guess_us stands in until a length was measured */
void drn_started (drn_t *drn, uint64_t now_us, uint32_t load_before, uint64_t guess_us);
void drn_finished (drn_t *drn, uint64_t now_us, uint64_t length_us);
/** drn_interval_us() - expected time between two ends at @load */
uint64_t drn_interval_us (const drn_t *drn, uint64_t now_us, uint32_t load);

#endif
