/**
 * DOC: room_site
 *
 * A plain service with few slots behind any number of gateways, for bench-room and its test: four
 * engines of six slots, of which one is slow and one slows down when it is nearly full.
 */
#ifndef BENCH_GATEWAY_ROOM_SITE_H
#define BENCH_GATEWAY_ROOM_SITE_H

#include "sim.h"

/* Requests that the engines can run at once at their full speed, in thousandths: two engines of
 * six slots, one of six whose work takes 1.6 times as long, and one that does most with five. */
#define ROOM_SITE_CAPACITY_MILLI (6000 + 6000 + 3750 + 5000)

/** room_site_make() - Return: the site with @gateways, whose plain requests take @load_milli
 * thousandths of %ROOM_SITE_CAPACITY_MILLI */
site_t room_site_make (uint32_t gateways, uint32_t load_milli);
/** room_site_credit() - Return: what callers get of @count: 1 for a response on time, 0.1 for a
 * late one, divided by the number of requests */
double room_site_credit (const sim_count_t *count);

#endif
