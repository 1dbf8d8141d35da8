/**
 * DOC: under_way
 *
 * How many requests a router itself has under way at each engine: the one part of an engine's load
 * that it knows without delay.
 */
#ifndef REQUEST_POLICY_UNDER_WAY_H
#define REQUEST_POLICY_UNDER_WAY_H

#include <stdint.h>

typedef struct uwy uwy_t;

uwy_t *uwy_new (void);
void uwy_free (uwy_t *uwy);
void uwy_begin (uwy_t *uwy, uint64_t engine_hash);
void uwy_end (uwy_t *uwy, uint64_t engine_hash);
uint32_t uwy_count (const uwy_t *uwy, uint64_t engine_hash);

#endif
