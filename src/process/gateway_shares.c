#include "process/gateway_shares.h"

#include "base/log.h"
#include "connection/stream_follower.h"
#include "request/policy/engines/software_versions.h"
#include "request/policy/streams/shares_trust.h"
#include "request/policy/streams/stream_lists.h"
#include "request/policy/streams/version_shares.h"
#include "version/keyed_view.h"

#include <string.h>

#define RETRY_US (UINT64_C (1000) * 1000)
/* As a fleet starts for the first time its gateways know each other after this time. */
#define FIRST_TURN_US (UINT64_C (1500) * 1000)
#define TURN_US (UINT64_C (1000) * 1000) /* after which the next gateway writes a history */
/* Likewise after the store came back from a copy, where it knows the tables: before those that
 * don't. */
#define RESTORE_TURN_US (UINT64_C (100) * 1000)
/* Interval of the lists of one gateway while tables differ, and the lists of all gateways together.
 */
#define LIST_INTERVAL_US (UINT64_C (500) * 1000)
#define LIST_WRITES_PER_S 100
#define LIST_BYTES_PER_S 3000    /* of one gateway's lists */
#define UNKNOWN_SERVICES_MAX 256 /* without a stream yet; another writer may name any */
#define NEARLY_FULL_MILLI 900    /* requests at the engines of a version, of their slots */
#define NEARLY_FULL_DIVISOR 4
#define NEARLY_FULL_US (UINT64_C (8) * 1000 * 1000) /* for which it counts as such */
#define WEIGHT_PER_SLOT NEARLY_FULL_DIVISOR
/* Time for which a search waits for the store: a record that it has may tell of another table. */
#define STORE_WAIT_US (UINT64_C (100) * 1000)

/**
 * struct service_shares - the shares of a service
 * @name: interned
 * @written: the history in the stream of lists, when that was read last
 * @next: text of the history that is being written, NULL when none is
 * @used_epoch: number of the table by which streams begin here, 0 for none
 * @list: this gateway's last list, NULL before the first
 * @lifetime_us: longest time from the begin of a stream to its last resumption, 0 when the service
 *   has none that can be resumed. No route's time limit bounds it: a client that is refused comes
 *   again after the time that it is told, with a new deadline
 * @full_until_us: version -> until when its engines count as nearly full
 * @is_whole: the known history has all tables by which streams may have begun, also where the store
 *   has forgotten some
 * @is_starting: the first table was read, and what follows from that is to be done
 * @due_since_us: since when the next history is to be written, 0 when it is not
 * @later_since_us: since when @written is later than @known, 0 when it is not
 * @retry_us: earliest time of the next write
 */
typedef struct
{
  gateway_shares_t *shares;
  const char *name;
  version_shares_t known;
  version_history_t written;
  char *next;
  uint64_t used_epoch;
  stream_list_t *list;
  uint64_t lifetime_us;
  GHashTable *full_until_us;
  bool is_whole;
  bool is_starting;
  uint64_t due_since_us;
  uint64_t later_since_us;
  uint64_t retry_us;
} service_shares_t;

/**
 * struct gateway_shares - see the header
 * @services: interned name -> service_shares_t
 * @lists: the lists of all gateways, from @view
 * @lifetimes_of: version of the rules that the lifetimes are from
 * @lifetime_count: number of services that have theirs
 * @started_us: start of this process
 * @era: of the store; @was_trusted: the tables counted when it was noted last
 * @record_due: the record of this gateway's lists is to be written
 * @record: it is being written; NULL when none is
 * @written: the last record that was written, NULL for none
 * @written_at: position from which on another record of its key replaces it
 * @listed_at_write: end of the last listing at the last write; a response that states no era is of
 *   that one
 * @record_retry_us: earliest time of the next write
 */
struct gateway_shares
{
  gateway_shares_options_t options;
  GHashTable *services;
  keyed_view_t *view;
  stream_follower_t *follower;
  stream_lists_t *lists;
  uint64_t lifetimes_of;
  uint32_t lifetime_count;
  uint64_t started_us;
  uint64_t era;
  bool was_trusted;
  bool record_due;
  char *record;
  char *written;
  position_t written_at;
  position_t listed_at_write;
  uint64_t record_retry_us;
  counter_t *history_writes;
  counter_t *list_writes;
};

