#include "connection/stream_follower.h"

#include "base/log.h"

#include <string.h>

#define RECORDS_PER_READ_MAX 10000

/**
 * struct call - a call to the platform
 * @from: position that a read asks for
 * @era: highest era that was known when the call began; a response that states none is of this one
 * @is_first_page: it asks for the first page of a list
 * @abandoned: its response is ignored
 */
typedef struct
{
  stream_follower_t *follower;
  position_t from;
  uint64_t era;
  bool is_read;
  bool is_first_page;
  bool abandoned;
} call_t;

/**
 * struct follower - state of a follower
 * @timer: starts the next call; not pending while a call is, or while the follower rests
 * @call: the call in progress; NULL for none
 * @calls: that call, and abandoned ones without a response yet
 * @on_demand: reads start only by stream_follower_read_soon()
 * @suspended: no call may start
 * @listing: the next call requests a page of the list
 * @has_listed: see stream_follower_has_listed()
 * @listed: records of the pages so far; NULL before the first page. They are listed in the view
 * after the last page only, as the view may get other records between two pages
 * @next_page: what the next page is asked for with, NULL for the first page
 * @list_end: end of the stream when the first page was made
 * @next: position to read from
 * @listed_unread: no read has succeeded since the last listing
 * @era: highest era that the platform stated, or that a peer's copy was of; 0 before
 * @started_us: start of the last call; 0 before the first
 * @due_us: earliest start of the next call
 * @last_answer_us: time of the last successful response; 0 before the first
 * @call_wait_ms: how long the last read may wait at the platform
 * @listed_as_of_us: start of the call for the first page
 * @current_as_of_us: see stream_follower_current_as_of_us()
 * @backoff_ms: 0 while calls succeed
 * @catching_up: set by the first failure, until all that was written meanwhile has been read
 */
struct follower
{
  stream_follower_options_t options;
  struct event *timer;
  GRand *rand;
  call_t *call;
  GPtrArray *calls;
  bool on_demand;
  bool suspended;
  bool listing;
  bool has_listed;
  keyed_view_t *listed;
  char *next_page;
  position_t list_end;
  position_t next;
  bool listed_unread;
  uint64_t era;
  uint64_t started_us;
  uint64_t due_us;
  uint64_t last_answer_us;
  uint32_t call_wait_ms;
  uint64_t listed_as_of_us;
  uint64_t current_as_of_us;
  uint32_t backoff_ms;
  bool catching_up;
  counter_t *list_count;
  counter_t *read_count;
  counter_t *failure_count;
  counter_t *restoration_count;
};

static void
start_timer (stream_follower_t *follower)
{
  uint64_t now_us = clock_now_us (follower->options.clock);
  uint64_t wait_us = follower->due_us > now_us ? follower->due_us - now_us : 0;
  struct timeval wait = { (time_t)(wait_us / CLOCK_US_PER_S),
                          (suseconds_t)(wait_us % CLOCK_US_PER_S) };

  event_add (follower->timer, &wait);
}

/* A list that has been started is completed even while the follower rests. */
static void
schedule_at (stream_follower_t *follower, uint64_t due_us)
{
  follower->due_us = due_us;
  if (follower->suspended)
    return;
  if (!follower->on_demand || follower->listing || !follower->has_listed)
    start_timer (follower);
}

static void
schedule_in (stream_follower_t *follower, uint64_t wait_us)
{
  schedule_at (follower, clock_now_us (follower->options.clock) + wait_us);
}

static void
clear_pages (stream_follower_t *follower)
{
  g_clear_pointer (&follower->listed, keyed_view_free);
  g_clear_pointer (&follower->next_page, g_free);
}

static void
reset_listing (stream_follower_t *follower)
{
  clear_pages (follower);
  follower->listing = true;
}

/* A read may wait at the platform for long. One that began in another era tells nothing. */
static void
abandon_read (stream_follower_t *follower)
{
  if (!follower->call || !follower->call->is_read)
    return;
  follower->call->abandoned = true;
  follower->call = NULL;
}

/* Return: whether the response is to be ignored */
static bool
end_call (call_t *call)
{
  stream_follower_t *follower = call->follower;
  bool abandoned = call->abandoned;

  if (!abandoned)
    follower->call = NULL;
  g_ptr_array_remove_fast (follower->calls, call);
  return abandoned;
}

