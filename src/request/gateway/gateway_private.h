/**
 * DOC: gateway_private
 *
 * Types and functions shared by the files of the gateway's data task: gateway.c (the task),
 * gateway_accept.c (checks of a client's request), gateway_call.c (its steps and its end),
 * gateway_hop.c (one send to an engine), gateway_queue.c (requests queued while engines are full),
 * gateway_resume.c (streams, their software versions and clients that resume them),
 * gateway_resume_log.c (log and counters of these), gateway_copies.c (copies of the caches of runs,
 * from which they go on when their engines end), gateway_fallback.c (hops that stay open until
 * the engine with the copy has answered), gateway_parts.c (engines that hold shared parts of
 * prompts).
 */
#ifndef REQUEST_GATEWAY_GATEWAY_PRIVATE_H
#define REQUEST_GATEWAY_GATEWAY_PRIVATE_H

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "base/latency.h"
#include "request/policy/copies/loss_rate.h"
#include "request/policy/suspects/answered_parts.h"
#include "request/policy/retries/retry_plan.h"
#include "request/event_splitter.h"
#include "request/error_reply.h"
#include "request/gateway/gateway.h"
#include "request/policy/retries/first_attempt.h"
#include "request/policy/retries/hop_move.h"
#include "request/policy/queueing/wait_queue.h"
#include "request/policy/load/load_gauge.h"
#include "request/policy/load/median_latency.h"
#include "request/policy/retries/hop_timeout.h"
#include "request/policy/suspects/recent_answers.h"
#include "request/policy/streams/resumption.h"
#include "request/relay.h"
#include "request/policy/placement/engine_choice.h"

#define GATEWAY_TRIED_MAX 8     /* engines of one request that are remembered and not asked again */
#define GATEWAY_EXCLUDED_MAX 16 /* engines that one request isn't sent to, with those it tried */
#define GATEWAY_IDLE_CONNECTIONS_MAX 64 /* idle connections to engines that are kept */
#define GATEWAY_IDLE_TIMEOUT_MS 10000
/* An engine accepts a connection within milliseconds. An unreachable one doesn't respond at all,
 * and a lost SYN is sent again only after a second: by then another engine could have responded. */
#define GATEWAY_CONNECT_TIMEOUT_MS 250
/* A request that must not be repeated reuses an idle connection only while the engine certainly
 * keeps it open: if the engine closed it at that moment, nobody could tell whether the request ran.
 */
#define GATEWAY_REUSE_IDLE_MAX_US (1000 * 1000)
/* reuse within this part of the idle time that the engine states */
#define GATEWAY_REUSE_IDLE_DIVISOR 4
/* Likewise, in thousandths, for a request that may be repeated: a send that crosses the engine's
 * close costs a retry, and the answer where none is left. */
#define GATEWAY_REUSE_IDLE_REPEATABLE_MILLI 750
/* Bounds of Retry-After. A retry sooner than the minimum would find the same queue. */
#define GATEWAY_RETRY_MIN_MS 100
#define GATEWAY_RETRY_MAX_MS 8000
/* Retry-After while the data centres of all engines are drained: operators need seconds to change
 * that. */
#define GATEWAY_RETRY_DRAINED_MS 2000
/* Retry-After of a request that may end engines, while that is being found out */
#define GATEWAY_RETRY_SUSPECT_MS 1000
/* Retry-After of a request with a part that ends engines */
#define GATEWAY_RETRY_PART_MS 8000
/* Retry-After of a stream that can't go on: an engine of its version may have crashed, and is back
 * after some seconds */
#define GATEWAY_RETRY_VERSION_MS 2000
/* Requests that wait while another one shows whether a part of their prompts ends engines, and for
 * how long each may */
#define GATEWAY_HELD_MAX 64
#define GATEWAY_HELD_US (UINT64_C (3) * 1000 * 1000)
/* pairs of prompt and engine whose cache has the shared parts */
#define GATEWAY_CACHE_WARM_MAX 4096
/* shared parts of prompts whose holders are remembered: 0.9 MB by calculation */
#define GATEWAY_PARTS_MAX 4096
/* Tokens of a shared part from which on other gateways are told who holds it. Fewer are read in
 * less than 4 ms, so knowing of them is worth less than the bytes. */
