#include "process/gateway_peers.h"

#include "connection/exchange.h"
#include "base/log.h"
#include "process/rumour.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/**
 * struct peer - another gateway
 * @known_us: when its entry came
 * @heard_us: when it was heard last, 0 for never
 */
typedef struct
{
  char name[LIM_NAME_BYTES];
  uint64_t hash;
  uint64_t incarnation;
  uint32_t sequence;
  set_address_t exchange;
  set_address_t control;
  uint64_t known_us;
  uint64_t heard_us;
} peer_t;

struct gpr
{
  gpr_options_t options;
  exc_t *exc;
  GPtrArray *peers; /* peer_t */
  GRand *rand;
  uint64_t own_hash;
  uint32_t sequence;
  rmr_t rumours;
};

static uint64_t
hash_of (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

static uint64_t
now_us (const gpr_t *gpr)
{
  return clk_now_us (gpr->options.clk);
}

static peer_t *
find (const gpr_t *gpr, uint64_t hash)
{
  for (guint i = 0; i < gpr->peers->len; i++)
    {
      peer_t *peer = g_ptr_array_index (gpr->peers, i);

      if (peer->hash == hash)
        return peer;
    }
  return NULL;
}

static bool
is_alive (const gpr_t *gpr, const peer_t *peer)
{
  return peer->heard_us != 0 && now_us (gpr) - peer->heard_us < GPR_HEARD_US;
}

static void
fill_marks (gpr_t *gpr, xch_message *message)
{
  sus_mark_t marks[XCH_MARKS];
  uint32_t count = rmr_take_marks (&gpr->rumours, now_us (gpr), marks, XCH_MARKS);

  G_STATIC_ASSERT (sizeof message->marks.marks_val->engines == sizeof marks->engines);
  for (uint32_t i = 0; i < count; i++)
    {
      xch_mark *out = &message->marks.marks_val[i];

      out->fingerprint = marks[i].fingerprint;
      memcpy (out->engines, marks[i].engines, sizeof out->engines);
      out->age_ms = marks[i].age_ms;
    }
  message->marks.marks_len = count;
}

static void
hear_marks (gpr_t *gpr, const xch_message *message)
{
  for (uint32_t i = 0; i < message->marks.marks_len; i++)
    {
      const xch_mark *heard = &message->marks.marks_val[i];
      sus_mark_t mark = { .fingerprint = heard->fingerprint, .age_ms = heard->age_ms };

      memcpy (mark.engines, heard->engines, sizeof mark.engines);
      if (rmr_add_mark (&gpr->rumours, now_us (gpr), &mark))
        gpr->options.suspect (&mark, gpr->options.context);
    }
}

static void
fill (xch_message *message, const xch_word *to, void *context)
{
  gpr_t *gpr = context;
  gpr_known_t known = gpr->options.know (gpr->options.context);

  (void)to;
  message->sender.host_hash = gpr->own_hash;
  message->sender.incarnation = gpr->options.incarnation;
  message->sender.sequence = ++gpr->sequence;
  message->manifest_version = known.version;
  message->list_revision = known.engines_next;
  message->store_age_ms = known.store_age_ms;
  fill_marks (gpr, message);
}

/* Return: false for a message that is older than one heard before */
static bool
note_heard (gpr_t *gpr, peer_t *peer, const xch_word *sender)
{
  if (sender->incarnation < peer->incarnation)
    return false;
  if (sender->incarnation == peer->incarnation && sender->sequence <= peer->sequence)
    return false;
  peer->incarnation = sender->incarnation;
  peer->sequence = sender->sequence;
  if (!is_alive (gpr, peer))
    log_event (LOG_LEVEL_NOTICE, "peer_heard", "peer", peer->name, "incarnation",
               LOG_U64 (peer->incarnation), NULL);
  peer->heard_us = now_us (gpr);
  return true;
}

static bool
heard (const xch_message *message, bool is_reply, void *context)
{
  gpr_t *gpr = context;
  peer_t *peer = find (gpr, message->sender.host_hash);
  gpr_known_t theirs = { .version = message->manifest_version,
                         .engines_next = message->list_revision,
                         .store_age_ms = message->store_age_ms };

  (void)is_reply;
  if (!peer || !note_heard (gpr, peer, &message->sender))
    return false;
  hear_marks (gpr, message);
  gpr->options.heard (&theirs, &peer->control, gpr->options.context);
  return true;
}

static peer_t *
random_peer (gpr_t *gpr, bool alive_only)
{
  guint count = gpr->peers->len;
  guint start;

  if (count == 0)
    return NULL;
  start = (guint)g_rand_int_range (gpr->rand, 0, (gint32)count);
  for (guint i = 0; i < count; i++)
    {
      peer_t *peer = g_ptr_array_index (gpr->peers, (start + i) % count);

      if (!alive_only || is_alive (gpr, peer))
        return peer;
    }
  return NULL;
}

/* Mostly one that is heard; now and then any, or one that was cut off would never be heard again.
 */
static bool
pick (set_address_t *address, void *context)
{
  gpr_t *gpr = context;
  peer_t *peer = NULL;

  if (g_rand_int_range (gpr->rand, 0, 4) != 0)
    peer = random_peer (gpr, true);
  if (!peer)
    peer = random_peer (gpr, false);
  if (!peer)
    return false;
  *address = peer->exchange;
  return true;
}

gpr_t *
gpr_new (const gpr_options_t *options, GError **error)
{
  gpr_t *gpr = g_new0 (gpr_t, 1);
  const set_t *set = options->set;

  gpr->options = *options;
  gpr->peers = g_ptr_array_new_with_free_func (g_free);
  gpr->own_hash = hash_of (set->name);
  rmr_init (&gpr->rumours);
  gpr->rand = g_rand_new_with_seed ((guint32)(gpr->own_hash ^ options->incarnation));
  gpr->exc = exc_new (&(exc_options_t){ .base = options->base,
                                        .clk = options->clk,
                                        .counters = options->counters,
                                        .listen = set->exchange,
                                        .fleet_key = set->fleet_key,
                                        .interval_ms = set->exchange_interval_ms,
                                        .budget_bytes = set->control_budget_bytes,
                                        .seed = gpr->own_hash ^ options->incarnation,
                                        .fill = fill,
                                        .heard = heard,
                                        .pick = pick,
                                        .context = gpr },
                      error);
  if (gpr->exc)
    return gpr;
  gpr_free (gpr);
  return NULL;
}

void
gpr_free (gpr_t *gpr)
{
  if (gpr->exc)
    exc_free (gpr->exc);
  g_rand_free (gpr->rand);
  g_ptr_array_free (gpr->peers, TRUE);
  g_free (gpr);
}

char *
gpr_entry (const gpr_t *gpr)
{
  g_autofree char *exchange = set_address_text (&gpr->options.set->exchange);
  g_autofree char *control = set_address_text (&gpr->options.set->control_listen);

  return g_strdup_printf ("%" PRIu64 " %s %s", gpr->options.incarnation, exchange, control);
}

/* "INCARNATION EXCHANGE CONTROL" */
static bool
read_entry (const char *entry, peer_t *peer)
{
  g_auto (GStrv) fields = g_strsplit (entry, " ", 4);

  if (g_strv_length (fields) != 3)
    return false;
  return g_ascii_string_to_unsigned (fields[0], 10, 0, UINT64_MAX, &peer->incarnation, NULL) &&
         set_parse_address (fields[1], &peer->exchange, NULL) &&
         set_parse_address (fields[2], &peer->control, NULL);
}

void
gpr_put (gpr_t *gpr, const char *name, const char *entry)
{
  peer_t *before = find (gpr, hash_of (name));
  peer_t peer = { .hash = hash_of (name), .known_us = now_us (gpr) };

  if (peer.hash == gpr->own_hash)
    return;
  if (entry && (strlen (name) >= sizeof peer.name || !read_entry (entry, &peer)))
    {
      log_event (LOG_LEVEL_WARNING, "peer_unreadable", "peer", name, NULL);
      return;
    }
  if (before)
    g_ptr_array_remove (gpr->peers, before);
  if (!entry)
    return;
  g_strlcpy (peer.name, name, sizeof peer.name);
  g_ptr_array_add (gpr->peers, g_memdup2 (&peer, sizeof peer));
}

void
gpr_add_suspect (gpr_t *gpr, const sus_mark_t *mark)
{
  rmr_add_mark (&gpr->rumours, now_us (gpr), mark);
  gpr_tell_news (gpr);
}

void
gpr_tell_news (gpr_t *gpr)
{
  for (uint32_t i = 0; i < GPR_NEWS_TELLS; i++)
    {
      const peer_t *peer = random_peer (gpr, true);

      if (peer)
        exc_now (gpr->exc, &peer->exchange);
    }
}

static uint32_t
alive_count (const gpr_t *gpr)
{
  uint32_t count = 0;

  for (guint i = 0; i < gpr->peers->len; i++)
    count += is_alive (gpr, g_ptr_array_index (gpr->peers, i)) ? 1 : 0;
  return count;
}

uint32_t
gpr_count (const gpr_t *gpr)
{
  return 1 + MAX (alive_count (gpr), (gpr->peers->len + 1) / 2);
}

/* A number that is the same wherever it is worked out, and unlike for each gateway. */
static uint64_t
rank_of (uint64_t hash)
{
  return XXH64 (&hash, sizeof hash, GPR_TAILS);
}

bool
gpr_follows_closely (const gpr_t *gpr)
{
  uint32_t before = 0;

  for (guint i = 0; i < gpr->peers->len; i++)
    {
      const peer_t *peer = g_ptr_array_index (gpr->peers, i);

      before += is_alive (gpr, peer) && rank_of (peer->hash) > rank_of (gpr->own_hash) ? 1 : 0;
    }
  return before < GPR_TAILS;
}

bool
gpr_some (gpr_t *gpr, set_address_t *control)
{
  const peer_t *peer = random_peer (gpr, true);

  if (!peer)
    peer = random_peer (gpr, false);
  if (!peer)
    return false;
  *control = peer->control;
  return true;
}