static void
log_dependency (const stream_follower_t *follower, log_level_t level, const char *event)
{
  uint64_t now_us = clock_now_us (follower->options.clock);

  log_event (level, event, "dependency", "store", "stream", follower->options.stream, "unheard_ms",
             LOG_U64 (follower->last_answer_us
                          ? (now_us - follower->last_answer_us) / CLOCK_US_PER_MS
                          : 0),
             NULL);
}

/*
 * A higher era means that the platform came back from a copy: the position to read from no longer
 * exists, or is that of another record, so the newest records are listed again. Until then the view
 * keeps what it has.
 */
static void
note_era (stream_follower_t *follower, uint64_t era, const char *source)
{
  if (era <= follower->era)
    return;
  log_event (LOG_LEVEL_WARNING, "store_era", "stream", follower->options.stream, "era",
             LOG_U64 (era), "before", LOG_U64 (follower->era), "source", source, "next_offset",
             LOG_U64 (follower->next.offset), NULL);
  follower->era = era;
  if (!follower->has_listed)
    return;
  counter_add (follower->restoration_count, 1);
  abandon_read (follower);
  if (follower->next.era < era)
    reset_listing (follower);
}

static void
handle_failure (stream_follower_t *follower)
{
  counter_add (follower->failure_count, 1);
  if (follower->backoff_ms == 0)
    {
      log_dependency (follower, LOG_LEVEL_WARNING, "dependency_lost");
      follower->catching_up = true;
      follower->options.on_event (STREAM_FOLLOWER_LOST, follower->options.context);
    }
  if (follower->listing)
    reset_listing (follower);
  follower->backoff_ms = MIN (MAX (follower->backoff_ms * 2, STREAM_FOLLOWER_BACKOFF_MIN_MS),
                              STREAM_FOLLOWER_BACKOFF_MAX_MS);
  schedule_in (follower, (uint64_t)follower->backoff_ms *
                             (uint32_t)g_rand_int_range (follower->rand, 750, 1250));
}

static void
handle_success (stream_follower_t *follower)
{
  if (follower->backoff_ms > 0)
    log_dependency (follower, LOG_LEVEL_NOTICE, "dependency_regained");
  follower->last_answer_us = clock_now_us (follower->options.clock);
  if (follower->backoff_ms == 0)
    return;
  follower->backoff_ms = 0;
  follower->options.on_event (STREAM_FOLLOWER_REGAINED, follower->options.context);
}

/* Measures the pace from the start of the last call, so that a slow response does not add to it. */
static void
schedule_next (stream_follower_t *follower, uint64_t pace_us)
{
  schedule_at (follower, follower->started_us + pace_us);
}

/* @known: a record without an era is of the era of this position */
static void
apply_record (const stream_follower_t *follower,
              keyed_view_t *view,
              position_t known,
              const platform_record_t *record)
{
  position_t position = position_from (known, record->position.era, record->position.offset);
  uint32_t bytes_max = follower->options.value_bytes_max;

  if (bytes_max == 0 || record->data_bytes <= bytes_max)
    keyed_view_apply (view, position, record->key, record->data, record->data_bytes);
  else if (keyed_view_apply (view, position, record->key, STREAM_FOLLOWER_TOO_LARGE,
                             strlen (STREAM_FOLLOWER_TOO_LARGE)) &&
           view == follower->options.view)
    log_event (LOG_LEVEL_WARNING, "record_too_large", "stream", follower->options.stream, "key",
               record->key, "bytes", LOG_U64 (record->data_bytes), "offset",
               LOG_U64 (position.offset), NULL);
}

static void
apply_records (const stream_follower_t *follower,
               keyed_view_t *view,
               position_t known,
               const platform_record_t *records,
               uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    apply_record (follower, view, known, &records[i]);
}

static void
ignore_change (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  (void)key;
  (void)value;
  (void)value_bytes;
  (void)position;
  (void)context;
}

static void
apply_listed (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  stream_follower_t *follower = context;

  keyed_view_apply (follower->options.view, position, key, value, value_bytes);
}

static void
add_page (stream_follower_t *follower, const platform_newest_t *newest)
{
  position_t known = { .era = follower->era };

  if (!follower->listed)
    {
      follower->listed = keyed_view_new (ignore_change, NULL, NULL, NULL);
      follower->list_end = position_from (known, newest->end.era, newest->end.offset);
      follower->listed_as_of_us = follower->started_us;
    }
  apply_records (follower, follower->listed, known, newest->records, newest->record_count);
  apply_records (follower, follower->options.view, known, newest->records, newest->record_count);
}