static uint64_t
now_us (const gateway_shares_t *shares)
{
  return clock_now_us (shares->options.clock);
}

static void
service_free (gpointer data)
{
  service_shares_t *service = data;

  if (service->list)
    stream_list_free (service->list);
  g_hash_table_destroy (service->full_until_us);
  g_free (service->next);
  g_free (service);
}

/* Return: NULL when there is none of that name. The names of other writers are not interned. */
static service_shares_t *
find_service (const gateway_shares_t *shares, const char *name)
{
  GQuark interned = g_quark_try_string (name);

  return interned ? g_hash_table_lookup (shares->services, g_quark_to_string (interned)) : NULL;
}

static service_shares_t *
add_service (gateway_shares_t *shares, const char *name)
{
  service_shares_t *service = g_new0 (service_shares_t, 1);

  service->shares = shares;
  service->name = g_intern_string (name);
  service->full_until_us = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_hash_table_insert (shares->services, (gpointer)service->name, service);
  return service;
}

/* Return: NULL when there are too many, or there is none of that name */
static service_shares_t *
find_or_add_service (gateway_shares_t *shares, const char *name)
{
  service_shares_t *service = find_service (shares, name);

  return service || g_hash_table_size (shares->services) >= UNKNOWN_SERVICES_MAX
             ? service
             : add_service (shares, name);
}

/* After the store came back from a copy a history from before counts only where it was known until
 * then: the copy may be older. */