#define GATEWAY_PARTS_TOLD_TOKENS 256
/* share of slots in use, in thousandths, from which requests queue */
#define GATEWAY_NEARLY_FULL_MILLI 900
#define GATEWAY_SHED_LOG_US (UINT64_C (5) * 1000 * 1000)
#define GATEWAY_WATCH_TICKS 4 /* ticks between two searches for hops whose engine is silent */
#define GATEWAY_LEFT_MAX 4    /* engines that a request left as silent and that are remembered */
/* Longest time for which an engine that is sound sends nothing. */
#define GATEWAY_SOUND_SILENCE_US (UINT64_C (2000) * 1000)
/* Time after which an engine is looked for again for a request that was given up at a silent one.
 */
#define GATEWAY_HELD_RETRY_US (UINT64_C (100) * 1000)
/* Time after which another engine is looked for again for a request at a silent engine. */
#define GATEWAY_MOVE_RETRY_US (UINT64_C (200) * 1000)
/* Time that the engine with a copy has to answer before the hop that the run leaves is closed: both
 * may then work on it, which must be over after 400 ms. Less than a connection takes to fail. */
#define GATEWAY_FALLBACK_US (UINT64_C (200) * 1000)
/* Time for which a stream waits for the first table of shares. */
#define GATEWAY_SHARES_WAIT_US (UINT64_C (3000) * 1000)
/* Time for which a stream waits whose version has no engine left: until that is noticed, and
 * another table has been announced and is known. */
#define GATEWAY_VERSION_WAIT_US (UINT64_C (4500) * 1000)
#define GATEWAY_TICK_MS 25 /* queued requests are checked this often, and after all events */
/* Levels of priority of an account, and of a route. Engines distinguish ten in all, so the pairs of
 * both must be no more than that. */
#define GATEWAY_PRIORITIES 3
/* Slots of a table of route statistics; of two routes with the same slot the later is kept. */
#define GATEWAY_ROUTE_STATS_SLOTS 256
/* smoothing of a route's run times: about the last sixteen count */
#define GATEWAY_RUN_SMOOTHING 16
/* services with histograms of their own; all further ones share one */
#define GATEWAY_HISTOGRAM_SERVICES_MAX 64

/* gateways whose answers on one resumption are told apart; further ones are not counted */
#define GATEWAY_ANSWERS_MAX 16

/* Time between two log lines of one service about an engine that has got too much. */
#define GATEWAY_OVERLOADED_LOG_US (UINT64_C (1000) * 1000)

/** What became of a client's request that resumes a stream. */
typedef enum
{
  GATEWAY_RESUMPTION_PENDING,
  GATEWAY_RESUMPTION_GONE_ON,      /* an event of the stream came, or its end */
  GATEWAY_RESUMPTION_UNKNOWN,      /* refused: nobody knew its version */
  GATEWAY_RESUMPTION_VERSION_GONE, /* refused: no engine of its version was left to ask */
  GATEWAY_RESUMPTION_NO_ENGINE,    /* refused: no engine of its version was free in time */
  GATEWAY_RESUMPTION_FAILED,       /* it was sent, and no event came */
  GATEWAY_RESUMPTION_OUTCOMES      /* number of outcomes */
} gateway_resumption_outcome_t;

/**
 * struct gateway_service - state of one service
 * @name: interned string
 * @queue: requests that wait while all engines are full
 * @load_gauge: load of all its engines together
 * @in_flight: requests of this gateway at its engines
 * @engines_in_use: engines that have requests of this gateway
 * @answered: parts of the prompts that it answered last
 * @has_streams: it serves streams that may be resumed
 * @unmovable_ticks: @ticks of its gateway when no other engine was last found for a request at a
 *   silent one; 0 for never
 * @unmovable_version: software version of that request
 * @told_epoch: number of its last table when other gateways were told of its streams
 * @room_held: the last line in the log said that room_share.h holds requests back
 * @room_logged_us: time of that line
 * @mean_milli: mean load of its engines at the last choice, in thousandths of a request
 * @overloaded_logged_us: time of the last line about an engine that has got too much; 0 for never
 * @retries: this gateway's share of the retry budget
 * @losses: how likely its engines are lost; NULL where runs get no copies
 * @wait_histogram: times from arrival to the first send
 * @head_histogram: times from a send to the head of its response
 * @answer_histogram: times from arrival to the end of the response
 * @failure_histogram: times from arrival to a refusal or failure
 */
