/**
 * DOC: engines
 *
 * The engines that a gateway calls directly: the registry's entry of each, the number of requests
 * that this gateway has there, the load that the engine reports in its answers, and what its
 * failures show. A state machine without I/O; the caller passes the time. An engine is freed when
 * the registry has dropped it and the last request there has ended.
 */
#ifndef REQUEST_POLICY_ENGINES_ENGINES_H
#define REQUEST_POLICY_ENGINES_ENGINES_H

#include "base/limits.h"
#include "base/settings.h"
#include "request/policy/load/fleet_requests.h"
#include "request/policy/load/request_history.h"
#include "request/policy/placement/part_shares.h"
#include "request/policy/engines/software_versions.h"
#include "request/policy/room/room_engine.h"
#include "request/policy/room/room_share.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  ENGINE_READY,
  ENGINE_LEAVING, /* takes no new requests and finishes the ones it has */
  ENGINE_GONE     /* no longer in the registry; requests there may still finish */
} engine_state_t;

/**
 * struct engine_entry - the registry's entry of an engine
 * @id: unchanged when the engine restarts
 * @born_ms: start time of the process by its host's clock; 0 when the entry doesn't state it
 * @renewal: number of the write of the entry by that process; 0 when the entry doesn't state it
 * @service: interned
 * @region: region of the data centre, interned; NULL when unknown
 * @slots: requests that it runs concurrently; 0 when unknown
 * @cold_ms: remaining time in which it is slow after its start
 * @software_version: of the engine's software; cut where it is too long, and empty when the entry
 *   doesn't state it
 * @software_hash: of the whole software version
 */
typedef struct
{
  char id[LIMIT_NAME_BYTES];
  uint64_t born_ms;
  uint64_t renewal;
  const char *service;
  char data_center[LIMIT_NAME_BYTES];
  const char *region;
  address_t address;
  uint32_t slots;
  uint32_t cold_ms;
  char software_version[LIMIT_NAME_BYTES];
  uint64_t software_hash;
  engine_state_t state;
} engine_entry_t;

/**
 * struct engine_load - load that an engine reports in an answer
 * @running: requests in its slots
 * @waiting: requests in its queue
 * @slots: 0 when it doesn't state them
 * @slowdown_percent: current duration of work on its host, in percent of the usual duration; 0 when
 *   it doesn't state it
 */
typedef struct
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t slowdown_percent;
} engine_load_t;

#define ENGINE_SLOWDOWN_NONE_PERCENT 100 /* work takes its usual time */
/* A larger value is taken for an error of the engine. */
#define ENGINE_SLOWDOWN_MAX_PERCENT 10000
/* The speed of a host changes many times a second, so a reported slowdown halves in this time. */
#define ENGINE_SLOWDOWN_HALF_LIFE_US (UINT64_C (200) * 1000)