static void
note_era (gateway_shares_t *shares)
{
  uint64_t era = gateway_store_era (shares->options.store);
  GHashTableIter iter;
  gpointer service;

  if (era == shares->era)
    return;
  shares->era = era;
  if (shares->was_trusted)
    return;
  g_hash_table_iter_init (&iter, shares->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    ((service_shares_t *)service)->is_whole = false;
}

static bool
is_of_this_era (const service_shares_t *service, const version_history_t *history)
{
  return history->era >= service->shares->era;
}

static bool
has_streams_to_list (const version_history_t *history)
{
  return history->count > 1 || history->gap != VERSION_GAP_NONE;
}

/* A history is in this stream before it is in the gateway registry, so whoever has read this stream
 * after a stream began knows the table that it began by. */
static void
take_written_history (gateway_shares_t *shares, const char *name, const char *text, size_t bytes)
{
  service_shares_t *service;
  version_history_t history;

  if (!text || !version_history_parse (text, bytes, &history))
    return;
  service = find_or_add_service (shares, name);
  if (service)
    service->written = history;
}

static void
on_list_record (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  gateway_shares_t *shares = context;

  (void)position;
  if (g_str_has_prefix (key, PLATFORM_KEY_SHARES_PREFIX))
    take_written_history (shares, key + strlen (PLATFORM_KEY_SHARES_PREFIX), value, value_bytes);
  else if (!stream_lists_put (shares->lists, key, value, value_bytes))
    log_event (LOG_LEVEL_WARNING, "stream_list_unreadable", "peer", key, NULL);
}

static void
on_follower_event (stream_follower_state_t state, void *context)
{
  gateway_shares_t *shares = context;

  (void)state;
  shares->options.on_lists (shares->options.context);
}

gateway_shares_t *
gateway_shares_new (const gateway_shares_options_t *options)
{
  gateway_shares_t *shares = g_new0 (gateway_shares_t, 1);

  shares->options = *options;
  shares->services = g_hash_table_new_full (NULL, NULL, NULL, service_free);
  shares->lists = stream_lists_new ();
  shares->started_us = now_us (shares);
  shares->view = keyed_view_new (on_list_record, shares, NULL, NULL);
  shares->follower = stream_follower_new (&(stream_follower_options_t){
      .base = options->base,
      .clock = options->clock,
      .counters = options->counters,
      .platform = options->platform,
      .stream = PLATFORM_STREAM_LISTS,
      .view = shares->view,
      .start_suspended = true,
      .seed = options->incarnation ^ g_str_hash (PLATFORM_STREAM_LISTS),
      .on_event = on_follower_event,
      .context = shares });
  stream_follower_set_on_demand (shares->follower, true);
  shares->history_writes =
      counter_get_labelled (options->counters, "medlarplank_store_writes_total", "stream", "shares",
                            "Records written into the store");
  shares->list_writes =
      counter_get_labelled (options->counters, "medlarplank_store_writes_total", "stream",
                            PLATFORM_STREAM_LISTS, "Records written into the store");
  return shares;
}

void
gateway_shares_free (gateway_shares_t *shares)
{
  stream_follower_free (shares->follower);
  keyed_view_free (shares->view);
  stream_lists_free (shares->lists);
  g_hash_table_destroy (shares->services);
  g_free (shares->record);
  g_free (shares->written);
  g_free (shares);
}

/* A process before may have left streams that it didn't list. */
static bool
knows_all_streams (const service_shares_t *service)
{
  const gateway_shares_t *shares = service->shares;

  return gateway_store_is_new (shares->options.store) ||
         now_us (shares) >= shares->started_us + SOFTWARE_VERSIONS_LIFETIME_US;
}

/* Return: the list in this gateway's last record, which may be of the process before; NULL for none
 */
static const stream_list_t *
get_last_list (const service_shares_t *service)
{
  const gateway_shares_t *shares = service->shares;

  if (service->list)
    return service->list;
  return stream_lists_get (shares->lists, shares->options.settings->name, service->name);
}

static stream_list_t *
make_list (const service_shares_t *service)
{
  const gateway_shares_t *shares = service->shares;

  return stream_list_make (
      &(stream_list_source_t){ .service = service->name,
                               .history = &service->known.history,
                               .epoch = service->used_epoch,
                               .origins = shares->options.origins,
                               .last = get_last_list (service),
                               .is_last_read = stream_follower_has_listed (shares->follower),
                               .knows_all_streams = knows_all_streams (service) },
      now_us (shares));
}

static const char *const gap_names[] = { [VERSION_GAP_NONE] = "none",
                                         [VERSION_GAP_LISTS] = "lists",
                                         [VERSION_GAP_TABLES] = "tables",
                                         [VERSION_GAP_ANNOUNCED] = "announced" };

static void
log_table (const service_shares_t *service, const char *step)
{
  const version_history_t *history = &service->known.history;
  const stream_list_t *list = service->list;

  log_event (LOG_LEVEL_NOTICE, "stream_shares", "service", service->name, "step", step, "used",
             LOG_U64 (service->used_epoch), "in_force", LOG_U64 (history->in_force), "tables",
             LOG_U64 (history->count), "versions",
             LOG_U64 (history->count > 0 ? history->tables[history->count - 1].count : 0), "listed",
             LOG_U64 (list ? list->streams->len : 0), "floor", LOG_U64 (list ? list->floor : 0),
             "era", LOG_U64 (history->era), "gap", gap_names[history->gap], NULL);
}

/* A list must not replace that of the process before while it is not known. */
static bool
may_make_list (const gateway_shares_t *shares)
{
  return gateway_store_is_new (shares->options.store) ||
         stream_follower_has_listed (shares->follower);
}

/* The list is what tells others of this gateway's streams as long as the tables differ. */
static void
renew_list (service_shares_t *service)
{
  stream_list_t *list = make_list (service);

  if (!list)
    {
      stream_follower_resume (service->shares->follower);
      return;
    }
  if (service->list)
    stream_list_free (service->list);
  service->list = list;
  service->shares->record_due = true;
}

/* The lists of a process before are to be known before the first one of this process is made. */
static void
finish_start (service_shares_t *service)
{
  gateway_shares_t *shares = service->shares;
  const version_history_t *history = &service->known.history;

  service->is_starting = false;
  if (has_streams_to_list (history) || history->tables[0].count > 1)
    stream_follower_resume (shares->follower);
}

/* A writer that doesn't know yet that the store came back from a copy, or that others know the
 * tables, may state what they have already gone on from. */
static bool
is_outdated (const service_shares_t *service, const version_history_t *history)
{
  const version_history_t *known = &service->known.history;

  if (history->era < known->era)
    return true;
  if (service->is_whole &&
      (!is_of_this_era (service, history) || history->gap == VERSION_GAP_ANNOUNCED))
    return true;
  return known->gap == VERSION_GAP_TABLES && history->era == known->era &&
         history->tables[history->count - 1].epoch < known->in_force;
}

void
gateway_shares_put (gateway_shares_t *shares,
                    const char *service_name,
                    const char *text,
                    size_t bytes,
                    position_t position)
{
  service_shares_t *service;
  version_history_t history;
  bool is_first;

  if (!version_history_parse (text, bytes, &history))
    {
      log_event (LOG_LEVEL_ERROR, "stream_shares_unreadable", "service", service_name, NULL);
      return;
    }
  service = find_or_add_service (shares, service_name);
  if (!service)
    return;
  note_era (shares);
  /* an answer of a peer may be of a later era than what this gateway has read */
  if (!version_history_may_follow (&service->known.history, &history,
                                   MAX (shares->era, position.era)))
    {
      log_table (service, "odd_ignored");
      return;
    }
  if (is_outdated (service, &history))
    {
      log_table (service, "older_ignored");
      return;
    }
  is_first = service->used_epoch == 0;
  service->is_whole = service->is_whole ||
                      (is_of_this_era (service, &history) && history.gap != VERSION_GAP_ANNOUNCED);
  version_shares_update (&service->known, now_us (shares), &history);
  service->is_starting = service->is_starting || is_first;
  service->used_epoch = service->known.history.in_force;
  if (!is_first && has_streams_to_list (&service->known.history) && may_make_list (shares))
    renew_list (service);
  log_table (service, "read");
}

/* Return: the service of a request or a route. Its records may have been read while there were too
 * many services. */
static service_shares_t *
get_service (gateway_shares_t *shares, const char *name)
{
  g_autofree char *key = g_strconcat (PLATFORM_KEY_SHARES_PREFIX, name, NULL);
  service_shares_t *service = find_service (shares, name);
  const char *text;
  position_t position;
  size_t bytes;

  if (service)
    return service;
  service = add_service (shares, name);
  text = keyed_view_get (shares->view, key, &bytes, &position);
  if (text)
    take_written_history (shares, name, text, bytes);
  text = gateway_store_get_shares (shares->options.store, name, &bytes, &position);
  if (text)
    gateway_shares_put (shares, name, text, bytes, position);
  return service;
}

static void
on_record_written (platform_outcome_t outcome, position_t position, void *context)
{
  gateway_shares_t *shares = context;

  if (outcome == PLATFORM_OK)
    {
      shares->written_at = position_from (shares->listed_at_write, position.era, position.offset);
      stream_lists_put (shares->lists, shares->options.settings->name, shares->record,
                        strlen (shares->record));
      g_free (shares->written);
      shares->written = g_steal_pointer (&shares->record);
      return;
    }
  shares->record_due = true;
  g_clear_pointer (&shares->record, g_free);
}

/* With many gateways, or long lists, each writes less often: that bounds the store's calls and the
 * bytes of this gateway. */
static uint64_t
list_interval_us (const gateway_shares_t *shares)
{
  uint64_t gateways = gateway_store_count_registered (shares->options.store);
  uint64_t calls_us = gateways * CLOCK_US_PER_S / LIST_WRITES_PER_S;
  uint64_t bytes_us = strlen (shares->record) * CLOCK_US_PER_S / LIST_BYTES_PER_S;

  return MAX (LIST_INTERVAL_US, MAX (calls_us, bytes_us));
}

/* Whether another writer has replaced or deleted the record of this gateway's lists. */
static bool
is_record_replaced (const gateway_shares_t *shares)
{
  return shares->written && !shares->record &&
         shares->written_at.era == keyed_view_listed (shares->view).era &&
         position_is_before (shares->written_at, stream_follower_next (shares->follower)) &&
         !keyed_view_has_in_era (shares->view, shares->options.settings->name, shares->written,
                                 strlen (shares->written));
}

static void
write_again_if_replaced (gateway_shares_t *shares)
{
  if (!is_record_replaced (shares))
    return;
  log_event (LOG_LEVEL_WARNING, "stream_list_replaced", NULL);
  g_clear_pointer (&shares->written, g_free);
  shares->record_due = true;
}

static void
write_record (gateway_shares_t *shares)
{
  g_autoptr (GPtrArray) lists = g_ptr_array_new ();
  platform_t *platform = shares->options.platform;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, shares->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((service_shares_t *)value)->list)
      g_ptr_array_add (lists, ((service_shares_t *)value)->list);
  shares->record_due = false;
  shares->record = stream_list_record_format (lists);
  shares->record_retry_us = now_us (shares) + list_interval_us (shares);
  if (g_strcmp0 (shares->record, shares->written) == 0)
    {
      g_clear_pointer (&shares->record, g_free);
      return;
    }
  shares->listed_at_write = keyed_view_listed (shares->view);
  counter_add (shares->list_writes, 1);
  platform->put (platform, PLATFORM_STREAM_LISTS, shares->options.settings->name, shares->record,
                 strlen (shares->record), on_record_written, shares);
}

