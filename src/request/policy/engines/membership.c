#include "request/policy/engines/membership.h"

#include "request/policy/placement/rendezvous.h"

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
  membership_host_t published;
  bool listed;
  membership_state_t list_state;
  bool list_says_leaving;
  uint64_t leaving_incarnation;
  bool has_report;
  membership_report_t report;
  uint64_t up_since_us;
  uint64_t gone_us;
  uint32_t flaps;
  bool restart_expected;
  uint64_t list_round;
} member_t;

struct membership
{
  GHashTable *entries; /* host hash -> member_t */
  membership_snapshot_t *snapshot;
  uint64_t list_revision;
  uint64_t list_round; /* counts complete lists, to find the hosts that the last one omits */
  bool has_list;
  bool changed;
  bool urgent; /* the state, address or damping of a host changed */
};

static void
mark_changed (membership_t *membership)
{
  membership->changed = true;
  membership->urgent = true;
}

static member_t *
find (const membership_t *membership, uint64_t host_hash)
{
  return g_hash_table_lookup (membership->entries, &host_hash);
}

/* A host is leaving as soon as the list or its own report says so. */
static membership_state_t
effective_state (const member_t *entry)
{
  if (!entry->listed)
    return MEMBERSHIP_GONE;
  membership_state_t state = entry->list_says_leaving ? MEMBERSHIP_LEAVING : MEMBERSHIP_LIVE;
  if (entry->has_report)
    state = MAX (state, entry->report.state);
  return state;
}

static bool
update_state (membership_t *membership, member_t *entry)
{
  membership_state_t state = effective_state (entry);
  if (state == entry->published.state)
    return false;
  entry->published.state = state;
  mark_changed (membership);
  return true;
}

static uint64_t
damping_us (uint32_t flaps)
{
  uint64_t wait_us = MEMBERSHIP_DAMPING_MIN_US;
  for (uint32_t i = 1; i < flaps && wait_us < MEMBERSHIP_DAMPING_MAX_US; i++)
    wait_us *= 2;
  return MIN (wait_us, MEMBERSHIP_DAMPING_MAX_US);
}

/* Removes one flap for each %MEMBERSHIP_LONG_UPTIME_US of uptime. Return: the uptime */
static uint64_t
reduce_flaps (member_t *entry, uint64_t end_us)
{
  uint64_t uptime_us = end_us - MIN (end_us, entry->up_since_us);
  uint64_t removed = uptime_us / MEMBERSHIP_LONG_UPTIME_US;
  entry->flaps -= (uint32_t)MIN (removed, entry->flaps);
  return uptime_us;
}

static void
count_flap (membership_t *membership, member_t *entry, uint64_t now_us)
{
  uint32_t flaps_max = 16; /* more don't lengthen the damping, and would take hours to remove */
  entry->flaps = MIN (entry->flaps + 1, flaps_max);
  entry->published.settled_us = now_us + damping_us (entry->flaps);
  mark_changed (membership);
}

static member_t *
add_entry (membership_t *membership, const membership_list_entry_t *listed, uint64_t hash)
{
  uint64_t *key = g_new (uint64_t, 1);
  *key = hash;
  member_t *entry = g_new0 (member_t, 1);
  g_strlcpy (entry->published.name, listed->name, sizeof entry->published.name);
  entry->published.hash = hash;
  entry->published.state = MEMBERSHIP_GONE;
  entry->list_state = MEMBERSHIP_GONE;
  g_hash_table_insert (membership->entries, key, entry);
  return entry;
}

static bool
same_address (const address_t *a, const address_t *b)
{
  return a->port == b->port && strcmp (a->ip, b->ip) == 0;
}

static void
update_location (membership_t *membership, member_t *entry, const membership_list_entry_t *listed)
{
  membership_host_t *published = &entry->published;
  bool same = published->is_router == listed->is_router &&
              same_address (&published->http, &listed->http) &&
              same_address (&published->exchange, &listed->exchange) &&
              strcmp (published->data_center, listed->data_center) == 0 &&
              strcmp (published->region, listed->region) == 0;
  if (same)
    return;
  published->is_router = listed->is_router;
  published->http = listed->http;
  published->exchange = listed->exchange;
  g_strlcpy (published->data_center, listed->data_center, sizeof published->data_center);
  g_strlcpy (published->region, listed->region, sizeof published->region);
  mark_changed (membership);
}

