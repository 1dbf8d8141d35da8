/**
 * DOC: engines
 *
 * The engines that a router calls without a sidecar beside them: what the registry says of each,
 * how many requests this router has there, the load that they tell in their answers, and the
 * evidence of failures. A pure state machine; an engine lives until the registry and the last
 * request have let go of it.
 */
#ifndef REQUEST_POLICY_ENGINES_H
#define REQUEST_POLICY_ENGINES_H

#include "base/limits.h"
#include "base/settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  EGN_READY,
  EGN_LEAVING, /* it takes no new work, and serves what it has */
  EGN_GONE     /* the registry knows it no longer; as EGN_LEAVING */
} egn_state_t;

/**
 * struct egn_entry - what the registry says of an engine
 * @id: another start of the engine may have the same
 * @born_ms: when this start of it began, by its host's clock; 0 when it doesn't say
 * @service: interned
 * @region: of its data centre, interned; NULL is unknown
 * @slots: requests that it runs at once; 0 is unknown
 * @cold_ms: how much longer it is slow after its start
 */
typedef struct
{
  char id[LIM_NAME_BYTES];
  uint64_t born_ms;
  const char *service;
  char data_center[LIM_NAME_BYTES];
  const char *region;
  set_address_t address;
  uint32_t slots;
  uint32_t cold_ms;
  egn_state_t state;
} egn_entry_t;

/**
 * struct egn_load - as an engine tells it
 * @slots: 0 when it doesn't say
 * @effort_percent: time that work takes on its host at that moment, against the usual; 0 when it
 *   doesn't say
 */
typedef struct
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t effort_percent;
} egn_load_t;

#define EGN_EFFORT_USUAL 100
#define EGN_EFFORT_MOST 10000 /* more is a slip */
/* A host's effort changes many times a second, so what an engine told of it fades soon, by half. */
#define EGN_EFFORT_HALF_US (UINT64_C (200) * 1000)

/**
 * struct egn - an engine
 * @hash: of its id and its start: what is known of one start doesn't hold for the next, whose cache
 *   is empty
 * @rank_hash: of its id, by which parts of prompts rank it
 * @own: requests of this router that are there
 * @others: requests of other routers there when the engine told its load at @told_us
 * @news_others: likewise, when it told another router its load at @news_us
 * @effort_percent: as it told at @effort_us; 0 when it hasn't
 * @failures: in a row, of this router's requests
 * @skip_until_us: until then it is asked only by a single probe
 * @error_milli: share of answers that were failures, smoothed, in thousandths, as of
 *   @error_us
 * @full_until_us: until then it has no place left, as it said
 * @window_milli: requests that this router may have there, in thousandths, since it refused one as
 *   it was full at @refused_us; 0 before the first refusal
 * @pace_milli: time of its answers against the service's usual, smoothed, in thousandths, as of
 *   @pace_us; 0 is not known
 * @heard_us: when a byte of it came last
 * @sent_us: when a request of this router went there last
 * @asked_us: when the first request after that byte went there
 * @since_us: when it was seen first, or came back; 0 when it was there before this router knew any
 * @cold_until_us: it bears little load until then, by its entry
 * @cold_since_us: when an entry first said so of its latest cold time
 * @returned_us: when its data centre was taken back, or it worked again after it was down
 * @down: it was put aside, and refused connections
 * @drained_us: since when operators drain its data centre; 0 when they don't
 * @lapsed: its entry has gone while the store was not heard: it may live, or have left
 * @displaced: another engine answers at its address
 * @says_leaving: it said in an answer that it leaves, whatever the registry says
 * @rest_until_us: it gets nothing until then, as it said in a refusal
 * @idle_ms: how long it keeps an idle connection; 0 when it didn't say
 */
typedef struct
{
  egn_entry_t entry;
  uint64_t hash;
  uint64_t rank_hash;
  uint32_t refs;
  uint32_t own;
  uint64_t told_us;
  uint64_t news_us;
  uint32_t others;
  uint32_t news_others;
  uint64_t effort_us;
  uint32_t effort_percent;
  uint32_t failures;
  uint64_t skip_until_us;
  uint64_t probe_us;
  uint64_t error_us;
  uint64_t full_until_us;
  uint64_t window_milli;
  uint64_t refused_us;
  uint64_t pace_us;
  uint32_t error_milli;
  uint32_t pace_milli;
  uint64_t heard_us;
  uint64_t asked_us;
  uint64_t sent_us;
  uint64_t since_us;
  uint64_t cold_until_us;
  uint64_t cold_since_us;
  uint64_t returned_us;
  uint64_t drained_us;
  uint64_t rest_until_us;
  uint32_t idle_ms;
  bool down;
  bool lapsed;
  bool displaced;
  bool says_leaving;
} egn_t;