static void
apply_listing (stream_follower_t *follower)
{
  keyed_view_list_begin (follower->options.view);
  keyed_view_visit_since (follower->listed, (position_t){ 0 }, apply_listed, follower);
  keyed_view_list_end (follower->options.view, follower->list_end);
  clear_pages (follower);
  follower->listing = false;
  follower->listed_unread = true;
  follower->catching_up = false;
  follower->has_listed = true;
  follower->next = position_later (follower->next, follower->list_end);
  follower->current_as_of_us = follower->listed_as_of_us;
  log_event (LOG_LEVEL_NOTICE, "stream_listed", "stream", follower->options.stream, "era",
             LOG_U64 (follower->list_end.era), "end_offset", LOG_U64 (follower->list_end.offset),
             "next_offset", LOG_U64 (follower->next.offset), NULL);
  follower->options.on_event (STREAM_FOLLOWER_LISTED, follower->options.context);
}

static void
schedule_after_listing (stream_follower_t *follower)
{
  schedule_in (follower, (uint64_t)STREAM_FOLLOWER_READ_INTERVAL_MIN_MS * CLOCK_US_PER_MS);
}

/* Whether a page, which the platform created in @page_era, is the next one of the listing in
 * progress. */
static bool
continues_listing (const stream_follower_t *follower, bool is_first_page, uint64_t page_era)
{
  if (page_era < follower->era || is_first_page != (follower->listed == NULL))
    return false;
  return !follower->listed || follower->list_end.era == page_era;
}

/* Return: what the page after @newest is asked for with; NULL when it is the last one, or when no
 * other one can be asked for */
static const char *
page_after (const stream_follower_t *follower, const platform_newest_t *newest)
{
  const char *after = newest->after;

  if (!newest->more)
    return NULL;
  if (!after && newest->record_count > 0)
    after = newest->records[newest->record_count - 1].key;
  return g_strcmp0 (after, follower->next_page) != 0 ? after : NULL;
}

static void
on_page (const platform_newest_t *newest, void *context)
{
  call_t *call = context;
  stream_follower_t *follower = call->follower;
  uint64_t era = newest->end.era != 0 ? newest->end.era : call->era;
  bool is_first_page = call->is_first_page;

  if (end_call (call))
    return;
  note_era (follower, era, "store");
  if (newest->outcome != PLATFORM_OK || (newest->more && !page_after (follower, newest)))
    {
      handle_failure (follower);
      return;
    }
  handle_success (follower);
  if (!follower->listing)
    {
      schedule_after_listing (follower);
      return;
    }
  if (!continues_listing (follower, is_first_page, era))
    {
      reset_listing (follower);
      schedule_after_listing (follower);
      return;
    }
  add_page (follower, newest);
  if (newest->more)
    {
      char *next_page = g_strdup (page_after (follower, newest));

      g_free (follower->next_page);
      follower->next_page = next_page;
      schedule_in (follower, 0);
      return;
    }
  apply_listing (follower);
  schedule_after_listing (follower);
}

/*
 * Lists without waiting for the pace, when more records follow the one that was read. With the
 * wait, a host that had not read for a while would stay outdated for that much longer: 1.4 s of the
 * 3 s within which a version must be in force. Reading the last record alone would not be enough:
 * those in between may hold the newest one of another key.
 */
static void
list_newest (stream_follower_t *follower)
{
  reset_listing (follower);
  follower->due_us = clock_now_us (follower->options.clock);
  start_timer (follower);
}

/* Return: a time at which the platform had no more than it sent. The response may have been on its
 * way for long; that of a read that waits is made at the end of the wait, or when a record comes.
 */
static uint64_t
read_as_of_us (const stream_follower_t *follower)
{
  uint64_t waited_us = (uint64_t)follower->call_wait_ms * CLOCK_US_PER_MS;

  return MIN (follower->last_answer_us, follower->started_us + waited_us);
}

/* Lists again, as the records to be read are no longer retained. If a listing has just ended where
 * the platform can't continue, that is repeated slowly: at full pace it would only add to the
 * platform's load. */