static void
add_to_list (membership_t *membership, member_t *entry, uint64_t now_us)
{
  bool returned = entry->gone_us != 0;
  entry->listed = true;
  entry->up_since_us = now_us;
  /* Hosts of the first list may be older than this daemon and don't count as new. */
  entry->published.joined_us = membership->has_list ? now_us : 0;
  if (returned)
    {
      entry->restart_expected = true;
      count_flap (membership, entry, now_us);
    }
}

static void
remove_from_list (membership_t *membership, member_t *entry, uint64_t now_us)
{
  if (!entry->listed)
    return;
  reduce_flaps (entry, now_us);
  entry->listed = false;
  entry->list_state = MEMBERSHIP_GONE;
  entry->gone_us = now_us;
  /* Without an incarnation the list's "leaving" can't be told from one of the next start. */
  if (entry->leaving_incarnation == 0)
    entry->list_says_leaving = false;
  update_state (membership, entry);
}

/*
 * Only a change of the list to leaving counts, and it holds for the incarnation that was known at
 * that time. A list that lags still says leaving of a host that has restarted, and a stale copy of
 * the list says live again of a host that is leaving.
 */
static void
update_list_state (member_t *entry, membership_state_t state)
{
  bool has_changed = state != entry->list_state;
  entry->list_state = state;
  if (!has_changed)
    return;
  if (state == MEMBERSHIP_LEAVING)
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
apply_list_entry (membership_t *membership, uint64_t now_us, const membership_list_entry_t *listed)
{
  uint64_t hash = rendezvous_hash_name (listed->name);
  member_t *entry = find (membership, hash);
  if (listed->state == MEMBERSHIP_GONE)
    {
      if (entry != NULL)
        remove_from_list (membership, entry, now_us);
      return;
    }
  if (entry == NULL)
    entry = add_entry (membership, listed, hash);
  entry->list_round = membership->list_round;
  update_location (membership, entry, listed);
  if (!entry->listed)
    add_to_list (membership, entry, now_us);
  update_list_state (entry, listed->state);
  update_state (membership, entry);
}

static void
remove_expired (membership_t *membership, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, membership->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const member_t *entry = value;
      if (!entry->listed && entry->gone_us + MEMBERSHIP_RETENTION_US < now_us)
        g_hash_table_iter_remove (&iter);
    }
}

/* A new incarnation: what the list said about the previous one no longer holds. */
static void
apply_restart (membership_t *membership, member_t *entry, uint64_t now_us)
{
  if (entry->leaving_incarnation != 0)
    entry->list_says_leaving = false;
  entry->published.incarnation = entry->report.incarnation;
  membership->changed = true;
  if (entry->restart_expected || !entry->listed)
    return;
  uint64_t uptime_us = reduce_flaps (entry, now_us);
  entry->up_since_us = now_us;
  if (uptime_us < MEMBERSHIP_LONG_UPTIME_US)
    count_flap (membership, entry, now_us);
}

static bool
is_newer (const membership_report_t *report, const membership_report_t *last)
{
  if (report->incarnation != last->incarnation)
    return report->incarnation > last->incarnation;
  return report->sequence > last->sequence;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (((const membership_host_t *)a)->name, ((const membership_host_t *)b)->name);
}

static int
compare_hashes (const void *a, const void *b, void *context)
{
  const membership_host_t *hosts = context;
  uint64_t x = hosts[*(const uint32_t *)a].hash;
  uint64_t y = hosts[*(const uint32_t *)b].hash;
  return (x > y) - (x < y);
}