/**
 * struct engine - an engine
 * @hash: of id and start time. What is known of one process doesn't hold for the next one under the
 *   same id, whose cache is empty
 * @rank_hash: of the id; rendezvous hashing of shared prompt parts uses it
 * @version: of the service and the engine's software version. A stream goes on only at engines of
 *   the version that began it; never 0
 * @part_shares: of its service; shared with the other engines of the service
 * @fleet_requests: likewise
 * @room_share: of its service; NULL once the registry has dropped it
 * @room: what is known of its speed and usual load
 * @versions: software versions of its service; NULL once the registry has dropped it
 * @refs: one of the registry's entry and one of each request of this gateway
 * @own_requests: requests of this gateway at the engine
 * @reported_us: when the engine last reported its load to this gateway; 0 for never
 * @own_history: @own_requests in the last seconds
 * @reported_load: all requests there as of @reported_us, by its own answer to this gateway
 * @peer_report_us: when it reported the load that another gateway passed on; 0 for never
 * @other_requests: requests of other gateways there, as of @reported_us
 * @peer_report_others: requests of other gateways there, as of @peer_report_us
 * @slowdown_us: when it reported @slowdown_percent
 * @slowdown_percent: as in engine_load_t; 0 when it never reported it
 * @failures: consecutive failed requests of this gateway
 * @ejected_until_us: end of the last ejection; a single probe may be sent then
 * @probe_us: when the last probe was sent; 0 for none since the last failure
 * @error_rate_us: as of when @error_rate_milli is
 * @full_until_us: the engine refused a request for lack of a slot and is not called until then
 * @window_milli: requests that this gateway may have there, in thousandths, after a refusal
 * @refused_us: when it last refused a request because it was full; 0 for never
 * @latency_ratio_us: as of when @latency_ratio_milli is
 * @error_rate_milli: share of its answers that were failures, smoothed, in thousandths
 * @latency_ratio_milli: duration of its answers relative to the service's usual duration, smoothed,
 *   in thousandths; 0 when unknown
 * @last_byte_us: when its last byte was received
 * @sound_us: when the latest request that it answered was sent
 * @broke_us: when it first broke off, or could not be reached, since it last answered; 0 for never
 * @busy_since_us: when it last got a request of this gateway while it had none
 * @unanswered_since_us: when the first request after that byte was sent
 * @last_sent_us: when this gateway last sent a request there
 * @joined_us: when the engine was first seen, or returned; 0 when it was in the first list that
 *   this gateway read
 * @cold_until_us: it is in its cold start until then, by its entry
 * @cold_since_us: when an entry first stated the current cold start
 * @returned_us: when its data centre's drain was ended, or it answered again after it was
 *   unreachable; 0 for never
 * @drained_us: since when operators have been draining its data centre; 0 when they are not
 * @backoff_until_us: in a refusal the engine asked for no requests until then
 * @idle_ms: how long the engine keeps an idle connection; 0 when it didn't state it
 * @unreachable: it was ejected because it accepted no connections
 * @was_silent: all of @failures are requests given up as it was silent
 * @start_renewed: more than one entry stated its start
 * @earlier_start_wrote: the last entry was of an earlier start, and was taken for a delayed one
 * @returns_since_us: since when entries from before it left state that it is ready; 0 for none
 * @entry_expired: its entry expired while the store was unreachable, so it may be running or have
 *   left
 * @displaced: another engine answers at its address
 * @reported_leaving: it stated in an answer that it is leaving; overrides the registry
 */
typedef struct
{
  engine_entry_t entry;
  uint64_t hash;
  uint64_t rank_hash;
  uint64_t version;
  part_shares_t *part_shares;
  fleet_requests_t *fleet_requests;
  room_share_t *room_share;
  room_engine_t room;
  software_versions_t *versions;
  uint32_t refs;
  uint32_t own_requests;
  uint32_t reported_load;
  request_history_t own_history;
  uint64_t reported_us;
  uint64_t peer_report_us;
  uint32_t other_requests;
  uint32_t peer_report_others;
  uint64_t slowdown_us;
  uint32_t slowdown_percent;
  uint32_t failures;
  uint64_t ejected_until_us;
  uint64_t probe_us;
  uint64_t error_rate_us;
  uint64_t full_until_us;
  uint64_t window_milli;
  uint64_t refused_us;
  uint64_t latency_ratio_us;
  uint32_t error_rate_milli;
  uint32_t latency_ratio_milli;
  uint64_t last_byte_us;
  uint64_t sound_us;
  uint64_t broke_us;
  uint64_t busy_since_us;
  uint64_t unanswered_since_us;
  uint64_t last_sent_us;
  uint64_t joined_us;
  uint64_t cold_until_us;
  uint64_t cold_since_us;
  uint64_t returned_us;
  uint64_t drained_us;
  uint64_t backoff_until_us;
  uint32_t idle_ms;
  bool unreachable;
  bool was_silent;
  bool start_renewed;
  bool earlier_start_wrote;
  uint64_t returns_since_us;
  bool entry_expired;
  bool displaced;
  bool reported_leaving;
} engine_t;

/** struct engines - the engines of all services that the registry lists */
typedef struct engines engines_t;

/*
 * Half-life of a reported load. As the report ages, the estimate moves from the reported number to
 * the mean of the service: streams take one to two seconds, so by then as many have ended as begun.
 * Taking an engine without a recent report for empty made each of 22 gateways, which call an engine
 * about once in two seconds, send to the same full engine in turn; trusting a report for long left
 * an engine unused for ten seconds after an overload. In bench-gateway, with one popular prompt
 * part, 1.4% of requests met an engine above the overload limit (twice the mean plus three) when
 * the estimate halved towards zero each second, and 0.5% with this rule.
 */
#define ENGINE_REPORT_HALF_LIFE_US (UINT64_C (1500) * 1000)
/* A report comes back from peers younger by a millisecond and by the time on the way each time it
 * is passed on. The same load within this time of an own report is taken for that one. */
#define ENGINE_REPORT_ECHO_US (UINT64_C (20) * 1000)
/*
 * Half-life of a reported load in the mean of the service. The mean has reports of many engines and
 * needs no old ones; as it follows the load late, it is too high after a burst, and with it the
 * bound: with the half-life above, engines that still held a backlog got more requests.
 */