static void
handle_expired (stream_follower_t *follower)
{
  uint32_t wait_ms = follower->listed_unread ? STREAM_FOLLOWER_BACKOFF_MAX_MS
                                             : STREAM_FOLLOWER_READ_INTERVAL_MIN_MS;

  log_event (LOG_LEVEL_NOTICE, "stream_expired", "stream", follower->options.stream, "offset",
             LOG_U64 (follower->next.offset), NULL);
  reset_listing (follower);
  schedule_next (follower, (uint64_t)wait_ms * CLOCK_US_PER_MS);
}

/* Return: number of records that the platform had after those of @read */
static uint64_t
apply_read (stream_follower_t *follower, const platform_read_t *read)
{
  position_t known = { .era = follower->era };
  position_t next = position_from (known, read->next.era, read->next.offset);
  position_t end = position_from (known, read->end.era, read->end.offset);

  apply_records (follower, follower->options.view, known, read->records, read->record_count);
  follower->listed_unread = false;
  follower->next = position_later (follower->next, next);
  if (!position_is_before (follower->next, end))
    follower->current_as_of_us = read_as_of_us (follower);
  follower->catching_up = position_is_before (follower->next, end) && follower->catching_up;
  return position_is_before (follower->next, end) ? end.offset - follower->next.offset : 0;
}

/* Whether the position that was read from is of the era of the response, and of the newest era. If
 * not, the records are others than those that were asked for. */
static bool
is_of_one_era (const stream_follower_t *follower, position_t from, uint64_t era)
{
  return !follower->listing && from.era == era && follower->era == era;
}

