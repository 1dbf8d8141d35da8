#include "process/gateway_peers.h"

#include "connection/exchange.h"
#include "base/log.h"
#include "process/exchange_mark.h"
#include "request/policy/retries/retry_budget.h"

#include <string.h>
#include <xxhash.h>

#define NO_INCARNATION "0" /* lower than any real one */
/* A peer whose clock was set back restarts with a lower incarnation, which would look like that of
 * delayed messages. It is accepted once the peer has been silent for this long, when no message of
 * the previous incarnation can still arrive. */
#define LOWER_INCARNATION_AFTER_US GATEWAY_PEERS_ALIVE_US

/* Samples of a message that tell requests of gateways; the others tell loads of engines. */
#define REQUEST_COUNTS (XCH_SAMPLES / 2)

#define RANK_SEED GATEWAY_PEERS_FOLLOWERS /* any value that is the same in all gateways */

/**
 * struct peer - another gateway
 * @hash: of the name
 * @sequence: number of its last message in this @incarnation
 * @known_us: when its registry entry was read
 * @heard_us: when its last message came, 0 for never
 * @unanswered_us: when the first message was sent to it that it has not replied to, 0 for none
 */
typedef struct
{
  char name[LIMIT_NAME_BYTES];
  uint64_t hash;
  uint64_t incarnation;
  uint32_t sequence;
  address_t exchange;
  address_t control;
  uint64_t known_us;
  uint64_t heard_us;
  uint64_t unanswered_us;
} peer_t;

/**
 * struct gateway_peers - the peers of this gateway
 * @news_timer: sends messages to some peers in the next turn of the event loop
 * @crashes_timer: likewise, marks of requests during which engines ended
 * @sequence: number of the last message sent
 * @heard_us: when the last message of any peer came
 * @owner_mark: the mark for which the message that is being written is sent; NULL for none
 * @loads: loads of engines, to be passed on
 */
struct gateway_peers
{
  gateway_peers_options_t options;
  exchange_t *exchange;
  struct event *news_timer;
  struct event *crashes_timer;
  GPtrArray *list; /* peer_t */
  GRand *rand;
  uint64_t own_hash;
  uint32_t sequence;
  uint64_t heard_us;
  const crash_mark_t *owner_mark;
  load_reports_t loads;
};

