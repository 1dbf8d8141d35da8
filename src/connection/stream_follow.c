#include "connection/stream_follow.h"

#include "base/log.h"

#define RECORDS_PER_READ_MAX 10000

/**
 * struct sfl - state of a follower
 * @timer: starts the next call; not pending while a call is, or while the follower rests
 * @call_pending: a call has not been answered
 * @resting: reads start only by sfl_read_soon()
 * @held: no call may start
 * @listing: the next call requests a page of the list
 * @has_listed: see sfl_has_listed()
 * @last_listed_key: last key of the previous page, NULL for the first page
 * @list_end_offset: end of the stream when the first page was made
 * @next_offset: offset to read from
 * @started_us: start of the last call; 0 before the first
 * @due_us: earliest start of the next call
 * @last_answer_us: time of the last successful response; 0 before the first
 * @backoff_ms: 0 while calls succeed
 * @catching_up: set by the first failure, until all that was written meanwhile has been read
 */
struct sfl
{
  sfl_options_t options;
  struct event *timer;
  GRand *rand;
  bool call_pending;
  bool resting;
  bool held;
  bool listing;
  bool has_listed;
  char *last_listed_key;
  uint64_t list_end_offset;
  uint64_t next_offset;
  uint64_t started_us;
  uint64_t due_us;
  uint64_t last_answer_us;
  uint32_t backoff_ms;
  bool catching_up;
  cnt_t *list_count;
  cnt_t *read_count;
  cnt_t *failure_count;
};

static void
start_timer (sfl_t *sfl)
{
  uint64_t now_us = clk_now_us (sfl->options.clk);
  uint64_t wait_us = sfl->due_us > now_us ? sfl->due_us - now_us : 0;
  struct timeval wait = { (time_t)(wait_us / CLK_US_PER_S), (suseconds_t)(wait_us % CLK_US_PER_S) };

  event_add (sfl->timer, &wait);
}

/* A list that has been started is completed even while the follower rests. */
static void
schedule_at (sfl_t *sfl, uint64_t due_us)
{
  sfl->due_us = due_us;
  if (sfl->held)
    return;
  if (!sfl->resting || sfl->listing || !sfl->has_listed)
    start_timer (sfl);
}

static void
schedule_in (sfl_t *sfl, uint64_t wait_us)
{
  schedule_at (sfl, clk_now_us (sfl->options.clk) + wait_us);
}

static void
reset_listing (sfl_t *sfl)
{
  g_clear_pointer (&sfl->last_listed_key, g_free);
  sfl->listing = true;
}

static void
log_dependency (const sfl_t *sfl, log_level_t level, const char *event)
{
  uint64_t now_us = clk_now_us (sfl->options.clk);

  log_event (level, event, "dependency", "store", "stream", sfl->options.stream, "unheard_ms",
             LOG_U64 (sfl->last_answer_us ? (now_us - sfl->last_answer_us) / CLK_US_PER_MS : 0),
             NULL);
}

static void
handle_failure (sfl_t *sfl)
{
  cnt_add (sfl->failure_count, 1);
  if (sfl->backoff_ms == 0)
    {
      log_dependency (sfl, LOG_LEVEL_WARNING, "dependency_lost");
      sfl->catching_up = true;
      sfl->options.told (SFL_LOST, sfl->options.context);
    }
  if (sfl->listing)
    reset_listing (sfl);
  sfl->backoff_ms = MIN (MAX (sfl->backoff_ms * 2, SFL_BACKOFF_MIN_MS), SFL_BACKOFF_MAX_MS);
  schedule_in (sfl, (uint64_t)sfl->backoff_ms * (uint32_t)g_rand_int_range (sfl->rand, 750, 1250));
}

static void
handle_success (sfl_t *sfl)
{
  if (sfl->backoff_ms > 0)
    log_dependency (sfl, LOG_LEVEL_NOTICE, "dependency_regained");
  sfl->last_answer_us = clk_now_us (sfl->options.clk);
  if (sfl->backoff_ms == 0)
    return;
  sfl->backoff_ms = 0;
  sfl->options.told (SFL_REGAINED, sfl->options.context);
}

