/**
 * DOC: gateway_peers
 *
 * The other gateways: their addresses from the gateway registry (the stream of routers), which of
 * them were heard lately on the exchange, how far they have read the store, and which of them
 * follow it.
 *
 * A few gateways, the followers, read the store continuously; the others learn from peers that
 * there are records which they lack. So the number of store calls does not grow with the fleet.
 * Followers are chosen by rendezvous hashing among the gateways heard lately, so no host is
 * dedicated to this and a lost follower is replaced without any configuration.
 */
#ifndef PROCESS_GATEWAY_PEERS_H
#define PROCESS_GATEWAY_PEERS_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/settings.h"
#include "request/policy/load_news.h"
#include "request/policy/suspect.h"

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define GPR_TAILS 3 /* followers of the store: two may be lost at once */
/* Gateways that contact the same gateway nearer to the store: 2 KB a second of replies. */
#define GPR_FANOUT 8
/* Minimum time after its last message for which a peer counts as alive. */
#define GPR_HEARD_US (UINT64_C (5000) * 1000)
/* Every message gets a reply, and one is sent in each interval of the exchange: a gateway that
 * hears no peer for this long is disconnected from them. */
#define GPR_ALONE_US (UINT64_C (2000) * 1000)
/* A peer also counts as alive for this many exchange intervals per known peer. In that time it is
 * heard four times on average, by its messages and by its replies to ours, so by calculation one
 * peer in fifty is missed. */
#define GPR_HEARD_TURNS 2
/* Reply timeout. A reply takes a few milliseconds, longer on a host short of processor time. */
#define GPR_ANSWER_US (UINT64_C (1000) * 1000)
/* Number of peers that get a message at once when the store has news; each of them does the same.
 * By calculation two of 31 gateways are left, which learn of it from their next regular message. */
#define GPR_NEWS_TELLS 3

/**
 * struct gpr_known - how far a gateway has read the store
 * @routing_next: next offset to read of the stream of routing rules
 * @engines_next: next offset to read of the engine registry
 * @routers_next: next offset to read of the gateway registry
 * @store_age_ms: time since the last contact with the store, direct or through peers
 */
typedef struct
{
  uint64_t routing_next;
  uint64_t engines_next;
  uint64_t routers_next;
  uint32_t store_age_ms;
} gpr_known_t;

/**
 * struct gpr_options - options of gpr_new()
 * @incarnation: start time of this process, in milliseconds since 1970
 * @get_progress: returns how far this gateway has read the store
 * @on_progress: a peer reported its progress @theirs; @control is its control address
 * @on_suspect: a peer reported something new about a request that crashes its engines
 * @on_load: a peer reported a load of an engine that is more recent than any report before
 */
typedef struct
{
  struct event_base *base;
  const clk_t *clk;
  cnt_set_t *counters;
  const set_t *set;
  uint64_t incarnation;
  gpr_known_t (*get_progress) (void *context);
  void (*on_progress) (const gpr_known_t *theirs, const set_address_t *control, void *context);
  void (*on_suspect) (const suspect_mark_t *mark, void *context);
  void (*on_load) (const load_report_t *item, void *context);
  void *context;
} gpr_options_t;

typedef struct gpr gpr_t;

/** gpr_new() - opens the exchange. Return: NULL with @error when its address cannot be used */
gpr_t *gpr_new (const gpr_options_t *options, GError **error);
void gpr_free (gpr_t *peers);
/** gpr_entry() - this gateway's entry for the gateway registry, to be freed by g_free() */
char *gpr_entry (const gpr_t *peers);
/** gpr_put() - applies an entry of the gateway registry; @entry is NULL when it was removed */
void gpr_put (gpr_t *peers, const char *name, const char *entry);
/** gpr_add_suspect() - reports a request that crashes its engines to peers, to some of them at
 * once */
void gpr_add_suspect (gpr_t *peers, const suspect_mark_t *mark);
/** gpr_add_load() - adds a high load that an engine reported here to the next messages to peers */
void gpr_add_load (gpr_t *peers, const load_report_t *item);
/** gpr_tell_news() - sends %GPR_NEWS_TELLS peers a message in the next turn of the event loop,
 * after all records of the current read have been applied */
void gpr_tell_news (gpr_t *peers);
/** gpr_count() - number of gateways that may be running, including this one: those that count as
 * alive, but at least half of the known ones, so that a disconnected gateway does not take over the
 * share of all the others */
uint32_t gpr_count (const gpr_t *peers);
/** gpr_sharers() - number of gateways in the gateway registry, running or not, including this one;
 * 0 unless the registry has been @listed */
uint32_t gpr_sharers (const gpr_t *peers, bool listed);
/** gpr_before() - number of live gateways that rank before this one; the first %GPR_TAILS follow
 * the store */
uint32_t gpr_before (const gpr_t *peers);
/** gpr_is_alone() - whether no peer was heard within %GPR_ALONE_US */
bool gpr_is_alone (const gpr_t *peers);
/** gpr_some() - gets the control address of a random peer, preferably a live one. Return: false
 * when no peer is known */
bool gpr_some (gpr_t *peers, set_address_t *control);

#endif