static uint64_t
hash_of (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

static uint64_t
now_us (const gateway_peers_t *peers)
{
  return clock_now_us (peers->options.clock);
}

static peer_t *
find_by_hash (const gateway_peers_t *peers, uint64_t hash)
{
  for (guint i = 0; i < peers->list->len; i++)
    {
      peer_t *peer = g_ptr_array_index (peers->list, i);

      if (peer->hash == hash)
        return peer;
    }
  return NULL;
}

/* The more peers there are, the more rarely each one is heard. With a fixed limit of five seconds,
 * each of 31 gateways would take half of the others for dead, and twelve of them would follow the
 * store instead of three. */
static uint64_t
alive_timeout_us (const gateway_peers_t *peers)
{
  uint64_t interval_us = (uint64_t)peers->options.settings->exchange_interval_ms * CLOCK_US_PER_MS;

  return MAX (GATEWAY_PEERS_ALIVE_US,
              interval_us * peers->list->len * GATEWAY_PEERS_ALIVE_INTERVALS);
}

/* A peer that did not reply counts as dead until it is heard again, so that another gateway takes
 * over its role. A peer that was never heard counts as alive from its registry entry on, for as
 * long as it may take to be heard. */
static bool
is_alive (const gateway_peers_t *peers, const peer_t *peer)
{
  uint64_t at_us = now_us (peers);

  if (peer->unanswered_us != 0 && at_us - peer->unanswered_us >= GATEWAY_PEERS_REPLY_TIMEOUT_US)
    return false;
  return at_us - MAX (peer->heard_us, peer->known_us) < alive_timeout_us (peers);
}

static void
fill_marks (gateway_peers_t *peers, xch_message *message)
{
  crash_mark_t marks[XCH_MARKS];
  uint32_t count;

  message->marks.marks_len = 0;
  if (peers->owner_mark)
    exchange_mark_write (message, peers->owner_mark);
  count = crash_record_take_marks (peers->options.crashes, now_us (peers), marks,
                                   XCH_MARKS - message->marks.marks_len);
  for (uint32_t i = 0; i < count; i++)
    exchange_mark_write (message, &marks[i]);
}

static void
log_mark (const gateway_peers_t *peers, const crash_mark_t *mark, const char *peer)
{
  uint32_t crashes = crash_record_count_crashes (peers->options.crashes, mark->fingerprint);
  bool is_first = mark->engine_count > 0 && crashes < CRASH_RECORD_TRIAL_CRASHES;

  log_event (is_first ? LOG_LEVEL_INFO : LOG_LEVEL_NOTICE, "peer_mark", "fingerprint",
             LOG_HEX (mark->fingerprint), "of",
             mark->kind == CRASH_SUBJECT_PART ? "part" : "request", "peer", peer, "engines",
             LOG_U64 (mark->engine_count), "age_ms", LOG_U64 (mark->age_ms), "crashes",
             LOG_U64 (crashes), "claimed", mark->claimed ? "yes" : "no", NULL);
}

static void
read_marks (gateway_peers_t *peers, const xch_message *message, const char *peer)
{
  crash_mark_t mark;
  uint32_t at = 0;

  while (at < message->marks.marks_len)
    {
      at += exchange_mark_read (message, at, &mark);
      if (!crash_record_merge (peers->options.crashes, now_us (peers), &mark))
        continue;
      log_mark (peers, &mark, peer);
      gateway_peers_tell_crashes (peers);
    }
}

static uint32_t
age_ms (const gateway_peers_t *peers, uint64_t at_us)
{
  return (uint32_t)((now_us (peers) - MIN (at_us, now_us (peers))) / CLOCK_US_PER_MS);
}

static uint32_t
fill_requests (gateway_peers_t *peers, xch_message *message)
{
  fleet_requests_told_t told[REQUEST_COUNTS];
  uint32_t count =
      peers->options.list_requests (peers->own_hash, told, REQUEST_COUNTS, peers->options.context);

  for (uint32_t i = 0; i < count; i++)
    message->samples.samples_val[i] =
        (xch_sample){ .engine_hash = told[i].count.gateway_hash,
                      .service_hash = told[i].service_hash,
                      .load = told[i].count.requests,
                      .age_ms = age_ms (peers, told[i].count.told_us) };
  return count;
}

static void
fill_loads (gateway_peers_t *peers, xch_message *message)
{
  load_report_t items[XCH_SAMPLES];
  uint32_t first = fill_requests (peers, message);
  uint32_t count = load_reports_latest (&peers->loads, now_us (peers), items, XCH_SAMPLES - first);

  for (uint32_t i = 0; i < count; i++)
    message->samples.samples_val[first + i] =
        (xch_sample){ .engine_hash = items[i].engine_hash,
                      .load = items[i].load,
                      .age_ms = age_ms (peers, items[i].reported_us) };
  message->samples.samples_len = first + count;
}

static void
read_requests (gateway_peers_t *peers, const xch_sample *received, uint64_t told_us)
{
  fleet_requests_told_t told = { .service_hash = received->service_hash,
                                 .count = { .gateway_hash = received->engine_hash,
                                            .requests = received->load,
                                            .told_us = told_us } };

  if (told.count.gateway_hash != peers->own_hash)
    peers->options.on_requests (&told, peers->options.context);
}

/* Return: the time at which the message that is being handled may have come */
static uint64_t
came_us (const gateway_peers_t *peers)
{
  return now_us (peers) - exchange_waited_us (peers->exchange);
}

static void
read_loads (gateway_peers_t *peers, const xch_message *message)
{
  for (uint32_t i = 0; i < message->samples.samples_len; i++)
    {
      const xch_sample *received = &message->samples.samples_val[i];
      uint64_t age_us = (uint64_t)received->age_ms * CLOCK_US_PER_MS;
      uint64_t at_us = came_us (peers) - MIN (age_us, came_us (peers));
      load_report_t item = { .engine_hash = received->engine_hash,
                             .load = received->load,
                             .reported_us = at_us };

      if (received->service_hash != 0)
        read_requests (peers, received, at_us);
      else if (load_reports_add (&peers->loads, now_us (peers), &item))
        peers->options.on_load (&item, peers->options.context);
    }
}

/* Gateways of a build without eras ignore the words of others. Streams differ in their era only for
 * a moment, so one word is the rule. */
static void
fill_eras (const gateway_peers_t *peers,
           const gateway_peers_progress_t *progress,
           xch_message *message)
{
  const uint64_t eras[] = { progress->routing_next.era, progress->engines_next.era,
                            progress->routers_next.era };
  xch_word *words = message->words.words_val;

  G_STATIC_ASSERT (G_N_ELEMENTS (eras) <= XCH_WORDS);
  message->words.words_len = 0;
  for (uint32_t i = 0; i < G_N_ELEMENTS (eras); i++)
    if (eras[i] != (i == 0 ? 0 : eras[0]))
      words[message->words.words_len++] =
          (xch_word){ .host_hash = peers->own_hash, .incarnation = eras[i], .state = i };
}

/* @stream: 0 for the routing rules, whose era is that of the others unless they have one of their
 * own */
static uint64_t
read_era (const xch_message *message, uint32_t stream)
{
  uint64_t era = 0;

  for (uint32_t i = 0; i < message->words.words_len; i++)
    {
      const xch_word *word = &message->words.words_val[i];

      if (word->host_hash == message->sender.host_hash &&
          (word->state == 0 || word->state == stream))
        era = word->incarnation;
    }
  return era;
}

static gateway_peers_progress_t
read_progress (const xch_message *message)
{
  return (gateway_peers_progress_t){
    .routing_next = { read_era (message, 0), message->manifest_offset },
    .engines_next = { read_era (message, 1), message->list_revision },
    .routers_next = { read_era (message, 2), message->routers_offset },
    .store_age_ms = message->store_age_ms
  };
}

static void
fill_message (xch_message *message, const xch_word *to, void *context)
{
  gateway_peers_t *peers = context;
  gateway_peers_progress_t progress = peers->options.get_progress (peers->options.context);

  (void)to;
  message->sender.host_hash = peers->own_hash;
  message->sender.incarnation = peers->options.incarnation;
  message->sender.sequence = ++peers->sequence;
  message->manifest_offset = progress.routing_next.offset;
  message->list_revision = progress.engines_next.offset;
  message->routers_offset = progress.routers_next.offset;
  message->store_age_ms = progress.store_age_ms;
  fill_eras (peers, &progress, message);
  fill_marks (peers, message);
  fill_loads (peers, message);
}

/* Return: false for a message older than one received before */
static bool
record_message (gateway_peers_t *peers, peer_t *peer, const xch_word *sender)
{
  if (sender->incarnation < peer->incarnation &&
      now_us (peers) - peer->heard_us < LOWER_INCARNATION_AFTER_US)
    return false;
  if (sender->incarnation == peer->incarnation && sender->sequence <= peer->sequence)
    return false;
  peer->incarnation = sender->incarnation;
  peer->sequence = sender->sequence;
  if (peer->heard_us == 0 || !is_alive (peers, peer))
    log_event (LOG_LEVEL_NOTICE, "peer_heard", "peer", peer->name, "incarnation",
               LOG_U64 (peer->incarnation), NULL);
  peer->heard_us = MAX (peer->heard_us, came_us (peers));
  peers->heard_us = MAX (peers->heard_us, peer->heard_us);
  peer->unanswered_us = 0;
  return true;
}

static bool
on_message (const xch_message *message, bool is_reply, void *context)
{
  gateway_peers_t *peers = context;
  peer_t *peer = find_by_hash (peers, message->sender.host_hash);
  gateway_peers_progress_t theirs = read_progress (message);

  (void)is_reply;
  theirs.store_age_ms = (uint32_t)MIN (
      theirs.store_age_ms + exchange_waited_us (peers->exchange) / CLOCK_US_PER_MS, UINT32_MAX);
  /* A gateway that has just started may not be known here yet. It gets a reply all the same;
   * without one it would take this gateway for dead and follow the store itself. */
  if (!peer)
    return true;
  if (!record_message (peers, peer, &message->sender))
    return false;
  read_marks (peers, message, peer->name);
  read_loads (peers, message);
  peers->options.on_progress (&theirs, &peer->control, peers->options.context);
  return true;
}

static void
on_origins (const xch_origins_message *message, void *context)
{
  gateway_peers_t *peers = context;

  if (peers->options.on_origins)
    peers->options.on_origins (message, peers->options.context);
}

static void
on_parts (const xch_parts_message *message, void *context)
{
  gateway_peers_t *peers = context;

  if (peers->options.on_parts)
    peers->options.on_parts (message, peers->options.context);
}

/* Rank for rendezvous hashing: every gateway computes the same value for a given peer. */
static uint64_t
rank_of (uint64_t hash)
{
  return XXH64 (&hash, sizeof hash, RANK_SEED);
}

static bool
ranks_before (const gateway_peers_t *peers, const peer_t *peer)
{
  return is_alive (peers, peer) && rank_of (peer->hash) > rank_of (peers->own_hash);
}

static uint32_t
count_ranked_before (const gateway_peers_t *peers)
{
  uint32_t count = 0;

  for (guint i = 0; i < peers->list->len; i++)
    count += ranks_before (peers, g_ptr_array_index (peers->list, i)) ? 1 : 0;
  return count;
}

static gint
compare_ranks (gconstpointer a, gconstpointer b)
{
  uint64_t left = rank_of ((*(peer_t *const *)a)->hash);
  uint64_t right = rank_of ((*(peer_t *const *)b)->hash);

  return left > right ? -1 : left < right;
}

/*
 * Peer that is one level nearer to the followers in a tree by rank, in which each node has
 * %GATEWAY_PEERS_FANOUT children; NULL for a follower itself. With random peers alone, the last
 * contact with the store was more than two seconds old at one in five of 103 gateways, which then
 * read the store themselves.
 */
static peer_t *
nearer_peer (const gateway_peers_t *peers)
{
  g_autoptr (GPtrArray) before = g_ptr_array_new ();

  for (guint i = 0; i < peers->list->len; i++)
    if (ranks_before (peers, g_ptr_array_index (peers->list, i)))
      g_ptr_array_add (before, g_ptr_array_index (peers->list, i));
  if (before->len < GATEWAY_PEERS_FOLLOWERS)
    return NULL;
  g_ptr_array_sort (before, compare_ranks);
  return g_ptr_array_index (before, before->len / GATEWAY_PEERS_FANOUT);
}

static peer_t *
random_peer (gateway_peers_t *peers, bool alive_only)
{
  guint count = peers->list->len;
  guint start;

  if (count == 0)
    return NULL;
  start = (guint)g_rand_int_range (peers->rand, 0, (gint32)count);
  for (guint i = 0; i < count; i++)
    {
      peer_t *peer = g_ptr_array_index (peers->list, (start + i) % count);

      if (!alive_only || is_alive (peers, peer))
        return peer;
    }
  return NULL;
}

static void
record_call (gateway_peers_t *peers, peer_t *peer)
{
  if (peer->unanswered_us == 0)
    peer->unanswered_us = now_us (peers);
}

/* Half of the messages go to the peer nearer to the store, most others to a live peer. The rest go
 * to any peer: otherwise one that was disconnected would never be contacted again. */
static bool
pick_destination (address_t *address, void *context)
{
  gateway_peers_t *peers = context;
  peer_t *peer = NULL;

  if (g_rand_boolean (peers->rand))
    peer = nearer_peer (peers);
  if (!peer && g_rand_int_range (peers->rand, 0, 4) != 0)
    peer = random_peer (peers, true);
  if (!peer)
    peer = random_peer (peers, false);
  if (!peer)
    return false;
  record_call (peers, peer);
  *address = peer->exchange;
  return true;
}

static void
call_some_peers (gateway_peers_t *peers)
{
  guint count = peers->list->len;
  guint start = count ? (guint)g_rand_int_range (peers->rand, 0, (gint32)count) : 0;
  uint32_t called = 0;

  for (guint i = 0; i < count && called < GATEWAY_PEERS_NEWS_FANOUT; i++)
    {
      const peer_t *peer = g_ptr_array_index (peers->list, (start + i) % count);

      if (!is_alive (peers, peer))
        continue;
      exchange_send_now (peers->exchange, &peer->exchange);
      called++;
    }
}

static void
on_news_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  call_some_peers (context);
}

