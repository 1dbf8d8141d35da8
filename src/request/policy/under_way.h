/**
 * DOC: under_way
 *
 * How many of a router's own requests each engine is serving: the only part of an engine's load
 * that the router knows without delay.
 */
#ifndef REQUEST_POLICY_UNDER_WAY_H
#define REQUEST_POLICY_UNDER_WAY_H

#include <stdint.h>

typedef struct uwy uwy_t;

uwy_t *uwy_new (void);
void uwy_free (uwy_t *uwy);
/** uwy_begin() - a request is sent to the engine */
void uwy_begin (uwy_t *uwy, uint64_t engine_hash);
/** uwy_end() - a request that was sent to the engine has ended; one call for each uwy_begin() */
void uwy_end (uwy_t *uwy, uint64_t engine_hash);
/** uwy_count() - Return: number of requests at the engine */
uint32_t uwy_count (const uwy_t *uwy, uint64_t engine_hash);

#endif