static void
on_read (const platform_read_t *read, void *context)
{
  call_t *call = context;
  stream_follower_t *follower = call->follower;
  uint64_t pace_us = (uint64_t)follower->options.pace_ms * CLOCK_US_PER_MS;
  position_t from = call->from;
  position_t first;
  uint64_t records_left;
  uint64_t era = read->end.era != 0 ? read->end.era : call->era;

  if (end_call (call))
    return;
  note_era (follower, era, "store");
  if (read->outcome != PLATFORM_OK && read->outcome != PLATFORM_EXPIRED)
    {
      handle_failure (follower);
      return;
    }
  if (!is_of_one_era (follower, from, era))
    {
      schedule_next (follower, (uint64_t)STREAM_FOLLOWER_READ_INTERVAL_MIN_MS * CLOCK_US_PER_MS);
      return;
    }
  first = position_from (from, read->first.era, read->first.offset);
  if (read->outcome == PLATFORM_EXPIRED || position_is_before (follower->next, first))
    {
      handle_expired (follower);
      return;
    }
  handle_success (follower);
  records_left = apply_read (follower, read);
  if (follower->options.latest_only && records_left > 1)
    {
      list_newest (follower);
      return;
    }
  if (read->record_count == 0 && !follower->on_demand)
    pace_us = (uint64_t)STREAM_FOLLOWER_READ_INTERVAL_MIN_MS * CLOCK_US_PER_MS;
  schedule_next (follower, pace_us);
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
wait_ms (const stream_follower_t *follower)
{
  uint32_t wait_ms = follower->options.wait_ms;
  uint64_t since_answer_ms =
      (clock_now_us (follower->options.clock) - follower->last_answer_us) / CLOCK_US_PER_MS;
  uint64_t answer_interval_max_ms = wait_ms + wait_ms / STREAM_FOLLOWER_WAIT_MARGIN_DIVISOR;

  if (follower->on_demand || follower->backoff_ms > 0)
    return 0;
  if (follower->last_answer_us == 0)
    return wait_ms;
  return (uint32_t)MIN (wait_ms,
                        MAX (answer_interval_max_ms - MIN (since_answer_ms, answer_interval_max_ms),
                             STREAM_FOLLOWER_WAIT_MIN_MS));
}

static call_t *
begin_call (stream_follower_t *follower)
{
  call_t *call = g_new0 (call_t, 1);

  call->follower = follower;
  call->from = follower->next;
  call->era = follower->era;
  call->is_read = !follower->listing;
  call->is_first_page = follower->next_page == NULL;
  g_ptr_array_add (follower->calls, call);
  follower->call = call;
  follower->started_us = clock_now_us (follower->options.clock);
  follower->call_wait_ms = wait_ms (follower);
  counter_add (follower->listing ? follower->list_count : follower->read_count, 1);
  return call;
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  stream_follower_t *follower = context;
  platform_t *platform = follower->options.platform;
  call_t *call = begin_call (follower);

  (void)fd;
  (void)what;
  if (follower->listing)
    platform->newest (platform, follower->options.stream, follower->next_page, on_page, call);
  else
    platform->read (platform, follower->options.stream, follower->next.offset,
                    follower->options.latest_only ? 1 : RECORDS_PER_READ_MAX,
                    follower->call_wait_ms, on_read, call);
}

static counter_t *
counter (const stream_follower_options_t *options, const char *name, const char *help)
{
  return counter_get_labelled (options->counters, name, "stream", options->stream, help);
}

stream_follower_t *
stream_follower_new (const stream_follower_options_t *options)
{
  stream_follower_t *follower = g_new0 (stream_follower_t, 1);

  follower->options = *options;
  follower->timer = evtimer_new (options->base, on_timer, follower);
  follower->calls = g_ptr_array_new_with_free_func (g_free);
  follower->rand = g_rand_new_with_seed ((guint32)options->seed);
  follower->listing = true;
  follower->list_count =
      counter (options, "medlarplank_store_lists_total", "Pages of newest records asked for");
  follower->read_count = counter (options, "medlarplank_store_reads_total", "Reads of the store");
  follower->failure_count = counter (options, "medlarplank_store_failures_total",
                                     "Pages and reads that the store did not answer");
  follower->restoration_count =
      counter (options, "medlarplank_store_restorations_total",
               "Times that the store came back from a copy, as observed by this stream");
  follower->suspended = options->start_suspended;
  if (!follower->suspended)
    schedule_in (follower, 0);
  return follower;
}

void
stream_follower_suspend (stream_follower_t *follower)
{
  follower->suspended = true;
  event_del (follower->timer);
}

void
stream_follower_resume (stream_follower_t *follower)
{
  if (!follower->suspended)
    return;
  follower->suspended = false;
  if (!follower->call)
    schedule_in (follower, 0);
}

void
stream_follower_free (stream_follower_t *follower)
{
  event_free (follower->timer);
  g_rand_free (follower->rand);
  g_ptr_array_free (follower->calls, TRUE);
  clear_pages (follower);
  g_free (follower);
}

position_t
stream_follower_next (const stream_follower_t *follower)
{
  return follower->next;
}

static bool
is_idle (const stream_follower_t *follower)
{
  return !follower->suspended && !follower->call &&
         !event_pending (follower->timer, EV_TIMEOUT, NULL);
}

/* A pending page is ignored once it arrives. A pending read may hold older records, which the view
 * ignores, or records of an era before. */
void
stream_follower_advance (stream_follower_t *follower, position_t next)
{
  if (!position_is_before (follower->next, next))
    return;
  clear_pages (follower);
  follower->next = next;
  note_era (follower, next.era, "peer");
  follower->suspended = false;
  follower->listing = false;
  follower->has_listed = true;
  if (!follower->on_demand && is_idle (follower))
    start_timer (follower);
}

void
stream_follower_set_on_demand (stream_follower_t *follower, bool on_demand)
{
  follower->on_demand = on_demand;
  if (!on_demand && is_idle (follower))
    start_timer (follower);
}

void
stream_follower_read_soon (stream_follower_t *follower)
{
  if (is_idle (follower))
    start_timer (follower);
}

void
stream_follower_note_era (stream_follower_t *follower, uint64_t era)
{
  note_era (follower, era, "other_stream");
  if (follower->listing && is_idle (follower))
    start_timer (follower);
}

uint64_t
stream_follower_era (const stream_follower_t *follower)
{
  return follower->era;
}

bool
stream_follower_has_listed (const stream_follower_t *follower)
{
  return follower->has_listed;
}

bool
stream_follower_is_failing (const stream_follower_t *follower)
{
  return follower->backoff_ms > 0;
}

bool
stream_follower_is_catching_up (const stream_follower_t *follower)
{
  return follower->catching_up;
}

uint64_t
stream_follower_last_call_us (const stream_follower_t *follower)
{
  return follower->started_us;
}

uint64_t
stream_follower_last_answer_us (const stream_follower_t *follower)
{
  return follower->last_answer_us;
}

uint64_t
stream_follower_current_as_of_us (const stream_follower_t *follower)
{
  return follower->current_as_of_us;
}
