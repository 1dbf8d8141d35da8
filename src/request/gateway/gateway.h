/**
 * DOC: gateway
 *
 * The data task of a gateway, which is a router that sends requests directly to engines, without
 * sidecars. It accepts requests from clients, finds their route, queues them while all engines are
 * full, sends them to engines and forwards the responses.
 */
#ifndef REQUEST_GATEWAY_GATEWAY_H
#define REQUEST_GATEWAY_GATEWAY_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/settings.h"
#include "request/policy/engines.h"
#include "request/gateway/format.h"
#include "request/policy/retry_share.h"
#include "request/policy/load_news.h"
#include "request/policy/suspect.h"
#include "version/routing.h"

#include <event2/event.h>

typedef struct gwy gwy_t;

/* An engine keeps the shared parts of a prompt in its cache for longer than this, unless the cache
 * is overfull. */
#define GWY_WARM_US (UINT64_C (10) * CLK_US_PER_S)

/**
 * struct gwy_options - options of gwy_new(); the pointers are borrowed
 * @set: settings of the process
 * @engines: engines of all services; the owner reports changes by gwy_engines_changed()
 * @format: adapter for the headers of clients and engines
 * @retries: limit of the retries that all gateways may send
 * @suspected: called with the mark of a request that is suspected of crashing engines, or that is
 *   cleared of it, for the other gateways
 * @high_load: called with a high load that an engine reported, for the other gateways
 * @context: passed to the callbacks
 */
typedef struct
{
  struct event_base *base;
  const clk_t *clk;
  cnt_set_t *counters;
  const set_t *set;
  engines_t *engines;
  const fmt_t *format;
  retry_budget_options_t retries;
  void (*suspected) (const suspect_mark_t *mark, void *context);
  void (*high_load) (const load_report_t *item, void *context);
  void *context;
} gwy_options_t;

gwy_t *gwy_new (const gwy_options_t *options, GError **error);
/** gwy_free() - cancels the requests in flight, as if their clients had disconnected */
void gwy_free (gwy_t *gwy);
/** gwy_set_table() - puts a version of the routing table in force; takes a reference */
void gwy_set_table (gwy_t *gwy, rte_t *table);
/** gwy_set_certain() - sets whether the version in force is known to be the newest one. While it is
 * not, unknown routes and keys get 503, as a newer version may have them */
void gwy_set_certain (gwy_t *gwy, bool certain);
/**
 * gwy_set_routers() - sets how many gateways share the engines
 * @routers: gateways that work now
 * @known: gateways that share the retry budget and may send to the engines, including those that
 *   were not heard from lately; 0 while their number is not known
 */
void gwy_set_routers (gwy_t *gwy, uint32_t routers, uint32_t known);
/** gwy_heard_load() - takes over a high load that an engine reported to another gateway */
void gwy_heard_load (gwy_t *gwy, const load_report_t *item);
/** gwy_heard_suspect() - takes over another gateway's mark of a request that crashes engines, or
 * the clearing of one */
void gwy_heard_suspect (gwy_t *gwy, const suspect_mark_t *mark);
/** gwy_engine_restarted() - the engine @hash at @address was replaced by a new process with its id:
 * the requests that ran there are lost */
void gwy_engine_restarted (gwy_t *gwy, uint64_t hash, const set_address_t *address);
/** gwy_engines_changed() - the set of engines changed; sends queued requests for which there is
 * room now */
void gwy_engines_changed (gwy_t *gwy);
/** gwy_hold() - accepts no connections until gwy_release(); clients that connect have to wait */
void gwy_hold (gwy_t *gwy);
void gwy_release (gwy_t *gwy);
/** gwy_say_close() - begins a stop: from now on responses carry "Connection: close" */
void gwy_say_close (gwy_t *gwy);
/** gwy_stop() - accepts no further connections and requests */
void gwy_stop (gwy_t *gwy);
/** gwy_busy() - number of connections and requests that are not finished; 0 when a stop is complete
 */
uint32_t gwy_busy (const gwy_t *gwy);
/** gwy_port() - port of the listener for clients */
uint16_t gwy_port (const gwy_t *gwy);

#endif
