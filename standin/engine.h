/**
 * DOC: engine
 *
 * The state of the stand-in engine, shared by its files: engine_run.c takes requests through the
 * batch, engine_answer.c writes their answers, engine_admin.c answers all the rest.
 */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "batch.h"
#include "cache_events.h"
#include "engine_record.h"
#include "http.h"
#include "prefix_cache.h"

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SEN_LIMIT_WAITING 4096
#define SEN_LIMIT_REMEMBERED 1024 /* ended streams that can be resumed */
#define SEN_LIMIT_OUTPUT_TOKENS 65536
#define SEN_DEFAULT_OUTPUT_TOKENS 16

/**
 * struct sen_options - the flags
 * @plain: a plain service in place of a model engine
 * @token_us: between two output tokens
 * @service_us: what a plain call takes
 * @crash_on: a body that contains it ends the process; NULL for none
 * @check_fence: refuse an order with an old fencing number
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
  uint32_t event_gap_percent;
  const char *crash_on;
  bool check_fence;
  int record_fd;
  uint32_t seed;
} sen_options_t;

/**
 * struct sen_fault - faults of the next @count requests, as POST /fault sets them
 * @cut_after_tokens: cut the answer there; 0 is never
 * @cross_ids: answer with the id and the text of the request before
 * @no_length: answer with neither length nor chunks
 * @late_us: start that much later
 */
typedef struct
{
  uint32_t count;
  uint64_t freeze_us;
  uint32_t cut_after_tokens;
  bool cross_ids;
  bool no_length;
  uint64_t late_us;
} sen_fault_t;

typedef struct
{
  uint32_t running;
  uint32_t waiting;
  uint32_t cached_tokens;
  uint64_t taken_us;
} sen_load_t;

typedef struct
{
  sen_options_t options;
  struct event_base *base;
  bat_t *batch;
  uint64_t step_us;
  uint64_t next_step_us;
  struct event *step_timer;
  bool stepping;
  pfx_t *cache;
  cev_t *events;
  erc_t *record;
  GHashTable *active; /* id -> sen_run_t */
  GQueue remembered;  /* sen_ended_t, newest first */
  sen_fault_t fault;
  sen_load_t reported; /* what GET /load tells: taken at the last report */
  struct event *report_timer;
  char *last_id;
  uint64_t last_body_hash;
  uint64_t highest_fence;
  uint64_t served;
} sen_t;

/** struct sen_run - one request; @job goes first, so that a job can be cast to its run */
typedef struct
{
  bat_job_t job;
  sen_t *engine;
  sht_call_t *call; /* NULL once the caller of a plain call has gone */
  char *id;
  char *method;
  char *path;
  GString *prompt;
  uint64_t body_hash;
  uint32_t prompt_tokens;
  uint32_t cached_tokens;
  uint32_t first_token; /* of a resumed stream */
  bool stream;
  bool streaming; /* the head has been sent */
  bool in_batch;
  uint64_t serial;
  sen_fault_t fault;
  struct event *late;
  GString *text; /* the answer so far */
} sen_run_t;

/** struct sen_ended - what is kept of an ended stream for POST /resume */
typedef struct
{
  char *id;
  uint64_t body_hash;
  uint32_t wanted_tokens;
} sen_ended_t;

/** sen_run_chat() - POST /v1/chat/completions */
void sen_run_chat (sen_t *engine, sht_call_t *call);
/** sen_run_plain() - any call of a plain service */
void sen_run_plain (sen_t *engine, sht_call_t *call);
/** sen_run_resume() - POST /resume?id=ID&from=N: go on with an ended stream at token N */
void sen_run_resume (sen_t *engine, sht_call_t *call);
/** sen_run_cancel() - end the run of that id. Return: false when there is none */
bool sen_run_cancel (sen_t *engine, const char *id);
/** sen_batch_new() - the batch that drives all runs */
bat_t *sen_batch_new (sen_t *engine);
/** sen_step() - the step timer's callback */
void sen_step (evutil_socket_t fd, short what, void *engine);

/** sen_answer_token() - the token just made, into the answer */
void sen_answer_token (sen_run_t *run);
/** sen_answer_whole() - the end of the answer; ends the call */
void sen_answer_whole (sen_run_t *run);
/** sen_answer_cut() - end the call with part of the answer */
void sen_answer_cut (sen_run_t *run);
/** sen_answer_error() - a refusal before anything ran; ends the call */
void sen_answer_error (sen_t *engine, sht_call_t *call, int status, const char *message);
/** sen_answer_json() - any other answer; ends the call */
void sen_answer_json (sen_t *engine, sht_call_t *call, int status, json_t *json);

/** sen_admin() - load, cache events, record, orders, faults. Return: false when it is none */
bool sen_admin (sen_t *engine, sht_call_t *call);
/** sen_report() - the report timer's callback: from now on GET /load tells this moment's load */
void sen_report (evutil_socket_t fd, short what, void *engine);

#endif