static void
on_history_written (platform_outcome_t outcome, position_t position, void *context)
{
  service_shares_t *service = context;

  (void)position;
  g_clear_pointer (&service->next, g_free);
  log_table (service, outcome == PLATFORM_OK ? "written" : "not_written");
}

static void
put_history (service_shares_t *service, const char *stream, platform_append_done_t done)
{
  gateway_shares_t *shares = service->shares;
  platform_t *platform = shares->options.platform;
  g_autofree char *key = g_strconcat (PLATFORM_KEY_SHARES_PREFIX, service->name, NULL);

  counter_add (shares->history_writes, 1);
  platform->put (platform, stream, key, service->next, strlen (service->next), done, service);
}

static void
on_history_listed (platform_outcome_t outcome, position_t position, void *context)
{
  if (outcome == PLATFORM_OK)
    put_history (context, PLATFORM_STREAM_ROUTERS, on_history_written);
  else
    on_history_written (outcome, position, context);
}

static void
write_history (service_shares_t *service, const version_history_t *history)
{
  service->next = version_history_format (history);
  service->retry_us = now_us (service->shares) + RETRY_US;
  put_history (service, PLATFORM_STREAM_LISTS, on_history_listed);
}

/** struct version_load - the engines of a version; @used_milli and @known_milli: requests and
 * slots, each weighted by the age of the engine's last report */
