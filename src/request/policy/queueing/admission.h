/**
 * DOC: admission
 *
 * Admission control of an engine: decides what its sidecar does with each request. Only the sidecar
 * sees all requests of its engine, so only it admits, queues, rejects and counts them. A pure state
 * machine without I/O.
 *
 * Bounded load: a request is dispatched only if the load including it is at most
 * max(c x (mean - margin), mean + 1). The mean load of the service's engines is estimated from
 * samples; in the second term it is rounded to the nearest integer if that is more. An engine at or
 * below the mean can always admit a request, so some engine of the service always can. The number
 * of slots of the engine is a second limit; the lower one applies.
 *
 * A request above the bound is queued if the wait is expected to be shorter than a cold start on
 * another engine, if no other engine is known to have free capacity, or if its router has no other
 * engine left to try. Otherwise it is rejected with referrals to engines with free capacity. A
 * request that can't start before its deadline, by the measured completion rate, is rejected at
 * once.
 *
 * After each event (offer, finish, cancel, a new sample, a timer) the caller calls
 * admission_next_rejected() and then admission_next(), each until it returns NULL.
 */
#ifndef REQUEST_POLICY_QUEUEING_ADMISSION_H
#define REQUEST_POLICY_QUEUEING_ADMISSION_H

#include "base/clock.h"
#include "base/limits.h"
#include "request/policy/placement/chat_directory.h"
#include "request/policy/queueing/fair_queue.h"
#include "request/policy/load/load_samples.h"
#include "request/policy/suspects/suspect.h"
#include "request/policy/retries/verdict.h"

#include <stdbool.h>
#include <stdint.h>

/* One slot of this number is reserved for accounts that were served less than others. */
#define ADMISSION_RESERVE_DIVISOR 8
/* Maximum credit of an account that was served less than others, as a time of all slots. */
#define ADMISSION_CREDIT_MS 2000
/* After this time without requests of another account, one account may use the reserved slots. */
#define ADMISSION_SINGLE_ACCOUNT_US (60 * (uint64_t)CLOCK_US_PER_S)
/* Cost of a cold start relative to a wait of the same duration: it also uses time of an engine. */
#define ADMISSION_COLD_START_WEIGHT 2
/* Cache lifetimes for which requests are referred to an engine that may have their context. */
#define ADMISSION_REFERRAL_LIFETIMES 2
/* Time for which a request that crashed an engine is remembered. */
#define ADMISSION_SUSPECT_LIFETIME_US (30 * 60 * (uint64_t)CLOCK_US_PER_S)
/* Time per output token, to estimate the duration of a request before it is measured. */
#define ADMISSION_TOKEN_US 30000
/* Limits of the retry time, before up to half is added at random. */
#define ADMISSION_RETRY_MIN_MS 100
#define ADMISSION_RETRY_MAX_MS (60 * 1000)

/** enum admission_policy - admission algorithm; all but the first are baselines of the benchmarks
 */
typedef enum
{
  ADMISSION_POLICY_FULL,        /* bounded load with directory and referrals */
  ADMISSION_POLICY_NO_REFERRAL, /* bounded load without directory and referrals */
  ADMISSION_POLICY_SLOTS_ONLY   /* admits up to the slots, for routing by hash, least load or random
                                 */
} admission_policy_t;

/**
 * struct admission_options - options from the settings and the manifest in force
 * @engine_hash: the engine
 * @service_hash: its service
 * @slots: requests that the engine runs concurrently
 * @bound_percent: the factor c of the bound, in hundredths
 * @engine_count: engines of the service in the registry
 * @prefill_tokens_s: prompt tokens that an engine reads per second; 0 if reading takes no time
 * @cache_lifetime_us: expected time for which an engine caches the context of a chat
 * @seed: of the random generator
 * @policy: admission algorithm
 * @is_live: Return: whether an engine is in use, so that none that left is referred to; NULL if all
 *   are
 * @context: argument of @is_live
 */
typedef struct
{
  uint64_t engine_hash;
  uint64_t service_hash;
  uint32_t slots;
  uint32_t bound_percent;
  uint32_t engine_count;
  uint32_t prefill_tokens_s;
  uint64_t cache_lifetime_us;
  uint64_t seed;
  admission_policy_t policy;
  bool (*is_live) (uint64_t engine_hash, void *context);
  void *context;
} admission_options_t;

/**
 * struct admission_request - a request, with what the decision depends on
 * @item: entry in the queue; the caller sets account, weight, priority, limit and deadline, and
 *   admission_offer() the rest
 * @chat_hash: its chat, used if @has_chat
 * @fingerprint: hash that identifies the request when it is sent again after a crash
 * @home_hash: home engine of the chat, the router's first candidate
 * @former_home_hash: home engine of the chat before the present one joined; 0 if none, or if this
 *   is the first message of the chat, whose context is cached nowhere
 * @prompt_tokens: estimated tokens to read
 * @output_tokens: estimated tokens to generate
 * @may_wait: the router has no other engine left to try, so the request may be queued here; without
 *   it, it is queued only if the wait is cheaper than a cold start elsewhere
 * @referred: another sidecar referred the request here; it isn't referred again to where its
 *   context is cached
 * @has_chat: the request belongs to a chat, whose context may be cached
 * @dispatched_us: when it was dispatched; set by this module
 * @running: it is dispatched and hasn't finished; set by this module
 */