/* Finds the live gateways that rank first for the fingerprint, this one too, which is NULL in
 * @owners. Return: their number */
static uint32_t
find_owners (const gateway_peers_t *peers, uint64_t fingerprint, const peer_t **owners)
{
  uint64_t ranks[GATEWAY_PEERS_OWNERS] = { crash_record_rank_owner (fingerprint, peers->own_hash) };
  uint32_t count = 1;

  owners[0] = NULL;
  for (guint i = 0; i < peers->list->len; i++)
    {
      const peer_t *peer = g_ptr_array_index (peers->list, i);
      uint64_t rank = crash_record_rank_owner (fingerprint, peer->hash);
      uint32_t at = count;

      if (!is_alive (peers, peer))
        continue;
      while (at > 0 && ranks[at - 1] < rank)
        at--;
      if (at >= GATEWAY_PEERS_OWNERS)
        continue;
      count = MIN (count + 1, GATEWAY_PEERS_OWNERS);
      for (uint32_t j = count - 1; j > at; j--)
        {
          ranks[j] = ranks[j - 1];
          owners[j] = owners[j - 1];
        }
      ranks[at] = rank;
      owners[at] = peer;
    }
  return count;
}

static void
tell_owners (gateway_peers_t *peers, const crash_mark_t *mark)
{
  const peer_t *owners[GATEWAY_PEERS_OWNERS];
  uint32_t count = find_owners (peers, mark->fingerprint, owners);

  peers->owner_mark = mark;
  for (uint32_t i = 0; i < count; i++)
    if (owners[i])
      exchange_send_now (peers->exchange, &owners[i]->exchange);
  peers->owner_mark = NULL;
}