typedef struct
{
  version_share_t share;
  uint64_t used_milli;
  uint64_t known_milli;
} version_load_t;

/* Streams that began before there was a table are of the oldest version. */
static bool
may_begin_streams (const service_shares_t *service, const engine_t *engine)
{
  uint64_t at_us = now_us (service->shares);

  return engine_is_open (engine) &&
         !(engine->unreachable && engine_is_ejected (engine, at_us, true)) &&
         (service->known.history.count > 0 ||
          software_versions_is_oldest (engine->versions, engine->version));
}

static version_load_t *
find_or_add_load (GArray *loads, uint64_t version)
{
  for (guint i = 0; i < loads->len; i++)
    if (g_array_index (loads, version_load_t, i).share.version == version)
      return &g_array_index (loads, version_load_t, i);
  g_array_append_val (loads, ((version_load_t){ .share = { .version = version } }));
  return &g_array_index (loads, version_load_t, loads->len - 1);
}

static void
add_engine (const gateway_shares_t *shares, GArray *loads, const engine_t *engine)
{
  version_load_t *load = find_or_add_load (loads, engine->version);
  uint32_t slots = engine_slots (engine, 1);
  uint32_t weight_milli = engine_load_weight_milli (engine, now_us (shares));

  load->share.weight += slots * WEIGHT_PER_SLOT;
  load->used_milli += (uint64_t)(engine->own_requests + engine->other_requests) * weight_milli;
  load->known_milli += (uint64_t)slots * weight_milli;
}

/* A stream waits for its version though another one has room, so fewer streams begin at a version
 * whose engines are nearly full. */