static membership_snapshot_t *
make_snapshot (const membership_t *membership)
{
  membership_snapshot_t *snapshot = g_new0 (membership_snapshot_t, 1);
  g_atomic_ref_count_init (&snapshot->refs);
  uint32_t room = g_hash_table_size (membership->entries);
  snapshot->hosts = g_new (membership_host_t, room);
  snapshot->by_hash = g_new (uint32_t, room);
  snapshot->list_revision = membership->list_revision;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, membership->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const member_t *entry = value;
      if (entry->published.state != MEMBERSHIP_GONE)
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

membership_t *
membership_new (void)
{
  membership_t *membership = g_new0 (membership_t, 1);
  membership->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  mark_changed (membership);
  return membership;
}

void
membership_free (membership_t *membership)
{
  if (membership == NULL)
    return;
  g_hash_table_destroy (membership->entries);
  if (membership->snapshot != NULL)
    membership_snapshot_unref (membership->snapshot);
  g_free (membership);
}

void
membership_apply_list (membership_t *membership,
                       uint64_t now_us,
                       const membership_list_entry_t *listed,
                       uint32_t count,
                       uint64_t revision)
{
  membership->list_round++;
  for (uint32_t i = 0; i < count; i++)
    apply_list_entry (membership, now_us, &listed[i]);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, membership->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      member_t *entry = value;
      if (entry->list_round != membership->list_round)
        remove_from_list (membership, entry, now_us);
    }
  remove_expired (membership, now_us);
  membership->list_revision = revision;
  membership->has_list = true;
}

void
membership_apply_list_changes (membership_t *membership,
                               uint64_t now_us,
                               const membership_list_entry_t *listed,
                               uint32_t count,
                               uint64_t revision)
{
  for (uint32_t i = 0; i < count; i++)
    apply_list_entry (membership, now_us, &listed[i]);
  remove_expired (membership, now_us);
  membership->list_revision = revision;
  membership->has_list = true;
}

bool
membership_apply_report (membership_t *membership,
                         uint64_t now_us,
                         const membership_report_t *report)
{
  member_t *entry = find (membership, report->host_hash);
  if (entry == NULL)
    return false;
  if (entry->has_report && !is_newer (report, &entry->report))
    return false;
  bool is_first = !entry->has_report;
  bool restarted = !is_first && report->incarnation != entry->report.incarnation;
  membership_state_t state = report->state;
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
      membership->changed = true;
    }
  if (restarted)
    apply_restart (membership, entry, now_us);
  entry->restart_expected = false;
  update_state (membership, entry);
  return is_news;
}

bool
membership_last_report (const membership_t *membership,
                        uint64_t host_hash,
                        membership_report_t *report)
{
  const member_t *entry = find (membership, host_hash);
  if (entry == NULL || !entry->has_report)
    return false;
  *report = entry->report;
  return true;
}

membership_leave_t
membership_find_leave (const membership_t *membership, uint64_t host_hash, uint64_t incarnation)
{
  const member_t *entry = find (membership, host_hash);
  if (entry == NULL)
    return MEMBERSHIP_LEAVE_NONE;
  if (entry->list_says_leaving && entry->leaving_incarnation == incarnation)
    return MEMBERSHIP_LEAVE_INCARNATION;
  if (entry->has_report && entry->report.incarnation == incarnation &&
      entry->report.state != MEMBERSHIP_LIVE)
    return MEMBERSHIP_LEAVE_INCARNATION;
  bool any_incarnation = entry->list_says_leaving && entry->leaving_incarnation == 0;
  return any_incarnation && entry->list_state == MEMBERSHIP_LEAVING ? MEMBERSHIP_LEAVE_LISTED
                                                                    : MEMBERSHIP_LEAVE_NONE;
}

bool
membership_leave_unconfirmed (const membership_t *membership, uint64_t host_hash)
{
  const member_t *entry = find (membership, host_hash);
  if (entry == NULL || !entry->listed || !entry->list_says_leaving)
    return false;
  return !entry->has_report || entry->report.state == MEMBERSHIP_LIVE;
}

bool
membership_has_changed (const membership_t *membership)
{
  return membership->changed;
}

bool
membership_has_urgent_change (const membership_t *membership)
{
  return membership->urgent;
}

membership_snapshot_t *
membership_take_snapshot (membership_t *membership)
{
  if (membership->changed || membership->snapshot == NULL)
    {
      if (membership->snapshot != NULL)
        membership_snapshot_unref (membership->snapshot);
      membership->snapshot = make_snapshot (membership);
      membership->changed = false;
      membership->urgent = false;
    }
  return membership_snapshot_ref (membership->snapshot);
}
