/**
 * DOC: engine
 *
 * Shared state of the stand-in engine: engine_run.c runs requests in the batch, engine_answer.c
 * writes their answers, and engine_admin.c answers all other calls.
 */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "batch.h"
#include "cache_events.h"
#include "run_record.h"
#include "http_call.h"
#include "prefix_cache.h"

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define STANDIN_ENGINE_MAX_WAITING 4096       /* further requests are refused with status 503 */
#define STANDIN_ENGINE_MAX_ENDED_STREAMS 1024 /* ended streams that can still be resumed */
#define STANDIN_ENGINE_MAX_OUTPUT_TOKENS 65536
#define STANDIN_ENGINE_DEFAULT_OUTPUT_TOKENS 16 /* for a chat without max_tokens */

/**
 * struct standin_engine_options - command-line options
 * @listen: address to listen on, IP:PORT
 * @name: name in the answers and in the header X-Engine
 * @plain: act as a plain service, not as a model engine
 * @slots: maximum number of requests that run at the same time
 * @prefill_tokens_s: prompt tokens prefilled per second; 0 is unlimited
 * @token_us: time between two output tokens
 * @service_us: duration of a call to a plain service
 * @cache_tokens: capacity of the prefix cache
 * @report_lag_us: interval at which the reported load is refreshed, and delay of cache events; with
 *   0 both are current
 * @event_loss_percent: share of the cache events that are never published
 * @crash_on: the process exits on a request body that contains this text; NULL for none
 * @check_fence: refuse orders whose fencing number is lower than the highest one seen
 * @record_fd: file for the record of runs, or -1
 * @seed: seed for the choice of lost cache events
 */
typedef struct
{
  const char *listen;
  const char *name;
  bool plain;
  uint32_t slots;
  uint64_t prefill_tokens_s;
  uint64_t token_us;
  uint64_t service_us;
  uint32_t cache_tokens;
  uint64_t report_lag_us;
  uint32_t event_loss_percent;
  const char *crash_on;
  bool check_fence;
  int record_fd;
  uint32_t seed;
} standin_engine_options_t;

/**
 * struct standin_engine_fault - faults that POST /fault injects
 * @count: number of requests that the fault still applies to
 * @freeze_us: block the whole process for this long before the request runs
 * @cut_after_tokens: abort the answer after this many tokens; 0 disables it
 * @repeat_previous: answer with the id and body hash of the previous request
 * @omit_length: answer with neither Content-Length nor chunked encoding
 * @start_delay_us: queue the request only after this delay
 */
typedef struct
{
  uint32_t count;
  uint64_t freeze_us;
  uint32_t cut_after_tokens;
  bool repeat_previous;
  bool omit_length;
  uint64_t start_delay_us;
} standin_engine_fault_t;

/**
 * struct standin_engine_load - a sample of the load
 * @running: requests in the batch
 * @waiting: requests that wait for a slot
 * @cached_tokens: tokens in the prefix cache
 * @sampled_us: when the sample was taken, on the monotonic clock
 */
typedef struct
{
  uint32_t running;
  uint32_t waiting;
  uint32_t cached_tokens;
  uint64_t sampled_us;
} standin_engine_load_t;

/**
 * struct standin_engine_t - the engine
 * @step_us: duration of one step of the batch
 * @next_step_us: when the next step is due, on the monotonic clock
 * @step_scheduled: whether @step_timer is pending; it isn't while the batch is empty
 * @active_runs: request id -> standin_engine_run_t, not owned
 * @ended_streams: standin_engine_ended_stream_t, newest first
 * @fault: fault for the next requests
 * @reported_load: the answer to GET /load, unless report_lag_us is 0
 * @previous_id: id of the request that ended last, or NULL
 * @previous_body_hash: its body hash
 * @highest_fence: highest fencing number of an order so far
 * @served_count: requests that have ended
 */