/* Return: whether the engines of a version are or lately were nearly full; a change of the table
 * makes streams uncertain for a while, so it is not undone at once */
static bool
is_nearly_full (service_shares_t *service, const version_load_t *load)
{
  uint64_t at_us = now_us (service->shares);
  uint64_t *until_us = g_hash_table_lookup (service->full_until_us, &load->share.version);

  if (load->known_milli == 0 || load->used_milli * 1000 < load->known_milli * NEARLY_FULL_MILLI)
    return until_us && at_us < *until_us;
  if (!until_us)
    {
      until_us = g_new0 (uint64_t, 1);
      g_hash_table_insert (service->full_until_us,
                           g_memdup2 (&load->share.version, sizeof load->share.version), until_us);
    }
  *until_us = at_us + NEARLY_FULL_US;
  return true;
}

static version_table_t
make_table (service_shares_t *service, const GArray *loads)
{
  g_autoptr (GArray) shares = g_array_new (FALSE, FALSE, sizeof (version_share_t));

  for (guint i = 0; i < loads->len; i++)
    {
      version_load_t load = g_array_index (loads, version_load_t, i);

      if (is_nearly_full (service, &load))
        load.share.weight /= NEARLY_FULL_DIVISOR;
      g_array_append_val (shares, load.share);
    }
  return version_table_make ((const version_share_t *)(const void *)shares->data, shares->len);
}

static version_table_t
make_wanted_table (service_shares_t *service)
{
  const gateway_shares_t *shares = service->shares;
  const GPtrArray *engines = engines_of_service (shares->options.engines, service->name);
  g_autoptr (GArray) loads = g_array_new (FALSE, FALSE, sizeof (version_load_t));

  for (guint i = 0; i < engines->len; i++)
    if (may_begin_streams (service, g_ptr_array_index (engines, i)))
      add_engine (shares, loads, g_ptr_array_index (engines, i));
  return make_table (service, loads);
}

/* After the store came back from a copy the history may be missing there. */
static bool
has_history_in_store (const service_shares_t *service)
{
  g_autofree char *text = version_history_format (&service->known.history);

  return gateway_store_has_shares (service->shares->options.store, service->name, text);
}

/* The first gateway writes at once, the others in turn as long as nobody has: one that was lost may
 * count as alive for long in a large fleet. */
static bool
is_turn (service_shares_t *service, bool is_due)
{
  const gateway_shares_t *shares = service->shares;
  uint64_t at_us = now_us (shares);
  uint64_t turns = gateway_store_rank (shares->options.store);
  bool has_any = service->known.history.count > 0;
  bool is_old = !is_of_this_era (service, &service->known.history);
  bool restores = is_old && service->is_whole;
  uint64_t wait_us = turns * (restores ? RESTORE_TURN_US : TURN_US) +
                     (!has_any || (is_old && !service->is_whole) ? FIRST_TURN_US : 0);

  if (!is_due)
    service->due_since_us = 0;
  else if (service->due_since_us == 0)
    service->due_since_us = at_us;
  return is_due && !service->next && at_us >= service->retry_us &&
         at_us >= service->due_since_us + wait_us;
}

static bool
are_lists_read (const gateway_shares_t *shares, uint64_t since_us)
{
  uint64_t called_us = stream_follower_last_call_us (shares->follower);

  return called_us >= since_us && stream_follower_last_answer_us (shares->follower) >= called_us &&
         stream_follower_has_listed (shares->follower);
}

static void
read_lists (gateway_shares_t *shares)
{
  stream_follower_resume (shares->follower);
  stream_follower_read_soon (shares->follower);
}

/* Return: the history in the stream of lists; NULL when that has none, or one that no sound writer
 * can have made */
static const version_history_t *
get_written (const service_shares_t *service)
{
  const version_history_t *written = &service->written;

  return written->count > 0 &&
                 version_history_may_follow (&service->known.history, written, service->shares->era)
             ? written
             : NULL;
}