#define ENGINE_MEAN_HALF_LIFE_US (UINT64_C (750) * 1000)
/* Load assumed of an engine of which nothing is known, in thousandths of the mean: above it, as
 * other gateways may be filling the engine. */
#define ENGINE_UNKNOWN_LOAD_MILLI 1150
/* Consecutive failures that eject an engine: a single one may be the fault of the request. */
#define ENGINE_EJECTION_FAILURES 2
/* Half-life of the error rate and the latency ratio: an engine that recovers is not called, so
 * nothing else would clear them. */
#define ENGINE_ERROR_HALF_LIFE_US (UINT64_C (1500) * 1000)
/*
 * Time without any byte after which an engine with requests counts as silent. A host that stops
 * responding accepts requests and answers none: nothing fails until the deadlines pass, and as its
 * reported load ages it looks emptier than all others. With a quarter of the engines in that state,
 * a quarter of the requests went to them for ten seconds. A working engine sends a byte of some
 * request within milliseconds, except while it reads long prompts: 30,000 tokens take 268 ms.
 */
#define ENGINE_SILENT_US (UINT64_C (400) * 1000)
/* Where answers usually take longer to begin, an engine is silent after this multiple of the usual
 * time. */
#define ENGINE_SILENT_FACTOR 4
/* Interval of single requests to a silent engine, which show when it works again. */
#define ENGINE_SILENT_PROBE_US (UINT64_C (4000) * 1000)
/* Duration of an ejection; it doubles with each further failure up to the maximum, as a crashed
 * engine is back after some seconds. */
#define ENGINE_EJECTION_MIN_US (UINT64_C (500) * 1000)
#define ENGINE_EJECTION_MAX_US (UINT64_C (4000) * 1000)
/* A probe is likely to fail. A request that can be repeated at another engine loses a moment only,
 * so one that can't serves as the probe this much later, if no other came. */
#define ENGINE_UNREPEATABLE_PROBE_DELAY_US (UINT64_C (4000) * 1000)

/* Time after which the platform has done each write whose caller got no answer */
#define ENGINE_DELAYED_WRITE_US (UINT64_C (10) * 1000 * 1000)

engines_t *engines_new (void);
void engines_free (engines_t *engines);
/**
 * engines_put() - adds or updates the registry's entry of an engine
 *
 * A later start time under the same id means a new engine, to which nothing known of the old one
 * applies; the old one stays until its last request has ended. An entry with an earlier start time
 * is outdated and changes nothing. Nor does one that the engine wrote before it left, unless it
 * goes on for %ENGINE_DELAYED_WRITE_US.
 *
 * Return: the engine
 */
engine_t *engines_put (engines_t *engines, uint64_t now_us, const engine_entry_t *entry);
/**
 * engines_set_drained() - starts or ends the drain of @data_center, by order of the operators
 *
 * Its engines get no more requests during the drain. Afterwards they have lost their caches and may
 * be cold, whatever their entries from before the drain say.
 *
 * Return: whether that changed anything
 */
bool
engines_set_drained (engines_t *engines, uint64_t now_us, const char *data_center, bool drained);
/**
 * engines_note_leaving() - records that @engine stated in an answer that it is leaving
 *
 * It gets no more requests until it is started again.
 *
 * Return: whether it states so for the first time
 */
bool engines_note_leaving (engines_t *engines, uint64_t now_us, engine_t *engine);
/** engines_note_backoff() - records that @engine refused a request and asked for none for
 * @backoff_us */
void
engines_note_backoff (engines_t *engines, uint64_t now_us, engine_t *engine, uint64_t backoff_us);
/** engines_count_drained_data_centers() - number of data centres that are being drained */
uint32_t engines_count_drained_data_centers (const engines_t *engines);
/** engines_count_in_data_center() - number of engines of @data_center in the registry */
uint32_t engines_count_in_data_center (const engines_t *engines, const char *data_center);
/** engines_note_expired() - records that the entry of @id expired, perhaps only because the store
 * is unreachable; holds until engines_put() or engines_remove() */
void engines_note_expired (engines_t *engines, const char *id);
/** engines_remove() - removes the engine @id, which the registry no longer lists */
void engines_remove (engines_t *engines, uint64_t now_us, const char *id);
/** engines_find_by_hash() - finds the engine with @hash, of id and start time. Return: NULL when
 * none */