typedef struct
{
  gateway_task_t *gateway;
  const char *name;
  wait_queue_t *queue;
  load_gauge_t load_gauge;
  uint64_t in_flight;
  uint32_t engines_in_use;
  answered_parts_t answered;
  bool has_streams;
  uint32_t unmovable_ticks;
  uint64_t unmovable_version;
  uint64_t told_epoch;
  uint32_t mean_milli;
  uint64_t overloaded_logged_us;
  bool room_held;
  uint64_t room_logged_us;
  retry_budget_t retries;
  loss_rate_t *losses;
  latency_t *wait_histogram;
  latency_t *head_histogram;
  latency_t *answer_histogram;
  latency_t *failure_histogram;
} gateway_service_t;

/**
 * struct gateway_route_stats - usual times on one route
 * @route_hash: hash of the name of the route
 * @event_pace: time from one event of a stream to the next
 * @answer_pace: time of a response that is not a stream
 * @first_ask: recognizes requests that a client sends again after a refusal
 * @run_us: time for which a request keeps its slot, smoothed; 0 before the first
 */
typedef struct
{
  uint64_t route_hash;
  median_latency_t event_pace;
  median_latency_t answer_pace;
  first_attempt_t first_ask;
  uint64_t run_us;
} gateway_route_stats_t;

struct gateway
{
  gateway_options_t options;
  uint64_t name_hash; /* of the name of this gateway */
  http_server_t *listener;
  http_client_t *upstreams; /* connections to engines */
  routing_t *table;
  bool config_current; /* @table is known to be the newest version */
  bool stopping;       /* no connections and requests are accepted any more */
  stop_grace_t stop_grace;
  uint64_t started_us;
  uint32_t routers;             /* see gateway_set_routers() */
  uint32_t known_routers;       /* likewise, also those not heard from lately */
  uint32_t told_routers;        /* @known_routers when other gateways were told of streams */
  bool no_shares_before;        /* see gateway_set_shares_known() */
  bool shares_trusted;          /* likewise */
  uint32_t resuming_count;      /* calls whose version is being found out */
  uint32_t held_count;          /* calls with @held_us */
  GHashTable *services;         /* interned name -> gateway_service_t */
  GHashTable *calls;            /* set of gateway_call_t */
  recent_answers_t *cache_warm; /* prompts and engines that read their shared parts lately */
  part_holders_t *holders;      /* engines that hold shared parts; NULL when that is set off */
  gateway_route_stats_t route_stats[GATEWAY_ROUTE_STATS_SLOTS];
  uint32_t ticks;
  uint64_t shed_logged_us; /* 0 for never */
  struct event *tick_timer;
  uint64_t next_call_number;
  counter_t *answered;
  counter_t *refused;
  counter_t *failed;
  counter_t *retried;
  counter_t *resumed;
  counter_t *gone;
  counter_t *waited;
  counter_t *room_waited;
  counter_t *losses;
  counter_t *bad_events;
  counter_t *suspect_refused;
  counter_t *part_refused;
  counter_t *part_retrials;
  counter_t *sheds;
  counter_t *overloaded;
  counter_t *parts_held;
  counter_t *parts_copied;
  counter_t *parts_guessed;
  counter_t *resumptions;
  counter_t *resumptions_refused;
  counter_t *resumption_outcomes[GATEWAY_RESUMPTION_OUTCOMES];
  counter_t *versions_gauge;
  counter_t *backups;
  counter_t *backup_tokens;
  counter_t *continued;
  counter_t *copies_missing;
  counter_t *continued_whole;
};

/**
 * struct gateway_belief - what was known of an engine when a request was sent there
 * @load: requests at the engine, as estimated, in which @own_requests of this gateway are counted
 * @mean_milli: mean load of the service, in thousandths of a request
 * @mean_age_us: mean age of the reports that it is made of
 * @bound_milli: load that the engine could have with the request, in thousandths of a request
 * @rank: of the engine
 * @told_us: when the engine stated its load; 0 for never
 * @is_told_by_peer: it stated that to another gateway
 */
typedef struct
{
  uint32_t load;
  uint32_t own_requests;
  uint32_t mean_milli;
  uint64_t mean_age_us;
  uint64_t bound_milli;
  uint32_t rank;
  uint64_t told_us;
  bool is_told_by_peer;
} gateway_belief_t;

