#include "request/policy/member.h"

#include "request/policy/place.h"

#include <stdlib.h>
#include <string.h>

/**
 * struct member - a host that is in the platform's list, or was
 * @published: the host as snapshots contain it
 * @listed: whether the list contains it now
 * @list_state: its state in the list
 * @list_says_leaving: the list turned to leaving, for the incarnation @leaving_incarnation
 * @leaving_incarnation: 0 when the incarnation was not known at that time
 * @has_report: whether @report is set
 * @report: the newest report of the host about itself
 * @up_since_us: when it joined, returned or restarted
 * @gone_us: when it last left the list; 0 for never
 * @flaps: returns and early restarts that count for the damping
 * @restart_expected: the host was listed again; the next new incarnation belongs to that return and
 *   is not counted as another flap
 * @list_round: the last complete list that contained it
 */
typedef struct
{
  mem_host_t published;
  bool listed;
  mem_state_t list_state;
  bool list_says_leaving;
  uint64_t leaving_incarnation;
  bool has_report;
  mem_word_t report;
  uint64_t up_since_us;
  uint64_t gone_us;
  uint32_t flaps;
  bool restart_expected;
  uint64_t list_round;
} member_t;

struct mem
{
  GHashTable *entries; /* host hash -> member_t */
  mem_snapshot_t *snapshot;
  uint64_t list_revision;
  uint64_t list_round; /* counts complete lists, to find the hosts that the last one omits */
  bool has_list;
  bool changed;
  bool urgent; /* the state, address or damping of a host changed */
};

static void
mark_changed (mem_t *mem)
{
  mem->changed = true;
  mem->urgent = true;
}

static member_t *
find (const mem_t *mem, uint64_t host_hash)
{
  return g_hash_table_lookup (mem->entries, &host_hash);
}

/* A host is leaving as soon as the list or its own report says so. */
static mem_state_t
effective_state (const member_t *entry)
{
  if (!entry->listed)
    return MEM_GONE;
  mem_state_t state = entry->list_says_leaving ? MEM_LEAVING : MEM_LIVE;
  if (entry->has_report)
    state = MAX (state, entry->report.state);
  return state;
}

static bool
update_state (mem_t *mem, member_t *entry)
{
  mem_state_t state = effective_state (entry);
  if (state == entry->published.state)
    return false;
  entry->published.state = state;
  mark_changed (mem);
  return true;
}

static uint64_t
damping_us (uint32_t flaps)
{
  uint64_t wait_us = MEM_DAMPING_MIN_US;
  for (uint32_t i = 1; i < flaps && wait_us < MEM_DAMPING_MAX_US; i++)
    wait_us *= 2;
  return MIN (wait_us, MEM_DAMPING_MAX_US);
}

/* Removes one flap for each %MEM_LONG_UPTIME_US of uptime. Return: the uptime */
static uint64_t
reduce_flaps (member_t *entry, uint64_t end_us)
{
  uint64_t uptime_us = end_us - MIN (end_us, entry->up_since_us);
  uint64_t removed = uptime_us / MEM_LONG_UPTIME_US;
  entry->flaps -= (uint32_t)MIN (removed, entry->flaps);
  return uptime_us;
}

static void
count_flap (mem_t *mem, member_t *entry, uint64_t now_us)
{
  uint32_t flaps_max = 16; /* more don't lengthen the damping, and would take hours to remove */
  entry->flaps = MIN (entry->flaps + 1, flaps_max);
  entry->published.settled_us = now_us + damping_us (entry->flaps);
  mark_changed (mem);
}

static member_t *
add_entry (mem_t *mem, const mem_listed_t *listed, uint64_t hash)
{
  uint64_t *key = g_new (uint64_t, 1);
  *key = hash;
  member_t *entry = g_new0 (member_t, 1);
  g_strlcpy (entry->published.name, listed->name, sizeof entry->published.name);
  entry->published.hash = hash;
  entry->published.state = MEM_GONE;
  entry->list_state = MEM_GONE;
  g_hash_table_insert (mem->entries, key, entry);
  return entry;
}

static bool
same_address (const set_address_t *a, const set_address_t *b)
{
  return a->port == b->port && strcmp (a->ip, b->ip) == 0;
}

static void
update_location (mem_t *mem, member_t *entry, const mem_listed_t *listed)
{
  mem_host_t *published = &entry->published;
  bool same = published->router == listed->router &&
              same_address (&published->http, &listed->http) &&
              same_address (&published->exchange, &listed->exchange) &&
              strcmp (published->data_center, listed->data_center) == 0 &&
              strcmp (published->region, listed->region) == 0;
  if (same)
    return;
  published->router = listed->router;
  published->http = listed->http;
  published->exchange = listed->exchange;
  g_strlcpy (published->data_center, listed->data_center, sizeof published->data_center);
  g_strlcpy (published->region, listed->region, sizeof published->region);
  mark_changed (mem);
}

