/**
 * DOC: spread
 *
 * Which engine of a service gets a request that the router sends there itself. A pure function.
 *
 * Requests that share a long part of their prompt go to the engine that ranks first for that part
 * by rendezvous hashing, where it is likely to be cached; to the next in rank when that one would
 * go over the load bound. Requests without such a part go to the least loaded of the own data
 * centre, or of all when that is much less loaded.
 */
#ifndef REQUEST_POLICY_SPREAD_H
#define REQUEST_POLICY_SPREAD_H

#include "request/policy/engines.h"
#include "request/policy/home_regions.h"

/*
 * The bound: the mean load, and beyond it a part of the mean and some requests, both in
 * thousandths. Over twice the mean and three more an engine would be overloaded. Loads of other
 * routers are known late, and with many of them each sends without knowing what the others send. So
 * of that a third go to any number of gateways, and the rest to a few, and less to more. With a
 * narrower margin more requests leave the home of their part, where no copy of it has to be moved
 * or read; with a wider one more of them meet an engine over the bound.
 */
/* Users call an engine overloaded from so many times the mean of its service on, and so much more,
 * in thousandths of a request. */
#define SPR_OVERLOAD_FACTOR 2
#define SPR_OVERLOAD_MORE_MILLI 3000
#define SPR_BOUND_MILLI 300
#define SPR_BOUND_MORE_MILLI 1100
#define SPR_FEW_MILLI 650
#define SPR_FEW_MORE_MILLI 1400
#define SPR_FEW_GATEWAYS UINT64_C (4)
/* Of its share of the slots' time, what a gateway waits at least between sends to a full engine. At
 * its whole share engines stood idle for moments (on time 0.976 of all for 0.991, bench-gateway).
 */
#define SPR_SHARE_PART 2
#define SPR_MARGIN_KEPT 2 /* one part in so many of the margin stays when engines are full */
/* Engines are crowded from this share of their slots on, in thousandths. Below it a free slot is
 * found near the first in rank anyway; other values were not measured. */
#define SPR_CROWDED_MILLI 800
/* Engines in rank that a request may go to then: a part has so many homes at most. Three, so that
 * one that fails and one that is full leave another; other values were not measured. */
#define SPR_FEW_HOMES 3
/* From here on, in thousandths of the slots, engines are full on the whole, and a gateway keeps to
 * its share of all slots: what it knows of single engines is older. */
#define SPR_FULL_MILLI 1000
/* Where its share is smaller than this it can't keep to it evenly: of six slots that 22 gateways
 * share some would stand idle. */
#define SPR_SHARE_SLOTS 4
/* A part of so few tokens is read in 9 ms or copied in 1 ms, so a second home of it costs little; a
 * second home of parts of 10,000 tokens doubled the bytes of memory moved in a day. */
#define SPR_SMALL_TOKENS 1000
/* An engine of the own data centre is preferred while it has at most so many requests more. */
#define SPR_NEAR_MORE 1
/*
 * An engine that joined less than this ago does not hold yet what its rank says: chats return to
 * most shared parts within it.
 */
#define SPR_NEW_US (UINT64_C (10) * 1000 * 1000)
/* An engine that has joined or come back counts as idle until it tells its load, but no longer than
 * this once it is warm: by then other gateways have filled it, and this one may ask it seldom. */
#define SPR_IDLE_US (UINT64_C (4000) * 1000)
/* One part in so many of the time in which a data centre must be drained, its caches are copied
 * from: what is popular there has new homes by then, and the engines that make the copies need
 * time. */
#define SPR_DRAIN_PART 2
/* An engine that failed more than this share of its answers, in thousandths, and so many times the
 * service's median, goes last. A service's own errors are in the median. */
#define SPR_ERROR_MILLI 300
#define SPR_ERROR_FACTOR 2
/* An engine that takes so many times as long as the service's median, in thousandths, likewise. */
#define SPR_PACE_MILLI 2000

/*
 * While the store is out, the entries of all engines lapse within the time of a renewal. Where no
 * more than one in so many of a service's has gone, that engine has left rather, in a time in which
 * nobody read the store: it is asked no more, and the others bear what it had.
 */
#define SPR_LAPSED_PART 3

typedef enum
{
  SPR_SEND, /* to @engine */
  SPR_WAIT, /* all engines that may be asked are full */
  SPR_NONE  /* no engine is left to ask */
} spr_action_t;

/**
 * struct spr_request - what the choice looks at
 * @affinity: hash of the part of the prompt that is worth most in a cache; 0 for none
 * @affinity_tokens: of that part
 * @tried: engines that had this request already
 * @repeatable: it may go on at another engine when this one fails it
 * @gateways: that share the engines; 0 counts as one
 * @gateway_hash: of this one's name
 * @run_us, @head_us: that a request usually keeps its slot, and until the head of its answer
 * @surge: traffic has grown so fast that the engines are full whatever is known of each
 * @told_milli: requests at the engines as told lately, in thousandths of their slots; 0 is unknown
 * @late: it can't be answered in time any more: it takes only room that is surely free
 * @default_slots: of an engine that doesn't tell its slots
 * @cold_per_s: requests a second that an engine bears while it is cold; 0 is unknown
 * @cold_start_us: how long an engine is cold after its start
 * @known_gateways: that may send to the engines, also those not heard lately; 0 is unknown
 * @homes: regions that it is bound to
 * @drain_us: from the order to drain a data centre until its engines must get nothing more
 */
typedef struct
{
  uint64_t affinity;
  uint32_t affinity_tokens;
  const char *data_center;
  const uint64_t *tried;
  uint32_t tried_count;
  bool repeatable;
  uint32_t gateways;
  uint64_t gateway_hash;
  uint64_t run_us;
  uint64_t head_us;
  bool surge;
  uint32_t told_milli;
  bool late;
  uint32_t default_slots;
  uint32_t cold_per_s;
  uint64_t cold_start_us;
  uint32_t known_gateways;
  home_regions_t homes;
  uint64_t drain_us;
} spr_request_t;

/**
 * struct spr_choice - the choice, and what it was made by
 * @source: engine other than @engine that most likely has the request's shared parts in its cache;
 *   NULL when there is none
 * @rank: 0 when @engine is the first for the affinity
 * @drained: with %SPR_NONE: engines are left, but their data centres are drained
 * @rest_us: with %SPR_NONE: until the first of those that are left has rested; 0 when none rests
 */
typedef struct
{
  spr_action_t action;
  egn_t *engine;
  egn_t *source;
  uint32_t rank;
  uint32_t load;
  uint32_t mean_milli;
  uint32_t candidates;
  bool drained;
  uint64_t rest_us;
} spr_choice_t;

/** spr_choose() - among @engines, egn_t of one service */
spr_choice_t spr_choose (const GPtrArray *engines, uint64_t now_us, const spr_request_t *request);

#endif