/** struct gateway_left - an engine that a request left as it was silent; @hash: of it; @at_us: when
 */
typedef struct
{
  uint64_t hash;
  uint64_t at_us;
} gateway_left_t;

typedef struct gateway_call gateway_call_t;

/** struct gateway_hop - what the callbacks of a hop get; @is_fallback: it is not the current hop */
typedef struct
{
  gateway_call_t *call;
  bool is_fallback;
} gateway_hop_t;

/**
 * struct gateway_fallback - a hop that stays open, unread, while the request is tried elsewhere,
 * and what its call goes on with if it is refused there; fields as those of the call
 * @upstream: NULL when there is no fallback, or it has ended
 * @engine: NULL when there is no fallback
 * @is_broken: bytes of its response were lost, so the call can't go back to it
 */
typedef struct
{
  http_client_call_t *upstream;
  engine_t *engine;
  bool is_broken;
  retry_plan_t course;
  event_splitter_t splitter;
  gateway_belief_t belief;
  uint64_t tried[GATEWAY_TRIED_MAX];
  uint32_t tried_count;
  format_response_t response;
  bool has_head;
  bool is_framed;
  bool resuming;
  bool is_written_long;
  bool is_refusal_unproven;
  bool has_continued;
  uint64_t sent_us;
  uint64_t head_us;
  uint64_t first_data_us;
  uint64_t last_byte_us;
  uint64_t events_before_head;
  uint64_t dropped_bytes;
  uint64_t copy_engine;
  format_copy_t copy;
} gateway_fallback_t;

/**
 * struct gateway_resumption - a client's request that resumes a stream
 * @asked_us: when the other gateways were asked last, 0 for never
 * @outcome: of the request
 * @rounds: how often the other gateways were asked
 * @keepers: gateways that may know the stream, at the last time
 * @sent: questions that were sent, of all times
 * @answers: hashes of the gateways that don't know the stream, @answer_count of them
 */
typedef struct
{
  uint64_t asked_us;
  gateway_resumption_outcome_t outcome;
  uint32_t rounds;
  uint32_t keepers;
  uint32_t sent;
  uint64_t answers[GATEWAY_ANSWERS_MAX];
  uint32_t answer_count;
} gateway_resumption_t;

/**
 * struct gateway_call - a client's request, from its arrival to the end of its response
 * @client: call of the listener; NULL once the client has gone
 * @upstream: call of the HTTP client for the current hop, or NULL
 * @table: routing table by which the request is handled
 * @account: NULL on a route that needs no key
 * @subjects: the request, then the parts of its prompt but the last, as all gateways know them when
 *   engines end under them
 * @held_us: when it began to wait for what another request shows of a part of its prompt; 0 if it
 *   does not
 * @request: parsed headers of the request; borrows from @client
 * @queue_item: entry in the queue of @service
 * @course: decides what follows the outcome of a hop
 * @engine: engine of the current hop, or NULL
 * @hop_contexts: of the current hop, at @hop_index, and of the fallback
 * @fallback: the hop before, until the engine of the current one has answered
 * @belief: what was known of it
 * @tried: hashes of engines that are not asked again
 * @hops: sends to engines so far
 * @affinity: hash of the prompt part by which an engine is chosen; 0 for none
 * @affinity_tokens: length of that part
 * @shared_parts: hash of all prompt parts that other requests may share
 * @response: parsed headers of the last hop's response; valid when @has_head is set
 * @status: HTTP status of the response that is forwarded
 * @is_framed: it has a length or comes in chunks, so that its end shows that it is whole
 * @streaming: the response is a stream of events, of a route that declares it
 * @resuming: the current hop resumes a stream
 * @stream: hash by which all gateways know the stream of this response, 0 when it can't be resumed
 * @resumption: valid for a request that resumes a stream
 * @is_version_pending: the version at which the stream goes on, or may begin, is not known yet
 * @begin_version: version to which the request was sent that begins the stream, 0 before that
 * @version: version of the engine that wrote the first event of the stream, 0 before that. Further
 *   events may come only from engines of the same version
 * @sent_us: time at which the last hop was sent
 * @head_us: time at which the head of its response came
 * @first_data_us: time at which the first part of its body came; 0 before that
 * @is_written_long: for long enough to show that the parts of the prompt end no engine
 * @last_byte_us: time at which the last byte of its response came; 0 before the first
 * @move: what was last missing to leave the engine of the current hop for its silence, or
 *   %HOP_MOVE_NOW
 * @move_checked_us: time at which another engine was last looked for; 0 before that
 * @is_moving: it is sent from a silent engine to one that must be sound
 * @left: engines that the request left as they were silent, the first @left_count of them
 * @events_before_head: whole events of the stream that had come before this head
 * @is_refusal_unproven: the status of the last hop's response promises that the request has not
 *   run, and nothing else states it
 * @is_deadline_extended: the response of the last hop is read after the deadline
 * @client_was_slow: the client read the response of the last hop slowly
 * @failure_buffered: the error response of an engine is buffered, to be forwarded if no other
 *   engine serves the request
 * @dropped_bytes: of the body of an engine's refusal
 * @has_continued: the current hop, or an earlier one, went on from a copy
 * @copy_engine: hash of the engine that gets the copy of the current run's cache, 0 for none
 * @copy: by which that engine knows the copy
 * @timer: fires at the deadline
 */