static bool
is_written_later (const service_shares_t *service)
{
  const version_history_t *known = &service->known.history;
  const version_history_t *written = get_written (service);

  return written && is_of_this_era (service, written) && !is_outdated (service, written) &&
         (known->count == 0 || written->in_force > known->in_force ||
          written->tables[written->count - 1].epoch > known->tables[known->count - 1].epoch);
}

/* A writer that is behind would take tables back by which streams have begun. One that ended
 * between its two writes left the later history in the stream of lists alone: it is written again.
 */
static bool
prepare_latest (service_shares_t *service, version_history_t *next)
{
  uint64_t at_us = now_us (service->shares);
  uint64_t since_us = service->due_since_us;

  if (!is_written_later (service))
    service->later_since_us = 0;
  else if (service->later_since_us == 0)
    service->later_since_us = at_us;
  if (service->later_since_us != 0)
    since_us = service->later_since_us + RETRY_US;
  if (at_us < since_us)
    return false;
  if (!are_lists_read (service->shares, since_us))
    {
      read_lists (service->shares);
      return false;
    }
  if (!is_written_later (service))
    return true;
  *next = service->written;
  if (version_history_get (next, service->known.history.in_force))
    next->in_force = MAX (next->in_force, service->known.history.in_force);
  return true;
}

/* The tables of an era before are stated again, or replaced where nobody knows them. Lists tell as
 * much as before, unless they, and the entry of their gateway, are forgotten. */
static bool
plan_restored (const service_shares_t *service,
               const version_table_t *wanted,
               version_history_t *out)
{
  const gateway_store_t *store = service->shares->options.store;

  if (!gateway_store_has_listed_gateways (store))
    return false;
  if (!service->is_whole)
    {
      *out = version_history_begin (wanted, service->shares->era);
      return wanted->count > 0;
    }
  out->era = service->shares->era;
  if (gateway_store_lacks_gateways (store))
    out->gap = MAX (out->gap, VERSION_GAP_LISTS);
  return true;
}

static void
plan_service (service_shares_t *service)
{
  const gateway_shares_t *shares = service->shares;
  version_table_t wanted;
  version_history_t next = service->known.history;
  bool is_due;

  if (service->lifetime_us == 0)
    return;
  wanted = make_wanted_table (service);
  is_due =
      version_shares_plan (&service->known, now_us (shares), &wanted, service->lifetime_us, &next);
  if (!is_of_this_era (service, &service->known.history))
    {
      next = service->known.history;
      is_due = plan_restored (service, &wanted, &next);
    }
  else if (!is_due && service->known.history.count > 0 && !has_history_in_store (service))
    {
      is_due = true;
      next = service->known.history;
    }
  if (is_turn (service, is_due) && prepare_latest (service, &next))
    write_history (service, &next);
}

static void
update_lifetimes (gateway_shares_t *shares, const routing_t *routing)
{
  g_autoptr (GPtrArray) names = engines_list_services (shares->options.engines);

  if (routing_version (routing) == shares->lifetimes_of && names->len == shares->lifetime_count)
    return;
  shares->lifetimes_of = routing_version (routing);
  shares->lifetime_count = names->len;
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);

      if (routing_longest_stream_ms (routing, name) > 0)
        get_service (shares, name)->lifetime_us = SOFTWARE_VERSIONS_LIFETIME_US;
    }
}

static bool
is_list_due (const service_shares_t *service)
{
  const gateway_shares_t *shares = service->shares;

  return has_streams_to_list (&service->known.history) && !shares->record &&
         now_us (shares) >= shares->record_retry_us;
}

static void
update_services (gateway_shares_t *shares)
{
  bool may_decide = gateway_store_may_decide (shares->options.store);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, shares->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      service_shares_t *service = value;

      if (service->is_starting)
        finish_start (service);
      if (is_list_due (service))
        renew_list (service);
      if (may_decide)
        plan_service (service);
    }
}

void
gateway_shares_tick (gateway_shares_t *shares, const routing_t *routing, bool is_trusted)
{
  note_era (shares);
  shares->was_trusted = is_trusted;
  if (routing)
    update_lifetimes (shares, routing);
  update_services (shares);
  write_again_if_replaced (shares);
  if (shares->record_due && !shares->record && now_us (shares) >= shares->record_retry_us)
    write_record (shares);
}