/* Measures the pace from the start of the last call, so that a slow response does not add to it. */
static void
schedule_next (sfl_t *sfl, uint64_t pace_us)
{
  schedule_at (sfl, sfl->started_us + pace_us);
}

static void
apply_records (sfl_t *sfl, const plt_record_t *records, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    keyed_view_apply (sfl->options.view, records[i].offset, records[i].key, records[i].data,
                      records[i].data_bytes);
}

static void
on_page (const plt_newest_t *newest, void *context)
{
  sfl_t *sfl = context;

  sfl->call_pending = false;
  if (newest->outcome != PLT_OK || (newest->more && newest->record_count == 0))
    {
      handle_failure (sfl);
      return;
    }
  handle_success (sfl);
  if (!sfl->last_listed_key)
    {
      keyed_view_list_begin (sfl->options.view);
      sfl->list_end_offset = newest->end_offset;
    }
  apply_records (sfl, newest->records, newest->record_count);
  if (newest->more)
    {
      g_free (sfl->last_listed_key);
      sfl->last_listed_key = g_strdup (newest->records[newest->record_count - 1].key);
      schedule_in (sfl, 0);
      return;
    }
  keyed_view_list_end (sfl->options.view, sfl->list_end_offset);
  sfl->listing = false;
  sfl->catching_up = false;
  sfl->has_listed = true;
  sfl->next_offset = MAX (sfl->next_offset, sfl->list_end_offset);
  g_clear_pointer (&sfl->last_listed_key, g_free);
  sfl->options.told (SFL_LISTED, sfl->options.context);
  schedule_in (sfl, (uint64_t)SFL_PACE_MIN_MS * CLK_US_PER_MS);
}

/*
 * Lists without waiting for the pace, when more records follow the one that was read. With the
 * wait, a host that had not read for a while would stay outdated for that much longer: 1.4 s of the
 * 3 s within which a version must be in force. Reading the last record alone would not be enough:
 * those in between may hold the newest one of another key.
 */
static void
list_newest (sfl_t *sfl)
{
  reset_listing (sfl);
  sfl->due_us = clk_now_us (sfl->options.clk);
  start_timer (sfl);
}

static void
on_read (const plt_read_t *read, void *context)
{
  sfl_t *sfl = context;
  uint64_t pace_us = (uint64_t)sfl->options.pace_ms * CLK_US_PER_MS;

  sfl->call_pending = false;
  if (read->outcome == PLT_EXPIRED ||
      (read->outcome == PLT_OK && read->first_offset > sfl->next_offset))
    {
      log_event (LOG_LEVEL_NOTICE, "stream_expired", "stream", sfl->options.stream, "offset",
                 LOG_U64 (sfl->next_offset), NULL);
      reset_listing (sfl);
      schedule_next (sfl, (uint64_t)SFL_PACE_MIN_MS * CLK_US_PER_MS);
      return;
    }
  if (read->outcome != PLT_OK)
    {
      handle_failure (sfl);
      return;
    }
  handle_success (sfl);
  apply_records (sfl, read->records, read->record_count);
  sfl->next_offset = MAX (sfl->next_offset, read->next_offset);
  sfl->catching_up = sfl->next_offset < read->end_offset && sfl->catching_up;
  if (sfl->options.latest_only && sfl->next_offset + 1 < read->end_offset)
    {
      list_newest (sfl);
      return;
    }
  if (read->record_count == 0 && !sfl->resting)
    pace_us = (uint64_t)SFL_PACE_MIN_MS * CLK_US_PER_MS;
  schedule_next (sfl, pace_us);
}

/*
 * How long the next read may wait at the platform for a new record.
 *
 * Not at all while the platform fails: a read that starts during an outage is never answered, so
 * its wait would prolong the outage. A wait of 5 s delayed a version by 5 s.
 *
 * Less than configured when the last response is older. Other hosts rest while this one has
 * recently heard from the store; after a pace of 1.2 s and a wait of 1 s it had not, and a hundred
 * of them read at the same time.
 */