struct gateway_call
{
  gateway_task_t *gateway;
  http_server_call_t *client;
  http_client_call_t *upstream;
  gateway_hop_t hop_contexts[2];
  uint32_t hop_index;
  gateway_fallback_t fallback;
  routing_t *table;
  const routing_route_t *route;
  const routing_account_t *account;
  gateway_service_t *service;
  crash_subject_t *subjects;
  uint32_t subject_count;
  uint64_t held_us;
  format_request_t request;
  char id[FORMAT_ID_BYTES];
  wait_queue_item_t queue_item;
  retry_plan_t course;
  event_splitter_t splitter;
  relay_t relay;
  struct evbuffer *body;
  size_t body_bytes;
  engine_t *engine;
  gateway_belief_t belief;
  uint64_t tried[GATEWAY_TRIED_MAX];
  uint32_t tried_count;
  uint32_t hops;
  uint64_t affinity;
  uint32_t affinity_tokens;
  uint64_t shared_parts;
  format_response_t response;
  int status;
  bool has_head;
  bool is_framed;
  bool streaming;
  bool resuming;
  bool is_version_pending;
  uint64_t stream;
  gateway_resumption_t resumption;
  uint64_t begin_version;
  uint64_t version;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t sent_us;
  uint64_t head_us;
  uint64_t first_data_us;
  uint64_t last_byte_us;
  uint64_t move_checked_us;
  gateway_left_t left[GATEWAY_LEFT_MAX];
  uint32_t left_count;
  hop_move_t move;
  uint64_t events_before_head;
  uint64_t dropped_bytes;
  uint64_t copy_engine;
  bool is_written_long;
  bool is_refusal_unproven;
  bool is_moving;
  bool is_deadline_extended;
  bool client_was_slow;
  bool failure_buffered;
  bool has_continued;
  format_copy_t copy;
  struct event *timer;
};

/** gateway_service() - the state of a service, made when it is not there yet; @name is interned */
gateway_service_t *gateway_service (gateway_task_t *gateway, const char *name);
/** gateway_route_stats() - the statistics of a route */
gateway_route_stats_t *gateway_route_stats (gateway_task_t *gateway, const routing_route_t *route);
uint64_t gateway_now_us (const gateway_task_t *gateway);

/** gateway_accept() - checks a client's request, and rejects it or starts a call */
void gateway_accept (http_server_call_t *client, void *context);

/** gateway_call_new() - a call for a request that was accepted; starts its deadline timer */
gateway_call_t *gateway_call_new (gateway_task_t *gateway,
                                  http_server_call_t *client,
                                  const routing_route_t *route,
                                  const routing_account_t *account,
                                  const format_request_t *request);
void gateway_call_free (gateway_call_t *call);
/** gateway_call_usual_run_us() - usual time for which requests of this kind occupy an engine */
uint64_t gateway_call_usual_run_us (const gateway_call_t *call);
/** gateway_call_may_begin() - whether the request may be sent to an engine now: unless the gateway
 * is being stopped and the answer would usually come later than the end of that. A response that
 * has begun goes on as far as it can */
bool gateway_call_may_begin (const gateway_call_t *call);
/** gateway_call_refuse_late() - ends a request that may not begin */
void gateway_call_refuse_late (gateway_call_t *call);
/** gateway_call_start() - places the request, or ends or queues it because engines ended under it
 * or a part of its prompt. The software version of a stream that goes on must be known before */