static void
on_crashes_timer (evutil_socket_t fd, short what, void *context)
{
  gateway_peers_t *peers = context;
  crash_mark_t mark;

  (void)fd;
  (void)what;
  if (crash_record_take_news (peers->options.crashes, now_us (peers)))
    call_some_peers (peers);
  while (exchange_has_spare_budget (peers->exchange) &&
         crash_record_take_owner_mark (peers->options.crashes, now_us (peers), &mark))
    tell_owners (peers, &mark);
}

gateway_peers_t *
gateway_peers_new (const gateway_peers_options_t *options, GError **error)
{
  gateway_peers_t *peers = g_new0 (gateway_peers_t, 1);
  const settings_t *settings = options->settings;

  peers->options = *options;
  peers->list = g_ptr_array_new_with_free_func (g_free);
  peers->own_hash = hash_of (settings->name);
  peers->news_timer = evtimer_new (options->base, on_news_timer, peers);
  peers->crashes_timer = evtimer_new (options->base, on_crashes_timer, peers);
  peers->rand = g_rand_new_with_seed ((guint32)(peers->own_hash ^ options->incarnation));
  peers->exchange =
      exchange_new (&(exchange_options_t){ .base = options->base,
                                           .clock = options->clock,
                                           .counters = options->counters,
                                           .listen = settings->exchange,
                                           .fleet_key = settings->fleet_key,
                                           .interval_ms = settings->exchange_interval_ms,
                                           .budget_bytes = settings->control_budget_bytes,
                                           .seed = peers->own_hash ^ options->incarnation,
                                           .fill_message = fill_message,
                                           .on_message = on_message,
                                           .on_origins = on_origins,
                                           .on_parts = on_parts,
                                           .choose_peer = pick_destination,
                                           .context = peers },
                    error);
  if (peers->exchange)
    return peers;
  gateway_peers_free (peers);
  return NULL;
}