static uint32_t
wait_ms (const sfl_t *sfl)
{
  uint32_t wait_ms = sfl->options.wait_ms;
  uint64_t since_answer_ms = (clk_now_us (sfl->options.clk) - sfl->last_answer_us) / CLK_US_PER_MS;
  uint64_t answer_interval_max_ms = wait_ms + wait_ms / SFL_SILENT_PART;

  if (sfl->resting || sfl->backoff_ms > 0)
    return 0;
  if (sfl->last_answer_us == 0)
    return wait_ms;
  return (uint32_t)MIN (wait_ms,
                        MAX (answer_interval_max_ms - MIN (since_answer_ms, answer_interval_max_ms),
                             SFL_WAIT_MIN_MS));
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  sfl_t *sfl = context;
  plt_t *plt = sfl->options.plt;

  (void)fd;
  (void)what;
  sfl->started_us = clk_now_us (sfl->options.clk);
  sfl->call_pending = true;
  cnt_add (sfl->listing ? sfl->list_count : sfl->read_count, 1);
  if (sfl->listing)
    plt->newest (plt, sfl->options.stream, sfl->last_listed_key, on_page, sfl);
  else
    plt->read (plt, sfl->options.stream, sfl->next_offset,
               sfl->options.latest_only ? 1 : RECORDS_PER_READ_MAX, wait_ms (sfl), on_read, sfl);
}

static cnt_t *
counter (const sfl_options_t *options, const char *name, const char *help)
{
  return cnt_get_labelled (options->counters, name, "stream", options->stream, help);
}

sfl_t *
sfl_new (const sfl_options_t *options)
{
  sfl_t *sfl = g_new0 (sfl_t, 1);

  sfl->options = *options;
  sfl->timer = evtimer_new (options->base, on_timer, sfl);
  sfl->rand = g_rand_new_with_seed ((guint32)options->seed);
  sfl->listing = true;
  sfl->list_count =
      counter (options, "medlarplank_store_lists_total", "Pages of newest records asked for");
  sfl->read_count = counter (options, "medlarplank_store_reads_total", "Reads of the store");
  sfl->failure_count = counter (options, "medlarplank_store_failures_total",
                                "Pages and reads that the store did not answer");
  sfl->held = options->held;
  if (!sfl->held)
    schedule_in (sfl, 0);
  return sfl;
}

void
sfl_hold (sfl_t *sfl)
{
  sfl->held = true;
  event_del (sfl->timer);
}

void
sfl_begin (sfl_t *sfl)
{
  if (!sfl->held)
    return;
  sfl->held = false;
  if (!sfl->call_pending)
    schedule_in (sfl, 0);
}

void
sfl_free (sfl_t *sfl)
{
  event_free (sfl->timer);
  g_rand_free (sfl->rand);
  g_free (sfl->last_listed_key);
  g_free (sfl);
}

uint64_t
sfl_next (const sfl_t *sfl)
{
  return sfl->next_offset;
}

/* The response to a pending list or read may hold older records, which the view ignores. */
void
sfl_advance (sfl_t *sfl, uint64_t next_offset)
{
  if (next_offset <= sfl->next_offset)
    return;
  sfl->next_offset = next_offset;
  sfl->held = false;
  sfl->listing = false;
  sfl->has_listed = true;
}

static bool
is_idle (const sfl_t *sfl)
{
  return !sfl->held && !sfl->call_pending && !event_pending (sfl->timer, EV_TIMEOUT, NULL);
}

void
sfl_set_resting (sfl_t *sfl, bool resting)
{
  sfl->resting = resting;
  if (!resting && is_idle (sfl))
    start_timer (sfl);
}

void
sfl_read_soon (sfl_t *sfl)
{
  if (is_idle (sfl))
    start_timer (sfl);
}

bool
sfl_has_listed (const sfl_t *sfl)
{
  return sfl->has_listed;
}

bool
sfl_is_failing (const sfl_t *sfl)
{
  return sfl->backoff_ms > 0;
}

bool
sfl_is_catching_up (const sfl_t *sfl)
{
  return sfl->catching_up;
}

uint64_t
sfl_tried_us (const sfl_t *sfl)
{
  return sfl->started_us;
}

uint64_t
sfl_heard_us (const sfl_t *sfl)
{
  return sfl->last_answer_us;
}