void gateway_call_start (gateway_call_t *call);
/** gateway_call_place() - sends the request to an engine, queues it, or refuses it */
void gateway_call_place (gateway_call_t *call);
/** gateway_call_choose_engine() - the engine to which the request would be sent now */
engine_choice_t gateway_call_choose_engine (const gateway_call_t *call);
/** gateway_call_has_successor() - whether an engine that is surely sound has room for the request
 */
bool gateway_call_has_successor (const gateway_call_t *call);
/** gateway_call_placement() - the request as engines are chosen for it, but those that it tried */
engine_choice_request_t gateway_call_placement (const gateway_call_t *call);
/** gateway_call_hop_ended() - a hop ended with @outcome; takes the next step, which may free the
 * call */
void gateway_call_hop_ended (gateway_call_t *call,
                             retry_plan_outcome_t outcome,
                             verdict_reason_t reason);
/** gateway_call_continue() - sends the request to the engine with the copy of its run, while the
 * hop before is the fallback */
void gateway_call_continue (gateway_call_t *call);
/** gateway_call_retry_wait_us() - time until the retry budget allows a retry if no request comes
 * meanwhile; 0 if it allows one now */
uint64_t gateway_call_retry_wait_us (const gateway_call_t *call);
/** gateway_call_complete() - ends the call with a complete response; frees it */
void gateway_call_complete (gateway_call_t *call);
/** gateway_call_fail() - ends the call without another hop: by 503 if the request ran nowhere,
 * otherwise by an error which says that it may have run; frees it */
void gateway_call_fail (gateway_call_t *call, verdict_reason_t reason, uint32_t retry_after_ms);
/** gateway_call_fail_no_engine() - ends the call because @choice found no engine to ask; frees it
 */
void gateway_call_fail_no_engine (gateway_call_t *call, const engine_choice_t *choice);
/** gateway_call_end_unplaced() - likewise, unless it is worth to wait for an engine that was asked
 * before; frees or queues it */
void gateway_call_end_unplaced (gateway_call_t *call, const engine_choice_t *choice);
/** gateway_call_end_by_stop() - ends the call as the process is about to exit: by 503 if the
 * request ran nowhere and is at no engine, else as one that failed; frees it */
void gateway_call_end_by_stop (gateway_call_t *call);
/** gateway_call_log() - logs one decision on the request */
void gateway_call_log (const gateway_call_t *call,
                       const char *event,
                       const char *outcome,
                       verdict_reason_t reason);
/** gateway_call_log_failure() - likewise, for a refusal or failure that the client gets; the line
 * is written before the response */
void gateway_call_log_failure (const gateway_call_t *call,
                               const char *event,
                               const char *outcome,
                               verdict_reason_t reason);

/** gateway_suspect_init() - sets the subjects of a call */
void gateway_suspect_init (gateway_call_t *call);
/** gateway_suspect_is_on_trial() - whether the request, or a part of its prompt, is on trial or
 * refused because of the engines that ended under it */
bool gateway_suspect_is_on_trial (const gateway_call_t *call);
/** gateway_suspect_exclude_trials() - adds the engines of other calls on trial to the @count in
 * @excluded, which has room for %GATEWAY_EXCLUDED_MAX. Return: the number there */
uint32_t
gateway_suspect_exclude_trials (const gateway_call_t *call, uint64_t *excluded, uint32_t count);
/** gateway_suspect_stop() - ends or queues the call if its request may not be sent now because
 * engines ended under it or a part of its prompt. Return: whether it did */
bool gateway_suspect_stop (gateway_call_t *call);
/** gateway_suspect_must_wait() - whether the call was queued by gateway_suspect_stop() and is to
 * stay there */
bool gateway_suspect_must_wait (const gateway_call_t *call);
/** gateway_suspect_leave() - the call waits no more for what another request shows */
void gateway_suspect_leave (gateway_call_t *call);
/** gateway_suspect_record_loss() - the engine of the current hop broke off */
void gateway_suspect_record_loss (const gateway_call_t *call);
/** gateway_suspect_note_data() - a part of the response's body came */
void gateway_suspect_note_data (gateway_call_t *call);
/** gateway_suspect_note_complete() - the response is complete */
void gateway_suspect_note_complete (const gateway_call_t *call);