typedef struct egs egs_t;

/*
 * What an engine told of others' requests counts by half after this time, and what is usual at the
 * engines by the other half: streams take a second or two, so by then as many have ended and begun.
 * Were it taken for empty instead, an engine that all of 22 routers fill would look empty to each
 * of them in turn, as each asks it once in two seconds; were it believed for long, an engine that
 * was full in an overload would be left alone for ten seconds after. In bench-gateway, with one hot
 * part of prompts, 1.4% of requests met an engine over twice the mean and three when it was taken
 * for empty by halves each second, 0.5% so.
 */
#define EGN_TOLD_US (UINT64_C (1500) * 1000)
/* Of the usual, in thousandths: an engine of which nothing is known may be one that others fill. */
#define EGN_UNKNOWN_MILLI 1150
/* Failures in a row that put an engine aside: one may be the request's own fault. */
#define EGN_FAILURES 2
/* What is held against an engine halves in this time: it may be sound again, and is not asked. */
#define EGN_ERROR_HALF_US (UINT64_C (1500) * 1000)
/*
 * An engine that went dark takes requests and answers none, so nothing fails until their deadlines,
 * and by the load it told, which fades, it looks emptier than all others: a quarter of the engines
 * drew a quarter of the requests for ten seconds. One that works brings some byte of some request
 * within a few milliseconds, but for long prompts: 30,000 tokens are read in 268 ms.
 */
#define EGN_SILENT_US (UINT64_C (400) * 1000)
/* Where heads of answers usually take longer, in an overload or by their nature, so many times
 * that.
 */
#define EGN_SILENT_FACTOR 4
/* It gets a single request after so long, so that one that is sound again is found. */
#define EGN_SILENT_PROBE_US (UINT64_C (4000) * 1000)
#define EGN_SKIP_MIN_US (UINT64_C (500) * 1000)
#define EGN_SKIP_MAX_US (UINT64_C (4000) * 1000) /* a crashed engine is back after some seconds */
/* A probe is likely to fail. What may go on at another engine is lost for a moment only; the rest
 * is a probe only so much later, if nothing else came that could be one. */
#define EGN_RISK_US (UINT64_C (4000) * 1000)

egs_t *egs_new (void);
void egs_free (egs_t *egs);
/**
 * egs_put() - the registry's entry of an engine, new or changed
 *
 * An engine that has started again under its id is another one: nothing of what was known of it
 * holds. The one before lives until its last request has let go of it. An entry of an older start
 * than is known is late, and changes nothing.
 *
 * Return: the engine
 */
egn_t *egs_put (egs_t *egs, uint64_t now_us, const egn_entry_t *entry);
/**
 * egs_set_drained() - operators drain @data_center, or take it back
 *
 * Nothing more is sent to its engines while it is drained. When it is taken back they have lost
 * their caches and may be cold, whatever their entries of before say.
 *
 * Return: whether that is news
 */
bool egs_set_drained (egs_t *egs, uint64_t now_us, const char *data_center, bool drained);
/** egs_leaves() - @egn said in an answer that it leaves: this start of it gets nothing more.
 * Return: whether that is news */
bool egs_leaves (egs_t *egs, uint64_t now_us, egn_t *egn);
/** egs_rests() - @egn refused a request and wants none for @rest_us */
void egs_rests (egs_t *egs, uint64_t now_us, egn_t *egn, uint64_t rest_us);
uint32_t egs_drained_count (const egs_t *egs);
/** egs_count_in() - engines of @data_center that the registry knows */
uint32_t egs_count_in (const egs_t *egs, const char *data_center);
/** egs_lapsed() - the entry of @id has gone, perhaps only as the store was out, until egs_put() or
 * egs_gone() */
void egs_lapsed (egs_t *egs, const char *id);
/** egs_gone() - the registry knows @id no longer */
void egs_gone (egs_t *egs, const char *id);
/** egs_find_hash() - by the hash of its id and start, or NULL */
egn_t *egs_find_hash (const egs_t *egs, uint64_t hash);
/** egs_find() - by id, or NULL */
egn_t *egs_find (const egs_t *egs, const char *id);
/** egs_list() - engines of @service (interned) that the registry knows, as egn_t; valid until the
 * next egs_put() or egs_gone() */
const GPtrArray *egs_list (const egs_t *egs, const char *service);
/** egs_open_slots() - of the engines of @service (interned) that may be asked; one for each that
 * doesn't tell its slots */
uint64_t egs_open_slots (const egs_t *egs, const char *service, uint64_t now_us);
/** egs_set_complete() - all engines that were there before are known */
void egs_set_complete (egs_t *egs);
uint32_t egs_count (const egs_t *egs);