static void
add_to_list (mem_t *mem, member_t *entry, uint64_t now_us)
{
  bool returned = entry->gone_us != 0;
  entry->listed = true;
  entry->up_since_us = now_us;
  /* Hosts of the first list may be older than this daemon and don't count as new. */
  entry->published.joined_us = mem->has_list ? now_us : 0;
  if (returned)
    {
      entry->restart_expected = true;
      count_flap (mem, entry, now_us);
    }
}

static void
remove_from_list (mem_t *mem, member_t *entry, uint64_t now_us)
{
  if (!entry->listed)
    return;
  reduce_flaps (entry, now_us);
  entry->listed = false;
  entry->list_state = MEM_GONE;
  entry->gone_us = now_us;
  /* Without an incarnation the list's "leaving" can't be told from one of the next start. */
  if (entry->leaving_incarnation == 0)
    entry->list_says_leaving = false;
  update_state (mem, entry);
}

/*
 * Only a change of the list to leaving counts, and it holds for the incarnation that was known at
 * that time. A list that lags still says leaving of a host that has restarted, and a stale copy of
 * the list says live again of a host that is leaving.
 */
static void
update_list_state (member_t *entry, mem_state_t state)
{
  bool has_changed = state != entry->list_state;
  entry->list_state = state;
  if (!has_changed)
    return;
  if (state == MEM_LEAVING)
    {
      entry->list_says_leaving = true;
      entry->leaving_incarnation = entry->has_report ? entry->report.incarnation : 0;
    }
  else if (entry->leaving_incarnation == 0)
    {
      entry->list_says_leaving = false;
    }
}

static void
apply_list_entry (mem_t *mem, uint64_t now_us, const mem_listed_t *listed)
{
  uint64_t hash = rendezvous_hash_name (listed->name);
  member_t *entry = find (mem, hash);
  if (listed->state == MEM_GONE)
    {
      if (entry != NULL)
        remove_from_list (mem, entry, now_us);
      return;
    }
  if (entry == NULL)
    entry = add_entry (mem, listed, hash);
  entry->list_round = mem->list_round;
  update_location (mem, entry, listed);
  if (!entry->listed)
    add_to_list (mem, entry, now_us);
  update_list_state (entry, listed->state);
  update_state (mem, entry);
}

static void
remove_expired (mem_t *mem, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, mem->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const member_t *entry = value;
      if (!entry->listed && entry->gone_us + MEM_REMEMBERED_US < now_us)
        g_hash_table_iter_remove (&iter);
    }
}

/* A new incarnation: what the list said about the previous one no longer holds. */
static void
apply_restart (mem_t *mem, member_t *entry, uint64_t now_us)
{
  if (entry->leaving_incarnation != 0)
    entry->list_says_leaving = false;
  entry->published.incarnation = entry->report.incarnation;
  mem->changed = true;
  if (entry->restart_expected || !entry->listed)
    return;
  uint64_t uptime_us = reduce_flaps (entry, now_us);
  entry->up_since_us = now_us;
  if (uptime_us < MEM_LONG_UPTIME_US)
    count_flap (mem, entry, now_us);
}

static bool
is_newer (const mem_word_t *report, const mem_word_t *last)
{
  if (report->incarnation != last->incarnation)
    return report->incarnation > last->incarnation;
  return report->sequence > last->sequence;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (((const mem_host_t *)a)->name, ((const mem_host_t *)b)->name);
}

static int
compare_hashes (const void *a, const void *b, void *context)
{
  const mem_host_t *hosts = context;
  uint64_t x = hosts[*(const uint32_t *)a].hash;
  uint64_t y = hosts[*(const uint32_t *)b].hash;
  return (x > y) - (x < y);
}

static mem_snapshot_t *
make_snapshot (const mem_t *mem)
{
  mem_snapshot_t *snapshot = g_new0 (mem_snapshot_t, 1);
  g_atomic_ref_count_init (&snapshot->refs);
  uint32_t room = g_hash_table_size (mem->entries);
  snapshot->hosts = g_new (mem_host_t, room);
  snapshot->by_hash = g_new (uint32_t, room);
  snapshot->list_revision = mem->list_revision;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, mem->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const member_t *entry = value;
      if (entry->published.state != MEM_GONE)
        snapshot->hosts[snapshot->host_count++] = entry->published;
    }
  uint32_t count = snapshot->host_count;
  if (count > 0)
    qsort (snapshot->hosts, count, sizeof *snapshot->hosts, compare_names);
  for (uint32_t i = 0; i < count; i++)
    snapshot->by_hash[i] = i;
  if (count > 0)
    g_qsort_with_data (snapshot->by_hash, (gint)count, sizeof (uint32_t), compare_hashes,
                       snapshot->hosts);
  return snapshot;
}