/** gateway_hop_send() - sends the request to the engine of @choice; clears its cache source where
 * none is needed */
void gateway_hop_send (gateway_call_t *call, engine_choice_t *choice);
/** gateway_hop_check_silence() - gives the current hop up if its engine is silent for too long and
 * another one can take the request */
void gateway_hop_check_silence (gateway_call_t *call);
/** gateway_hop_give_up_engine() - gives the current hop up if it went to the engine @hash, which
 * was replaced before @replaced_us, and brought no byte since */
void gateway_hop_give_up_engine (gateway_call_t *call, uint64_t hash, uint64_t replaced_us);
/** gateway_hop_cancel() - cancels the current hop, if any, without an outcome */
void gateway_hop_cancel (gateway_call_t *call);
/** gateway_hop_cancel_current() - likewise, but keeps the fallback */
void gateway_hop_cancel_current (gateway_call_t *call);
/** gateway_hop_note_left() - the request leaves @engine, which is silent */
void gateway_hop_note_left (gateway_call_t *call, const engine_t *engine, uint64_t now_us);
/** gateway_hop_release() - a hop of the call to @engine has ended */
void gateway_hop_release (gateway_call_t *call, engine_t *engine);

/** gateway_fallback_keep() - makes the current hop the fallback: it stays open, unread, and the
 * call has no current hop. Return: false if the hop has ended, which its callback tells in a moment
 */
bool gateway_fallback_keep (gateway_call_t *call);
/** gateway_fallback_use() - the fallback is the current hop again, in place of one that ended
 * without running the request; @has_copy: the engine of that one may still have the copy. Return:
 * false if the fallback has broken off meanwhile; it is dropped then */
bool gateway_fallback_use (gateway_call_t *call, bool has_copy);
/** gateway_fallback_drop() - closes the fallback, if any: the request goes on elsewhere */
void gateway_fallback_drop (gateway_call_t *call);
/** gateway_fallback_cancel() - closes the fallback, if any: the call ends */
void gateway_fallback_cancel (gateway_call_t *call);
/** gateway_fallback_note_end() - the fallback has ended */
void gateway_fallback_note_end (gateway_call_t *call);
/** gateway_fallback_check() - ends the time for which the current hop and the fallback are both
 * open; to be called a few times a second */
void gateway_fallback_check (gateway_call_t *call, uint64_t now_us);

/** gateway_parts_init() - makes the table of the engines that hold shared parts of prompts */
void gateway_parts_init (gateway_task_t *gateway);
/** gateway_parts_holders() - the table for the call's service; NULL when it doesn't apply there */
const part_holders_t *gateway_parts_holders (const gateway_call_t *call);
/** gateway_parts_note_choice() - counts what is known of the engine and the copy source of @choice
 */
void gateway_parts_note_choice (const gateway_call_t *call, const engine_choice_t *choice);
/** gateway_parts_note_answer() - the engine of the current hop answered, so it holds the parts */
void gateway_parts_note_answer (gateway_call_t *call);

/** gateway_resume_init() - sets the hash of the call's stream */
void gateway_resume_init (gateway_call_t *call);
/** gateway_resume_start() - places a request at the version at which its stream goes on or begins,
 * finds that out, or refuses the request */
void gateway_resume_start (gateway_call_t *call);
/** gateway_resume_leave() - the call ends, or goes on */
void gateway_resume_leave (gateway_call_t *call);
/** gateway_resume_poll() - decides again on the calls whose version is not known yet */
void gateway_resume_poll (gateway_task_t *gateway);
/** gateway_resume_begin_version() - the version at which the stream of a request begins, 0 for any
 */
uint64_t gateway_resume_begin_version (const gateway_call_t *call);
/** gateway_resume_note_send() - the request is sent to its engine, which may begin the stream */
void gateway_resume_note_send (gateway_call_t *call);
/** gateway_resume_note_not_run() - the request ran at no engine, so the stream may begin at another
 * version */
void gateway_resume_note_not_run (gateway_call_t *call);
/** gateway_resume_note_event() - an event of the stream is forwarded: the first one binds the
 * stream to the version of its engine */
void gateway_resume_note_event (gateway_call_t *call);
/** gateway_resume_note_end() - the response ends; @complete: the client has the whole stream */
void gateway_resume_note_end (gateway_call_t *call, bool complete);
/** gateway_resume_review() - tells other gateways of streams as tables or gateways change, and
 * counts the versions that serve; to be called a few times a second */