void
gateway_peers_poll (gateway_peers_t *peers)
{
  exchange_poll (peers->exchange);
}

void
gateway_peers_free (gateway_peers_t *peers)
{
  if (peers->exchange)
    exchange_free (peers->exchange);
  event_free (peers->news_timer);
  event_free (peers->crashes_timer);
  g_rand_free (peers->rand);
  g_ptr_array_free (peers->list, TRUE);
  g_free (peers);
}

/* The entry does not contain the incarnation, which peers learn from messages. So it is the same at
 * each start, and a gateway that restarts causes no write and no new record for the others. */
char *
gateway_peers_format_own_entry (const gateway_peers_t *peers)
{
  g_autofree char *exchange = address_to_text (&peers->options.settings->exchange);
  g_autofree char *control = address_to_text (&peers->options.settings->control_listen);

  return g_strdup_printf (NO_INCARNATION " %s %s", exchange, control);
}

/* Format: "INCARNATION EXCHANGE-ADDRESS CONTROL-ADDRESS" */
static bool
parse_entry (const char *entry, peer_t *peer)
{
  g_auto (GStrv) fields = g_strsplit (entry, " ", 4);

  if (g_strv_length (fields) != 3)
    return false;
  return g_ascii_string_to_unsigned (fields[0], 10, 0, UINT64_MAX, &peer->incarnation, NULL) &&
         address_parse (fields[1], &peer->exchange, NULL) &&
         address_parse (fields[2], &peer->control, NULL);
}