mem_t *
mem_new (void)
{
  mem_t *mem = g_new0 (mem_t, 1);
  mem->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  mark_changed (mem);
  return mem;
}

void
mem_free (mem_t *mem)
{
  if (mem == NULL)
    return;
  g_hash_table_destroy (mem->entries);
  if (mem->snapshot != NULL)
    mem_snapshot_unref (mem->snapshot);
  g_free (mem);
}

void
mem_list_full (
    mem_t *mem, uint64_t now_us, const mem_listed_t *listed, uint32_t count, uint64_t revision)
{
  mem->list_round++;
  for (uint32_t i = 0; i < count; i++)
    apply_list_entry (mem, now_us, &listed[i]);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, mem->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      member_t *entry = value;
      if (entry->list_round != mem->list_round)
        remove_from_list (mem, entry, now_us);
    }
  remove_expired (mem, now_us);
  mem->list_revision = revision;
  mem->has_list = true;
}

void
mem_list_delta (
    mem_t *mem, uint64_t now_us, const mem_listed_t *listed, uint32_t count, uint64_t revision)
{
  for (uint32_t i = 0; i < count; i++)
    apply_list_entry (mem, now_us, &listed[i]);
  remove_expired (mem, now_us);
  mem->list_revision = revision;
  mem->has_list = true;
}

bool
mem_hear (mem_t *mem, uint64_t now_us, const mem_word_t *report)
{
  member_t *entry = find (mem, report->host_hash);
  if (entry == NULL)
    return false;
  if (entry->has_report && !is_newer (report, &entry->report))
    return false;
  bool is_first = !entry->has_report;
  bool restarted = !is_first && report->incarnation != entry->report.incarnation;
  mem_state_t state = report->state;
  /* Within an incarnation a host never returns to an earlier state, whatever it reports. */
  if (!is_first && !restarted)
    state = MAX (state, entry->report.state);
  bool is_news = is_first || restarted || state != entry->report.state;
  entry->has_report = true;
  entry->report = *report;
  entry->report.state = state;
  if (is_first)
    {
      entry->published.incarnation = report->incarnation;
      mem->changed = true;
    }
  if (restarted)
    apply_restart (mem, entry, now_us);
  entry->restart_expected = false;
  update_state (mem, entry);
  return is_news;
}

bool
mem_word (const mem_t *mem, uint64_t host_hash, mem_word_t *report)
{
  const member_t *entry = find (mem, host_hash);
  if (entry == NULL || !entry->has_report)
    return false;
  *report = entry->report;
  return true;
}

mem_leave_t
mem_leave (const mem_t *mem, uint64_t host_hash, uint64_t incarnation)
{
  const member_t *entry = find (mem, host_hash);
  if (entry == NULL)
    return MEM_LEAVE_NONE;
  if (entry->list_says_leaving && entry->leaving_incarnation == incarnation)
    return MEM_LEAVE_INCARNATION;
  if (entry->has_report && entry->report.incarnation == incarnation &&
      entry->report.state != MEM_LIVE)
    return MEM_LEAVE_INCARNATION;
  bool any_incarnation = entry->list_says_leaving && entry->leaving_incarnation == 0;
  return any_incarnation && entry->list_state == MEM_LEAVING ? MEM_LEAVE_LISTED : MEM_LEAVE_NONE;
}

bool
mem_awaits_leave (const mem_t *mem, uint64_t host_hash)
{
  const member_t *entry = find (mem, host_hash);
  if (entry == NULL || !entry->listed || !entry->list_says_leaving)
    return false;
  return !entry->has_report || entry->report.state == MEM_LIVE;
}

bool
mem_changed (const mem_t *mem)
{
  return mem->changed;
}

bool
mem_urgent (const mem_t *mem)
{
  return mem->urgent;
}

mem_snapshot_t *
mem_snapshot (mem_t *mem)
{
  if (mem->changed || mem->snapshot == NULL)
    {
      if (mem->snapshot != NULL)
        mem_snapshot_unref (mem->snapshot);
      mem->snapshot = make_snapshot (mem);
      mem->changed = false;
      mem->urgent = false;
    }
  return mem_snapshot_ref (mem->snapshot);
}