/** egn_begin() - a request goes there; keeps the engine */
void egn_begin (egn_t *egn, uint64_t now_us);
/** egn_end() - it ended; may free the engine */
void egn_end (egn_t *egn);
void egn_told (egn_t *egn, uint64_t now_us, const egn_load_t *load);
/** egn_heard() - it told another router at @told_us that @load requests run or wait there. Routers
 * pass on high loads only, so it counts for this engine and not for the mean */
void egn_heard (egn_t *egn, uint64_t told_us, uint32_t load);
/* An engine that was full is asked again after this, if nothing of this router's ends there before.
 */
#define EGN_FULL_US (UINT64_C (100) * 1000)

/* Without a refusal for so long, the window says nothing any more: other routers have other
 * requests. */
#define EGN_WINDOW_US (UINT64_C (10) * 1000 * 1000)

/** egn_full() - it refused a request of this router, which is still counted, as it had no place
 * left */
void egn_full (egn_t *egn, uint64_t now_us);
/** egn_is_full() - it had no place left a moment ago */
bool egn_is_full (const egn_t *egn, uint64_t now_us);
/**
 * egn_has_window() - whether the engine is likely to have a place for one request more of this
 * router
 * @pause_us: after a refusal, until one that took none of this router's is asked again
 *
 * Routers that share a full engine each hear of a slot that comes free, and not of one another. If
 * each sent what it has waiting, most would be refused again within a millisecond, until the
 * retries that all share are spent. So a refusal cuts the window to what the engine did take, and
 * the window grows by one in the time of an answer's head while it is used to the full.
 */
bool egn_has_window (const egn_t *egn, uint64_t now_us, uint64_t pause_us);
/** egn_worked() - it answered, well or with a failure of its own (@failed) */
void egn_worked (egn_t *egn, uint64_t now_us, bool failed);
/** egn_failed() - it could not be reached or broke off */
void egn_failed (egn_t *egn, uint64_t now_us);
/** egn_displaced() - another engine answered at its address: it has gone, and the registry will say
 * so. It gets nothing until there is an entry of it again */
void egn_displaced (egn_t *egn);
/** egn_unreachable() - likewise, as it took no connection: if it works again it has started anew */
void egn_unreachable (egn_t *egn, uint64_t now_us);
/** egn_load_now() - requests there, of all routers as far as known; @usual_milli: of others, at
 * engines of its service, in thousandths */
uint32_t egn_load_now (const egn_t *egn, uint64_t now_us, uint64_t usual_milli);
/** egn_trust_milli() - how far the load that it told still counts, 1000 at first, 0 in the end */
uint32_t egn_trust_milli (const egn_t *egn, uint64_t now_us);
/** egn_errors_now() - share of its late answers that were failures, in thousandths */
uint32_t egn_errors_now (const egn_t *egn, uint64_t now_us);
/** egn_is_silent() - it has requests of this router and has brought nothing for too long, and no
 * probe is due; @usual_us: from a send to the head of an answer; @repeatable as in
 * egn_is_skipped() */
bool egn_is_silent (const egn_t *egn, uint64_t now_us, uint64_t usual_us, bool repeatable);
/** egn_paced() - an answer took @ratio_milli of the usual time, see pac_sample() */
void egn_paced (egn_t *egn, uint64_t now_us, uint32_t ratio_milli);
/** egn_pace_now() - of its late answers, against the usual, in thousandths; 1000 when not known */
uint32_t egn_pace_now (const egn_t *egn, uint64_t now_us);
/** egn_effort_now() - of its host, in percent of the usual, as far as what it told still counts */
uint32_t egn_effort_now (const egn_t *egn, uint64_t now_us);
/** egn_is_open() - ready by the registry and its own word, neither drained nor displaced */
bool egn_is_open (const egn_t *egn);
/** egn_is_resting() - it wants no request now */
bool egn_is_resting (const egn_t *egn, uint64_t now_us);
/** egn_is_cold() - it has just started, or may have: by its entry, or for @cold_start_us after it
 * came back */
bool egn_is_cold (const egn_t *egn, uint64_t now_us, uint64_t cold_start_us);
/** egn_cold_since_us() - when it was seen to be cold; of one that is */
uint64_t egn_cold_since_us (const egn_t *egn);
/** egn_is_skipped() - put aside for failures, and no probe is due that is @repeatable or not */
bool egn_is_skipped (const egn_t *egn, uint64_t now_us, bool repeatable);
/** egn_probe() - a skipped engine whose time has come gets one request: note that it goes */
void egn_probe (egn_t *egn, uint64_t now_us);
/** egn_slots() - requests that it runs at once, or @otherwise when nobody said */
uint32_t egn_slots (const egn_t *egn, uint32_t otherwise);

#endif