void
gateway_peers_put (gateway_peers_t *peers, const char *name, const char *entry)
{
  peer_t *known = find_by_hash (peers, hash_of (name));
  peer_t peer = { .hash = hash_of (name), .known_us = now_us (peers) };

  if (peer.hash == peers->own_hash)
    return;
  if (entry && (strlen (name) >= sizeof peer.name || !parse_entry (entry, &peer)))
    {
      log_event (LOG_LEVEL_WARNING, "peer_unreadable", "peer", name, NULL);
      return;
    }
  if (known)
    g_ptr_array_remove (peers->list, known);
  if (!entry)
    return;
  g_strlcpy (peer.name, name, sizeof peer.name);
  g_ptr_array_add (peers->list, g_memdup2 (&peer, sizeof peer));
}

/* An engine that ends breaks all its connections in one turn of the event loop. The timer comes
 * after them, so that the requests to blame most are told first. */
void
gateway_peers_tell_crashes (gateway_peers_t *peers)
{
  if (!event_pending (peers->crashes_timer, EV_TIMEOUT, NULL))
    event_add (peers->crashes_timer, &(struct timeval){ 0, 0 });
}

void
gateway_peers_add_load (gateway_peers_t *peers, const load_report_t *item)
{
  load_reports_add (&peers->loads, now_us (peers), item);
}

/* One read can bring the entries of many engines. A message for each entry would use up the message
 * budget, so that later news was not sent for seconds; the timer combines them into one. */
void
gateway_peers_send_news (gateway_peers_t *peers)
{
  if (!event_pending (peers->news_timer, EV_TIMEOUT, NULL))
    event_add (peers->news_timer, &(struct timeval){ 0, 0 });
}

static uint32_t
count_alive (const gateway_peers_t *peers)
{
  uint32_t count = 0;

  for (guint i = 0; i < peers->list->len; i++)
    count += is_alive (peers, g_ptr_array_index (peers->list, i)) ? 1 : 0;
  return count;
}

bool
gateway_peers_hears_most (const gateway_peers_t *peers)
{
  return 2 * count_alive (peers) > peers->list->len;
}

bool
gateway_peers_may_have_served (const gateway_peers_t *peers, const char *name, uint64_t within_us)
{
  const peer_t *peer = find_by_hash (peers, hash_of (name));

  return !peer || now_us (peers) < MAX (peer->heard_us, peer->known_us) + within_us;
}

uint32_t
gateway_peers_count_running (const gateway_peers_t *peers)
{
  return 1 + MAX (count_alive (peers), (peers->list->len + 1) / 2);
}

uint32_t
gateway_peers_count_registered (const gateway_peers_t *peers, bool listed)
{
  return retry_budget_sharers (listed, peers->list->len, count_alive (peers));
}

uint32_t
gateway_peers_count_ranked_before (const gateway_peers_t *peers)
{
  return count_ranked_before (peers);
}

bool
gateway_peers_is_isolated (const gateway_peers_t *peers)
{
  return now_us (peers) - peers->heard_us >= GATEWAY_PEERS_ISOLATED_US;
}

bool
gateway_peers_pick_control (gateway_peers_t *peers, address_t *control)
{
  const peer_t *peer = random_peer (peers, true);

  if (!peer)
    peer = random_peer (peers, false);
  if (!peer)
    return false;
  *control = peer->control;
  return true;
}

uint64_t
gateway_peers_own_hash (const gateway_peers_t *peers)
{
  return peers->own_hash;
}

GArray *
gateway_peers_get_hashes (const gateway_peers_t *peers)
{
  GArray *hashes = g_array_sized_new (FALSE, FALSE, sizeof (uint64_t), peers->list->len + 1);

  g_array_append_val (hashes, peers->own_hash);
  for (guint i = 0; i < peers->list->len; i++)
    g_array_append_val (hashes, ((const peer_t *)g_ptr_array_index (peers->list, i))->hash);
  return hashes;
}

bool
gateway_peers_has_spare_budget (gateway_peers_t *peers)
{
  return exchange_has_spare_budget (peers->exchange);
}

bool
gateway_peers_is_alive (const gateway_peers_t *peers, uint64_t hash)
{
  const peer_t *peer = find_by_hash (peers, hash);

  return peer && is_alive (peers, peer);
}

bool
gateway_peers_send_origins (gateway_peers_t *peers,
                            uint64_t hash,
                            bool is_urgent,
                            xch_origins_message *message)
{
  const peer_t *peer = find_by_hash (peers, hash);

  return peer && exchange_send_origins (peers->exchange, &peer->exchange, is_urgent, message);
}

bool
gateway_peers_send_parts (gateway_peers_t *peers, xch_parts_message *message)
{
  const peer_t *peer = random_peer (peers, true);

  return peer && exchange_send_parts (peers->exchange, &peer->exchange, message);
}