uint64_t
gateway_shares_choose (const gateway_shares_t *shares, const char *service_name, uint64_t stream)
{
  const service_shares_t *service = g_hash_table_lookup (shares->services, service_name);
  const version_table_t *table =
      service ? version_history_get (&service->known.history, service->used_epoch) : NULL;

  return table ? version_table_choose (table, stream) : 0;
}

bool
gateway_shares_has_table (const gateway_shares_t *shares, const char *service_name)
{
  const service_shares_t *service = g_hash_table_lookup (shares->services, service_name);

  return service && service->used_epoch != 0 && service->is_whole;
}

bool
gateway_shares_is_certain (const gateway_shares_t *shares,
                           const char *service_name,
                           uint64_t stream,
                           uint64_t version)
{
  const service_shares_t *service = g_hash_table_lookup (shares->services, service_name);

  return service && version_history_find (&service->known.history, 0, stream) == version;
}

uint64_t
gateway_shares_last_epoch (const gateway_shares_t *shares, const char *service_name)
{
  const service_shares_t *service = g_hash_table_lookup (shares->services, service_name);
  const version_history_t *history = service ? &service->known.history : NULL;

  return history && history->count > 0 ? history->tables[history->count - 1].epoch : 0;
}

/* Return: the later one of what the gateway registry and the stream of lists have */
static version_history_t
get_latest_history (const service_shares_t *service)
{
  version_history_t latest = service->known.history;
  const version_history_t *written = get_written (service);

  if (!written || written->era < latest.era)
    return latest;
  if (latest.count == 0 || written->era > latest.era ||
      written->tables[written->count - 1].epoch > latest.tables[latest.count - 1].epoch)
    latest = *written;
  latest.in_force = MAX (latest.in_force, written->in_force);
  return latest;
}

static bool
knows_tables (const gateway_shares_t *shares)
{
  uint64_t as_of_us = MAX (gateway_store_routers_as_of_us (shares->options.store),
                           stream_follower_current_as_of_us (shares->follower));

  return !gateway_store_is_current (shares->options.store) ||
         shares_trust_knows_tables (as_of_us, now_us (shares));
}

static const service_shares_t *
find_or_load_service (gateway_shares_t *shares, const char *name)
{
  position_t position;
  size_t bytes;

  return gateway_store_get_shares (shares->options.store, name, &bytes, &position)
             ? get_service (shares, name)
             : find_service (shares, name);
}

version_search_t
gateway_shares_find (gateway_shares_t *shares,
                     const char *service_name,
                     uint64_t stream,
                     uint64_t since_us)
{
  const service_shares_t *service = find_or_load_service (shares, service_name);
  bool is_read = are_lists_read (shares, since_us);
  version_history_t history = { 0 };
  g_autoptr (GPtrArray) gateways = NULL;

  note_era (shares);
  if (!is_read)
    read_lists (shares);
  if (!gateway_store_has_routers (shares->options.store) ||
      (!is_read && service && now_us (shares) < since_us + STORE_WAIT_US))
    return (version_search_t){ .has_table = service != NULL,
                               .needs_lists = true,
                               .is_reading = now_us (shares) < since_us + STORE_WAIT_US,
                               .basis = "reading" };
  if (!is_read && service && !knows_tables (shares))
    return (version_search_t){ .has_table = true, .needs_lists = true, .basis = "tables_not_read" };
  if (service)
    history = get_latest_history (service);
  if (history.era < shares->era)
    history.gap =
        MAX (history.gap, service && service->is_whole ? VERSION_GAP_LISTS : VERSION_GAP_TABLES);
  gateways = gateway_store_list_gateways (shares->options.store, SOFTWARE_VERSIONS_LIFETIME_US);
  return version_search_find (
      &(version_search_view_t){
          .history = &history,
          .lists = stream_follower_has_listed (shares->follower) ? shares->lists : NULL,
          .are_lists_read = is_read,
          .is_history_read = is_read,
          .gateways = gateways,
          .service = service_name },
      stream);
}
