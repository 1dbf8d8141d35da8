/**
 * DOC: origin_fleet_engines
 *
 * Engines of several software versions with their slots, in virtual time, and the registry, which
 * shows them to each gateway as they were some time ago.
 */
#ifndef TESTS_ORIGIN_FLEET_ENGINES_H
#define TESTS_ORIGIN_FLEET_ENGINES_H

#include "request/policy/engines/software_versions.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define ORIGIN_FLEET_NO_ENGINE UINT32_MAX
#define ORIGIN_FLEET_VERSIONS 2 /* versions are numbered from 1 */

typedef struct origin_fleet_engines origin_fleet_engines_t;
typedef struct origin_fleet_registry origin_fleet_registry_t;

/** origin_fleet_engines_new() - @slots: of each engine */
origin_fleet_engines_t *origin_fleet_engines_new (GRand *rand, uint32_t slots);
void origin_fleet_engines_free (origin_fleet_engines_t *engines);
/** origin_fleet_engines_add() - an engine starts. Return: its index */
uint32_t
origin_fleet_engines_add (origin_fleet_engines_t *engines, uint64_t now_us, uint64_t version);
/** origin_fleet_engines_leave() - an engine takes no more streams, and completes those it has */
void origin_fleet_engines_leave (origin_fleet_engines_t *engines, uint64_t now_us, uint32_t engine);
/** origin_fleet_engines_crash() - an engine ends; the registry shows it until its entry lapses */
void origin_fleet_engines_crash (origin_fleet_engines_t *engines, uint64_t now_us, uint32_t engine);
/** origin_fleet_engines_find() - an engine of @version that takes streams, or
 * %ORIGIN_FLEET_NO_ENGINE */
uint32_t origin_fleet_engines_find (const origin_fleet_engines_t *engines, uint64_t version);
bool origin_fleet_engines_is_up (const origin_fleet_engines_t *engines, uint32_t engine);
uint64_t origin_fleet_engines_version (const origin_fleet_engines_t *engines, uint32_t engine);
/** origin_fleet_engines_release() - a stream has ended at an engine */
void origin_fleet_engines_release (origin_fleet_engines_t *engines, uint32_t engine);
/** origin_fleet_engines_used_milli() - used part of the slots of the open engines of @version */
uint32_t origin_fleet_engines_used_milli (const origin_fleet_engines_t *engines, uint64_t version);

/** origin_fleet_registry_new() - the registry as a gateway reads it from now on; it shows all that
 * was in it at @read_us, and later changes after @lag_us */
origin_fleet_registry_t *origin_fleet_registry_new (origin_fleet_engines_t *engines,
                                                    uint64_t now_us,
                                                    uint64_t read_us,
                                                    uint64_t lag_us);
void origin_fleet_registry_free (origin_fleet_registry_t *registry);
/** origin_fleet_registry_step() - shows the changes that are due */
void origin_fleet_registry_step (origin_fleet_registry_t *registry, uint64_t now_us);
const software_versions_t *origin_fleet_registry_versions (const origin_fleet_registry_t *registry);
/** origin_fleet_registry_count() - number of engines of @version that it shows */
uint32_t origin_fleet_registry_count (const origin_fleet_registry_t *registry, uint64_t version);
/** origin_fleet_registry_begin() - takes a slot for a new stream, at @version unless that is 0.
 * Return: the engine, chosen at random, or %ORIGIN_FLEET_NO_ENGINE when none had room */
uint32_t
origin_fleet_registry_begin (origin_fleet_registry_t *registry, uint64_t now_us, uint64_t version);
/** origin_fleet_registry_resume() - takes a slot for a stream that goes on only at @version */
uint32_t origin_fleet_registry_resume (origin_fleet_registry_t *registry, uint64_t version);

#endif