typedef struct
{
  standin_engine_options_t options;
  struct event_base *base;
  batch_t *batch;
  uint64_t step_us;
  uint64_t next_step_us;
  struct event *step_timer;
  bool step_scheduled;
  prefix_cache_t *cache;
  cache_events_t *events;
  run_record_t *record;
  GHashTable *active_runs;
  GQueue ended_streams;
  standin_engine_fault_t fault;
  standin_engine_load_t reported_load;
  struct event *report_timer;
  char *previous_id;
  uint64_t previous_body_hash;
  uint64_t highest_fence;
  uint64_t served_count;
} standin_engine_t;

/**
 * struct standin_engine_run - one request
 * @job: the first field, so that a job can be cast to its run
 * @call: NULL once the caller of a plain service has disconnected
 * @prompt: all messages of the chat, later followed by the answer
 * @first_token: number of the first token to send; above 0 for a resumed stream
 * @stream: whether the caller asked for a streamed answer
 * @headers_sent: whether the headers of the stream have been sent
 * @in_batch: whether the batch holds @job
 * @serial: serial number in the record of runs
 * @fault: the injected fault that applies to this request
 * @start_timer: delays the start as @fault demands, or NULL
 * @text: the answer so far
 */
typedef struct
{
  batch_job_t job;
  standin_engine_t *engine;
  http_call_t *call;
  char *id;
  char *method;
  char *path;
  GString *prompt;
  uint64_t body_hash;
  uint32_t prompt_tokens;
  uint32_t cached_tokens;
  uint32_t first_token;
  bool stream;
  bool headers_sent;
  bool in_batch;
  uint64_t serial;
  standin_engine_fault_t fault;
  struct event *start_timer;
  GString *text;
} standin_engine_run_t;

/** struct standin_engine_ended_stream - the data of an ended stream that POST /resume needs */
typedef struct
{
  char *id;
  uint64_t body_hash;
  uint32_t target_tokens;
} standin_engine_ended_stream_t;

/** standin_engine_run_chat() - handles POST /v1/chat/completions */
void standin_engine_run_chat (standin_engine_t *engine, http_call_t *call);
/** standin_engine_run_plain() - handles any request to a plain service */
void standin_engine_run_plain (standin_engine_t *engine, http_call_t *call);
/** standin_engine_resume_stream() - handles POST /resume?id=ID&from=N: continues an ended stream at
 * token N */
void standin_engine_resume_stream (standin_engine_t *engine, http_call_t *call);
/** standin_engine_cancel_run() - cancels the run with this id. Return: false if there is none */
bool standin_engine_cancel_run (standin_engine_t *engine, const char *id);
/** standin_engine_create_batch() - creates the batch that executes all runs */
batch_t *standin_engine_create_batch (standin_engine_t *engine);
/** standin_engine_on_step() - callback of the step timer */
void standin_engine_on_step (evutil_socket_t fd, short what, void *engine);

/** standin_engine_answer_token() - adds the token generated last to the answer, and sends it if
 * streamed */
void standin_engine_answer_token (standin_engine_run_t *run);
/** standin_engine_complete_answer() - completes the answer; ends the call */
void standin_engine_complete_answer (standin_engine_run_t *run);
/** standin_engine_abort_answer() - sends an incomplete answer; ends the call */
void standin_engine_abort_answer (standin_engine_run_t *run);
/** standin_engine_answer_error() - refuses a request that has not run; ends the call */
void standin_engine_answer_error (standin_engine_t *engine,
                                  http_call_t *call,
                                  int status,
                                  const char *message);
/** standin_engine_answer_json() - sends any other answer; takes over @json; ends the call */
void
standin_engine_answer_json (standin_engine_t *engine, http_call_t *call, int status, json_t *json);

/**
 * standin_engine_handle_admin() - handles load, health, cache events, the record, orders,
 * cancellations and faults
 *
 * Return: false, with the call untouched, for any other path
 */
bool standin_engine_handle_admin (standin_engine_t *engine, http_call_t *call);
/** standin_engine_on_report() - callback of the report timer: samples the load that GET /load
 * reports */
void standin_engine_on_report (evutil_socket_t fd, short what, void *engine);

#endif