engine_t *engines_find_by_hash (const engines_t *engines, uint64_t hash);
/** engines_find() - finds the engine with @id. Return: NULL when none */
engine_t *engines_find (const engines_t *engines, const char *id);
/** engines_of_service() - engines of @service, which is interned, as an array of engine_t; valid
 * until the next engines_put() or engines_remove() */
const GPtrArray *engines_of_service (const engines_t *engines, const char *service);
/** engines_versions() - the software versions of @service, which is interned */
const software_versions_t *engines_versions (const engines_t *engines, const char *service);
/** engines_hash_service() - the hash by which gateways name a service to each other */
uint64_t engines_hash_service (const char *service);
/* Engines of a service up to which each gateway hears each of them often enough to know the mean
 * load. */
#define ENGINES_FEW 8
/**
 * engines_list_fleet_requests() - the requests of gateways at services with more than %ENGINES_FEW
 * engines, for another gateway
 *
 * Those of this gateway, @own_hash, come first, then the latest of others, by turns of the
 * services.
 *
 * Return: their number, at most @want
 */
uint32_t engines_list_fleet_requests (const engines_t *engines,
                                      uint64_t now_us,
                                      uint64_t own_hash,
                                      fleet_requests_told_t *out,
                                      uint32_t want);
/** engines_note_fleet_requests() - records the requests of another gateway */
void engines_note_fleet_requests (engines_t *engines,
                                  uint64_t now_us,
                                  const fleet_requests_told_t *told);
/** engines_list_services() - the interned names of all services, as an array to be freed */
GPtrArray *engines_list_services (const engines_t *engines);
/** engines_count_open_slots() - sum of the slots of the engines of @service, which is interned,
 * that may get requests; an engine that doesn't state its slots counts as one */
uint64_t engines_count_open_slots (const engines_t *engines, const char *service, uint64_t now_us);
/** engines_note_room_request() - counts a new request of @account at @service, which is interned,
 * for room_share.h */
void engines_note_room_request (engines_t *engines,
                                const char *service,
                                uint64_t now_us,
                                uint64_t account);
/** engines_room_share_milli() - share of the requests of @service, which is interned, that
 * room_share.h lets it send, in thousandths */
uint32_t engines_room_share_milli (engines_t *engines, const char *service);
/** engines_set_complete() - marks the first list as read: engines that are added later have joined
 */
void engines_set_complete (engines_t *engines);
/** engines_are_complete() - whether the first list was read */
bool engines_are_complete (const engines_t *engines);
/** engines_count() - number of engines in the registry */
uint32_t engines_count (const engines_t *engines);

/** engine_begin_request() - counts a request that is sent to @engine, and keeps a reference for it
 */
void engine_begin_request (engine_t *engine, uint64_t now_us);
/** engine_note_break() - it broke off a request, or can't be reached */
void engine_note_break (engine_t *engine, uint64_t now_us);
/** engine_end_request() - ends a request that engine_begin_request() counted, at a time that is not
 * known; may free @engine */
void engine_end_request (engine_t *engine);
/** engine_end_request_at() - likewise, at @now_us */
void engine_end_request_at (engine_t *engine, uint64_t now_us);
/** engine_note_load() - records the @load that @engine reported in an answer */
void engine_note_load (engine_t *engine, uint64_t now_us, const engine_load_t *load);
/** engine_note_peer_load() - records that @engine reported @load requests to another gateway at
 * @reported_us */
void engine_note_peer_load (engine_t *engine, uint64_t reported_us, uint32_t load);
/* Time after which a full engine is tried again when no request of this gateway ends there first.
 */
#define ENGINE_FULL_US (UINT64_C (100) * 1000)

/* Time after a refusal in which the window applies; later the other gateways have other requests
 * there. */
#define ENGINE_WINDOW_US (UINT64_C (10) * 1000 * 1000)

/** engine_note_full() - records that @engine refused a request of this gateway for lack of a slot;
 * the request must not have been ended yet */
void engine_note_full (engine_t *engine, uint64_t now_us);
/** engine_is_full() - whether @engine refused a request for lack of a slot within %ENGINE_FULL_US
 */
bool engine_is_full (const engine_t *engine, uint64_t now_us);
/**
 * engine_has_window() - whether @engine is likely to accept one more request of this gateway
 * @pause_us: time after the last refusal or send in which an engine beyond the window gets none
 *
 * Gateways that share a full engine all hear of a free slot, and not of each other. If each sent
 * all its waiting requests, most would be refused within a millisecond, until the shared budget of
 * retries is spent. So, as in congestion control, a refusal reduces the window to the number of
 * requests that the engine did accept, and while the window is fully used it grows by one in the
 * time that an answer takes to begin.
 */