typedef struct
{
  fair_queue_item_t item;
  uint64_t chat_hash;
  uint64_t fingerprint;
  uint64_t home_hash;
  uint64_t former_home_hash;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  bool may_wait;
  bool referred;
  bool has_chat;
  uint64_t dispatched_us;
  bool running;
} admission_request_t;

/** enum admission_action - what to do with a request */
typedef enum
{
  ADMISSION_DISPATCH, /* send it to the engine now */
  ADMISSION_WAIT,     /* keep it; it was queued */
  ADMISSION_REJECT    /* reject it */
} admission_action_t;

/**
 * struct admission_decision - what to do with a request, and why
 * @action: what to do
 * @reason: why the request is rejected
 * @referrals: hashes of the engines to try instead, best first
 * @referral_count: number of @referrals
 * @retry_after_ms: for a rejected request, when a slot is expected to be free, by the measured
 *   completion rate; 0 if retrying doesn't help
 * @load: running requests before the decision
 * @bound_milli: the bound, in thousandths of a request
 */
typedef struct
{
  admission_action_t action;
  verdict_reason_t reason;
  uint64_t referrals[LIMIT_REFERRALS];
  uint32_t referral_count;
  uint32_t retry_after_ms;
  uint32_t load;
  uint64_t bound_milli;
} admission_decision_t;

/** struct admission - admission control of one engine */
typedef struct admission admission_t;

/** admission_new() - Return: the state of an engine without requests, to be freed by
 * admission_free() */
admission_t *admission_new (const admission_options_t *options);
void admission_free (admission_t *admission);
/** admission_configure() - replaces the options; running and queued requests are kept */
void admission_configure (admission_t *admission, const admission_options_t *options);
/** admission_set_leaving() - while @leaving, the host shuts down and no request is admitted */
void admission_set_leaving (admission_t *admission, bool leaving);
/** admission_set_stale() - while @stale, after a pause of the daemon, no request is admitted, as
 * its cluster state is out of date */
void admission_set_stale (admission_t *admission, bool stale);
/** admission_set_engine_up() - while the engine doesn't answer, no request is admitted */
void admission_set_engine_up (admission_t *admission, bool up);
/** admission_set_joined() - sets when the engine joined; a new engine refers chats to their former
 * home
 */
void admission_set_joined (admission_t *admission, uint64_t joined_us);

/** admission_offer() - decides on a new request; after ADMISSION_WAIT it has to stay valid until it
 * is returned by admission_next() or admission_next_rejected(), or cancelled */
admission_decision_t
admission_offer (admission_t *admission, uint64_t now_us, admission_request_t *request);
/** admission_next() - dequeues the next request to dispatch now. Return: NULL if there is none */
admission_request_t *admission_next (admission_t *admission, uint64_t now_us);
/** admission_next_rejected() - dequeues a request to reject now, with @decision. Return: NULL if
 * there is none
 */
admission_request_t *
admission_next_rejected (admission_t *admission, uint64_t now_us, admission_decision_t *decision);
/** admission_finish() - a dispatched request ended, whatever its result; @is_cached: the engine has
 * its context in the cache now */
void admission_finish (admission_t *admission,
                       uint64_t now_us,
                       admission_request_t *request,
                       bool is_cached);
/** admission_cancel() - removes a queued request */
void admission_cancel (admission_t *admission, admission_request_t *request);
/** admission_note_crash() - records that the engine crashed while it ran @request */
void
admission_note_crash (admission_t *admission, uint64_t now_us, const admission_request_t *request);
/** admission_forget_engine() - drops the sample of another engine, which crashed, from the mean
 * load */
void admission_forget_engine (admission_t *admission, uint64_t engine_hash);
/** admission_note_served_elsewhere() - records on which other engine a chat of this home was served
 */
void admission_note_served_elsewhere (admission_t *admission,
                                      uint64_t now_us,
                                      uint64_t chat_hash,
                                      uint64_t engine_hash);

/** admission_sample() - Return: load sample of this engine, to be sent to other sidecars */
load_sample_t admission_sample (const admission_t *admission, uint64_t now_us);
/** admission_mean() - Return: load samples of the other engines; the caller adds them */
load_samples_t *admission_mean (admission_t *admission);
/** admission_suspects() - Return: requests suspected of crashes */
suspects_t *admission_suspects (admission_t *admission);
/** admission_directory() - Return: engines on which chats were served last */
chat_directory_t *admission_directory (admission_t *admission);
/** admission_load() - Return: running requests */
uint32_t admission_load (const admission_t *admission);
/** admission_waiting() - Return: queued requests */
uint32_t admission_waiting (const admission_t *admission);
/** admission_bound_milli() - Return: the present bound, in thousandths of a request */
uint64_t admission_bound_milli (const admission_t *admission, uint64_t now_us);

#endif
