/**
 * DOC: world_parts
 *
 * What the files of the world share.
 */
#ifndef BENCH_WORLD_PARTS_H
#define BENCH_WORLD_PARTS_H

#include "random.h"
#include "world.h"

#include "request/hop.h"

#define WLD_EXCHANGE_US (250 * 1000)
#define WLD_WORDS 4
#define WLD_WORD_AGE_US (5 * CLK_US_PER_S)
#define WLD_CENTERS 3

typedef struct wld wld_t;
typedef struct wld_engine wld_engine_t;
typedef struct wld_flight wld_flight_t;

/** struct wld_view - a host list as some of the daemons see it */
typedef struct
{
  mem_t *members;
  plc_engine_t *engines;
  chs_engine_t *details;
  uint32_t count;
  GHashTable *live; /* set of engine hashes */
  uint64_t lag_us;
  wld_t *world;
} wld_view_t;

/** struct wld_daemon - what a daemon does in the exchange */
typedef struct
{
  wld_view_t *view;
  mean_table_t *mean;
  wld_engine_t *engine; /* NULL for a router */
  mem_word_t words[WLD_WORDS];
  uint64_t heard_us[WLD_WORDS];
  uint32_t word_next;
} wld_daemon_t;

typedef struct
{
  wld_daemon_t daemon;
  mean_table_t samples;
  hlt_t *health;
  att_budget_t budget;
  uwy_t *under_way;
  uint64_t now_us; /* for the callback of chs_choose() */
} wld_router_t;

/** struct wld_engine - @counted: its load is part of the true mean */
struct wld_engine
{
  wld_daemon_t daemon;
  char name[LIM_NAME_BYTES];
  uint64_t hash;
  uint32_t index;
  adm_t *adm;
  cch_t *cache;
  GQueue running; /* of wld_flight_t */
  uint64_t incarnation;
  uint32_t sequence;
  bool present;
  bool reachable;
  bool dark; /* to routers */
  bool leaving;
  bool counted;
};

/** struct wld_flight - a request under way */
struct wld_flight
{
  adm_request_t request;
  att_t att;
  wkl_session_t *session;
  wkl_turn_t turn;
  wld_router_t *router;
  wld_engine_t *engine;
  uint64_t arrived_us;
  uint64_t first_token_us;
  uint32_t hops;
  void *run; /* of the event that ends it */
  GList link;
};

/** struct wld_true - loads as they are: of all engines that are counted */
typedef struct
{
  uint32_t *engines_at; /* by load */
  uint32_t room;
  uint32_t count;
  uint32_t max;
  uint64_t sum;
} wld_true_t;

struct wld
{
  wld_options_t options;
  fig_t *figures;
  evt_queue_t events;
  uint64_t now_us;
  uint64_t end_us;
  uint64_t service_hash;
  uint64_t account_hash[WKL_ACCOUNTS];
  uint64_t random_sessions;
  uint64_t random_surge;
  uint64_t random_world;
  wld_engine_t *engines;
  uint32_t engine_count; /* with those that join later */
  wld_router_t *routers;
  wld_view_t *views;
  uint32_t view_count;
  GHashTable *by_hash;
  wld_true_t loads;
  bool surging;
};

typedef enum
{
  EVT_SESSION,
  EVT_SURGE_SESSION,
  EVT_RETURN,
  EVT_FINISH,
  EVT_EXCHANGE,
  EVT_FAULT,
  EVT_LIST
} evt_kind_t;

static inline bool
wld_measured (const wld_t *world)
{
  return world->now_us >= world->options.warm_up_us && world->now_us < world->end_us;
}

/* world_engine.c */
void eng_open (wld_t *world, wld_engine_t *engine, bool joined);
void eng_configure (wld_t *world, wld_engine_t *engine);
void eng_close (wld_t *world, wld_engine_t *engine);
void eng_leave (wld_t *world, wld_engine_t *engine);
void eng_crash (wld_t *world, wld_engine_t *engine);
/** eng_offer() - Return: whether the engine took it, to run or to wait; else @decision says why */
bool eng_offer (wld_t *world, wld_engine_t *engine, wld_flight_t *flight, adm_decision_t *decision);
void eng_finish (wld_t *world, void *run);
/** eng_pump() - reject and start what waits, as the owner of an adm_t does after each event */
void eng_pump (wld_t *world, wld_engine_t *engine);
void eng_count (wld_t *world, wld_engine_t *engine, bool counted);

/* world_router.c */
void rtr_open (wld_t *world, wld_router_t *router, uint32_t index);
void rtr_close (wld_router_t *router);
void rtr_begin (wld_t *world, wld_router_t *router, wkl_session_t *session);
void rtr_refused (wld_t *world, wld_flight_t *flight, const adm_decision_t *decision);
void rtr_lost (wld_t *world, wld_flight_t *flight);
void rtr_answered (wld_t *world, wld_flight_t *flight);

/* world_list.c */
void lst_open (wld_t *world, wld_view_t *view);
void lst_close (wld_view_t *view);
/** lst_change() - the platform's list changes; each view hears of it after its lag */
void lst_change (wld_t *world, const wld_engine_t *engine, mem_state_t state);
void lst_arrive (wld_t *world, wld_view_t *view, void *change);
void lst_hear (wld_t *world, wld_daemon_t *daemon, const mem_word_t *word);
void lst_rebuild (wld_t *world, wld_view_t *view);
bool lst_is_live (uint64_t engine_hash, void *view);
/** lst_exchange() - one daemon's message to a random peer, and the answer */
void lst_exchange (wld_t *world, uint32_t number);
wld_daemon_t *lst_daemon (wld_t *world, uint32_t number);
uint32_t lst_daemon_count (const wld_t *world);
void lst_tell (wld_t *world, wld_daemon_t *from, wld_daemon_t *to);

/* world_fault.c */
void flt_plan (wld_t *world);
void flt_happen (wld_t *world, uint32_t action, wld_engine_t *engine);
void flt_session (wld_t *world, bool of_surge);

#endif