void gateway_resume_review (gateway_task_t *gateway);

/** gateway_copies_register_counters() - registers the counters of copies */
void gateway_copies_register_counters (gateway_task_t *gateway);
/** gateway_copies_review() - looks which engines were lost; to be called a few times a second */
void gateway_copies_review (gateway_task_t *gateway);
/** gateway_copies_note_break() - @engine broke off, or is silent */
void gateway_copies_note_break (const gateway_call_t *call, const engine_t *engine);
/** gateway_copies_choose() - the engine that is to get a copy of the cache of the run at
 * @call->engine, to which the request is sent now. Return: its address; NULL for no copy */
const address_t *gateway_copies_choose (gateway_call_t *call);
/** gateway_copies_check() - drops the copy from the plan of the request if the engine that has it
 * can't be asked now; before retry_plan_next() */
void gateway_copies_check (gateway_call_t *call);
/** gateway_copies_may_continue() - whether the run can go on from its copy now */
bool gateway_copies_may_continue (const gateway_call_t *call);
/** gateway_copies_continue() - sends the request to the engine that has the copy */
void gateway_copies_continue (gateway_call_t *call);
/** gateway_copies_note_missing() - the engine that was to have the copy refused the request */
void gateway_copies_note_missing (const gateway_call_t *call);
/** gateway_copies_note_complete() - the response is complete */
void gateway_copies_note_complete (const gateway_call_t *call);

/** gateway_resume_register_counters() - registers the counters of resumptions by outcome */
void gateway_resume_register_counters (gateway_task_t *gateway);
/** gateway_resume_log_decision() - logs whether the stream goes on, and what that is based on */
void gateway_resume_log_decision (const gateway_call_t *call,
                                  const resumption_view_t *view,
                                  const resumption_t *decision);
/** gateway_resume_count_event() - counts a resumption as gone on, with its first event */
void gateway_resume_count_event (gateway_call_t *call);
/** gateway_resume_count_complete() - counts a resumption whose response is complete */
void gateway_resume_count_complete (gateway_call_t *call);
/** gateway_resume_count_failure() - counts a resumption that ends without an event, and logs with
 * the software versions that serve if no engine takes the stream. @ran: it may have run */
void gateway_resume_count_failure (gateway_call_t *call, verdict_reason_t reason, bool ran);

/** gateway_queue_push() - all engines are full: queues the request, or refuses it */
void gateway_queue_push (gateway_call_t *call);
/** gateway_queue_for_retry() - a full engine refused the request and the retry budget is used up:
 * queues it until a retry is allowed, or refuses it */
void gateway_queue_for_retry (gateway_call_t *call);
/** gateway_queue_given_up() - no engine can be asked now for a request that was given up at a
 * silent one: queues it until its deadline, as its client can't be told that it did not run */
void gateway_queue_given_up (gateway_call_t *call);
/** gateway_queue_unsent() - no connection was made to the engines that the request tried: queues it
 * to try them again, or refuses it */
void gateway_queue_unsent (gateway_call_t *call);
/** gateway_queue_for_backoff() - all engines that are left asked for no requests for a time, which
 * ends first after @rest_us: queues the request until then, or refuses it */
void gateway_queue_for_backoff (gateway_call_t *call, uint64_t rest_us);
/** gateway_queue_for_trial() - queues the request until another one has shown whether a part of its
 * prompt ends engines. Return: false if its deadline leaves no time */
bool gateway_queue_for_trial (gateway_call_t *call);
/** gateway_queue_remove() - takes the request out of the queue, if it is queued */
void gateway_queue_remove (gateway_call_t *call);
/** gateway_queue_room_draw() - Return: the number of @call for room_choice.c */
uint32_t gateway_queue_room_draw (const gateway_call_t *call);
/** gateway_queue_note_shared_room() - Return: whether room_choice.c decides for @call, which is
 * then counted for its account at its first attempt */
bool gateway_queue_note_shared_room (const gateway_call_t *call);
/** gateway_queue_dispatch() - sends queued requests of @service as far as its engines have room */
void gateway_queue_dispatch (gateway_service_t *service);
/** gateway_queue_expire() - refuses the queued requests of @service that can't start in time; frees
 * them
 */
void gateway_queue_expire (gateway_service_t *service);

#endif