bool engine_has_window (const engine_t *engine, uint64_t now_us, uint64_t pause_us);
/** engine_note_answer() - records that @engine answered; @failed when the answer was an error of
 * its own */
void engine_note_answer (engine_t *engine, uint64_t now_us, bool failed);
/** engine_note_failure() - records that @engine broke off a request or could not be reached */
void engine_note_failure (engine_t *engine, uint64_t now_us);
/** engine_note_silence() - records that a request was given up as @engine was silent */
void engine_note_silence (engine_t *engine, uint64_t now_us);
/** engine_note_byte() - records that @engine sent something; ends an ejection for silence */
void engine_note_byte (engine_t *engine, uint64_t now_us);
/** engine_note_displaced() - records that another engine answered at the address of @engine, which
 * has therefore gone; it gets no requests until the registry has a new entry of it */
void engine_note_displaced (engine_t *engine);
/** engine_note_unreachable() - records a failure as engine_note_failure() does, where @engine
 * accepted no connection; when it answers again it has restarted */
void engine_note_unreachable (engine_t *engine, uint64_t now_us);
/** engine_estimate_load() - estimated requests of all gateways at @engine; @usual_milli is the mean
 * number of requests of other gateways at the engines of its service, in thousandths */
uint32_t engine_estimate_load (const engine_t *engine, uint64_t now_us, uint64_t usual_milli);
/** engine_load_weight_milli() - weight of the load that @engine reported, falling with age from
 * 1000 to 0 */
uint32_t engine_load_weight_milli (const engine_t *engine, uint64_t now_us);
/** engine_error_rate_milli() - share of its recent answers that were failures, in thousandths */
uint32_t engine_error_rate_milli (const engine_t *engine, uint64_t now_us);
/** engine_is_silent() - whether @engine has requests of this gateway, has sent nothing for too
 * long, and no probe is due; @usual_us is the usual time from a request to the head of its answer;
 * @repeatable as in engine_is_ejected() */
bool engine_is_silent (const engine_t *engine, uint64_t now_us, uint64_t usual_us, bool repeatable);
/** engine_is_quiet() - whether @engine has requests of this gateway and has sent nothing for any of
 * them for as long as a silent one; @usual_us as in engine_is_silent() */
bool engine_is_quiet (const engine_t *engine, uint64_t now_us, uint64_t usual_us);
/** engine_note_latency() - records that an answer took @ratio_milli thousandths of the usual time,
 * see median_latency_add() */
void engine_note_latency (engine_t *engine, uint64_t now_us, uint32_t ratio_milli);
/** engine_latency_ratio_milli() - duration of its recent answers relative to the usual duration, in
 * thousandths; 1000 when unknown */
uint32_t engine_latency_ratio_milli (const engine_t *engine, uint64_t now_us);
/** engine_slowdown_percent() - slowdown of its host in percent, falling with age from the reported
 * value to %ENGINE_SLOWDOWN_NONE_PERCENT */
uint32_t engine_slowdown_percent (const engine_t *engine, uint64_t now_us);
/** engine_is_open() - whether @engine takes new requests: the registry says it is ready, it has not
 * stated that it is leaving, and it is neither drained nor displaced */
bool engine_is_open (const engine_t *engine);
/** engine_is_backing_off() - whether @engine asked for no requests at this time */
bool engine_is_backing_off (const engine_t *engine, uint64_t now_us);
/** engine_is_cold() - whether @engine is in its cold start: by its entry, or for @cold_start_us
 * after it returned */
bool engine_is_cold (const engine_t *engine, uint64_t now_us, uint64_t cold_start_us);
/** engine_cold_since_us() - when the cold start of @engine was noticed; for engines that are cold
 */
uint64_t engine_cold_since_us (const engine_t *engine);
/** engine_is_ejected() - whether @engine is ejected for failures and no probe is due; a @repeatable
 * request can be sent to another engine when this one fails it, and probes earlier */
bool engine_is_ejected (const engine_t *engine, uint64_t now_us, bool repeatable);
/** engine_note_probe() - records that the single request is sent that an ejected engine gets as a
 * probe */
void engine_note_probe (engine_t *engine, uint64_t now_us);
/** engine_slots() - requests that @engine runs concurrently; @fallback when it doesn't state them
 */
uint32_t engine_slots (const engine_t *engine, uint32_t fallback);

#endif
