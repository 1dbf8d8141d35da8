/* Unit tests of the orders in which responses of the store and of peers can reach a view: late,
 * interleaved, incomplete, or from a peer with older records. No sockets; the clock is paused. */
#include "base/log.h"
#include "connection/stream_follower.h"
#include "reference_store.h"
#include "suite.h"
#include "version/view_share.h"

#include <stdio.h>
#include <string.h>

#define START_US (UINT64_C (100) * CLOCK_US_PER_S)

/** struct host - a gateway's copy of the engine registry; @platform is first for the cast */
typedef struct
{
  platform_t platform;
  reference_call_t call;
  struct event_base *base;
  clock_source_t clock;
  counter_registry_t *counters;
  keyed_view_t *view;
  stream_follower_t *follower;
  engines_t *engines;
} host_t;

static void
on_host_read (platform_t *platform,
              const char *stream,
              uint64_t from_offset,
              uint32_t max_records,
              uint32_t wait_ms,
              platform_read_done_t done,
              void *context)
{
  host_t *host = (host_t *)platform;

  (void)stream;
  (void)max_records;
  (void)wait_ms;
  host->call = (reference_call_t){ .from = from_offset, .read_done = done, .context = context };
}

static void
on_host_newest (platform_t *platform,
                const char *stream,
                const char *after_key,
                platform_newest_done_t done,
                void *context)
{
  host_t *host = (host_t *)platform;

  (void)stream;
  host->call = (reference_call_t){ .newest_done = done, .context = context };
  g_strlcpy (host->call.after, after_key ? after_key : "", sizeof host->call.after);
}

static void
on_host_record (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  host_t *host = context;

  (void)position;
  reference_apply_entry (host->engines, clock_now_us (&host->clock), key, value, value_bytes);
}

static void
ignore_state (stream_follower_state_t state, void *context)
{
  (void)state;
  (void)context;
}

static host_t *
host_new (void)
{
  host_t *host = g_new0 (host_t, 1);

  host->platform = (platform_t){ .read = on_host_read, .newest = on_host_newest };
  host->base = event_base_new ();
  clock_init_paused (&host->clock, START_US);
  host->counters = counter_registry_new ();
  host->engines = engines_new ();
  host->view = keyed_view_new (on_host_record, host, NULL, NULL);
  host->follower =
      stream_follower_new (&(stream_follower_options_t){ .base = host->base,
                                                         .clock = &host->clock,
                                                         .counters = host->counters,
                                                         .platform = &host->platform,
                                                         .stream = PLATFORM_STREAM_ENGINES,
                                                         .view = host->view,
                                                         .on_event = ignore_state });
  stream_follower_set_on_demand (host->follower, true);
  reference_run_timers (host->base);
  return host;
}

static void
host_free (host_t *host)
{
  stream_follower_free (host->follower);
  keyed_view_free (host->view);
  engines_free (host->engines);
  counter_registry_free (host->counters);
  event_base_free (host->base);
  g_free (host);
}

static uint64_t
host_next (const host_t *host)
{
  return stream_follower_next (host->follower).offset;
}

static bool
host_uses (const host_t *host, const char *id)
{
  return reference_gets_requests (host->engines, clock_now_us (&host->clock), id);
}

/* Starts a read, or the next page of a list. */
static void
host_start_call (host_t *host)
{
  clock_advance (&host->clock, CLOCK_US_PER_S);
  stream_follower_read_soon (host->follower);
  reference_run_timers (host->base);
}

static platform_record_t *
record_array (const char *const *keys, const uint64_t *offsets, uint32_t count)
{
  platform_record_t *records = g_new0 (platform_record_t, count);

  for (uint32_t i = 0; i < count; i++)
    {
      char *entry = reference_format_entry (8000);

      records[i] = (platform_record_t){
        .position.offset = offsets[i], .key = keys[i], .data = entry, .data_bytes = strlen (entry)
      };
    }
  return records;
}

static void
record_array_free (platform_record_t *records, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    g_free ((char *)records[i].data);
  g_free (records);
}

/** struct put - an entry that the registry holds */
typedef struct
{
  const char *key;
  uint64_t offset;
} put_t;

static platform_record_t *
records_of (const put_t *puts, uint32_t count)
{
  const char *keys[8];
  uint64_t offsets[8];

  g_assert (count <= G_N_ELEMENTS (keys));
  for (uint32_t i = 0; i < count; i++)
    {
      keys[i] = puts[i].key;
      offsets[i] = puts[i].offset;
    }
  return record_array (keys, offsets, count);
}

static reference_call_t
take_call (host_t *host)
{
  reference_call_t call = host->call;

  host->call = (reference_call_t){ 0 };
  return call;
}

static void
answer_page (host_t *host, const put_t *puts, uint32_t count, uint64_t end, bool more)
{
  platform_record_t *records = records_of (puts, count);
  reference_call_t call = take_call (host);

  g_assert (call.newest_done);
  call.newest_done (&(platform_newest_t){ .outcome = PLATFORM_OK,
                                          .records = records,
                                          .record_count = count,
                                          .more = more,
                                          .end.offset = end },
                    call.context);
  reference_run_timers (host->base);
  record_array_free (records, count);
}

static void
answer_read (host_t *host, const put_t *puts, uint32_t count, uint64_t end)
{
  platform_record_t *records = records_of (puts, count);
  reference_call_t call = take_call (host);

  g_assert (call.read_done);
  call.read_done (&(platform_read_t){ .outcome = PLATFORM_OK,
                                      .next.offset = end,
                                      .end.offset = end,
                                      .records = records,
                                      .record_count = count },
                  call.context);
  record_array_free (records, count);
}

/* Answers the read that it is too old, which starts a list. */
static void
answer_expired (host_t *host)
{
  reference_call_t call = take_call (host);

  g_assert (call.read_done);
  call.read_done (&(platform_read_t){ .outcome = PLATFORM_EXPIRED }, call.context);
  stream_follower_suspend (host->follower);
  stream_follower_resume (host->follower);
  reference_run_timers (host->base);
}

static host_t *
host_listed (const put_t *puts, uint32_t count, uint64_t end)
{
  host_t *host = host_new ();

  answer_page (host, puts, count, end, false);
  return host;
}

/* The response to a request that lacks all from @from_offset on. */
static char *
format_copy (const host_t *peer, uint64_t from_offset)
{
  const position_t from = { .offset = from_offset };
  view_share_stream_t stream = { .name = PLATFORM_STREAM_ENGINES,
                                 .view = peer->view,
                                 .next.offset = host_next (peer) };

  return view_share_format (&stream, &from, 1, true);
}

static void
apply_copy (host_t *host, const char *body)
{
  view_share_stream_t stream = { .name = PLATFORM_STREAM_ENGINES,
                                 .view = host->view,
                                 .next.offset = host_next (host) };
  view_share_answer_t answer;

  CU_ASSERT_TRUE_FATAL (view_share_parse (&answer, body, strlen (body)));
  stream_follower_advance (host->follower, view_share_apply (&answer, &stream));
  view_share_clear (&answer);
}

/* e1 registers at offset 1 and leaves at 3. */
static const put_t before_leaving[] = { { "e0", 0 }, { "e1", 1 } };
static const put_t after_leaving[] = { { "e0", 0 }, { "e2", 4 } };
#define LEFT_END 5

/* Guards against a leaving engine that returns for good, when the start's list of the store is
 * answered after the full copy of a peer that lists no removed entry. */
static void
test_late_list_restores_no_engine (void)
{
  host_t *peer = host_listed (after_leaving, 2, LEFT_END);
  host_t *host = host_new ();
  g_autofree char *copy = format_copy (peer, host_next (host));

  apply_copy (host, copy);
  CU_ASSERT (!host_uses (host, "e1"));
  answer_page (host, before_leaving, 2, 2, false);
  CU_ASSERT_EQUAL (host_next (host), LEFT_END);
  CU_ASSERT (host_uses (host, "e0"));
  CU_ASSERT (host_uses (host, "e2"));
  CU_ASSERT (!host_uses (host, "e1"));
  CU_ASSERT (position_equal (keyed_view_listed (host->view), (position_t){ .offset = LEFT_END }));
  host_free (host);
  host_free (peer);
}

/* Likewise when a read is answered after the full copy. */
static void
test_late_read_restores_no_engine (void)
{
  host_t *peer = host_listed (after_leaving, 2, LEFT_END);
  host_t *host = host_listed (before_leaving, 1, 1);
  g_autofree char *copy = format_copy (peer, host_next (host));

  host_start_call (host);
  apply_copy (host, copy);
  answer_read (host, &before_leaving[1], 1, 2);
  CU_ASSERT_EQUAL (host_next (host), LEFT_END);
  CU_ASSERT (host_uses (host, "e2"));
  CU_ASSERT (!host_uses (host, "e1"));
  host_free (host);
  host_free (peer);
}

/* Likewise when a peer's new records arrive after the own list. */
static void
test_late_new_records_restore_no_engine (void)
{
  host_t *peer = host_listed (before_leaving, 1, 1);
  host_t *host = host_listed (before_leaving, 1, 1);
  g_autofree char *copy = NULL;

  host_start_call (peer);
  answer_read (peer, &before_leaving[1], 1, 2);
  copy = format_copy (peer, host_next (host));
  host_start_call (host);
  answer_expired (host);
  answer_page (host, after_leaving, 2, LEFT_END, false);
  apply_copy (host, copy);
  CU_ASSERT_EQUAL (host_next (host), LEFT_END);
  CU_ASSERT (!host_uses (host, "e1"));
  host_free (host);
  host_free (peer);
}

/* Likewise when a peer's full copy, older than the own list, arrives after it. */
static void
test_late_full_copy_restores_no_engine (void)
{
  host_t *peer = host_listed (before_leaving, 2, 2);
  host_t *host = host_listed (before_leaving, 1, 1);
  g_autofree char *copy = format_copy (peer, host_next (host));

  host_start_call (host);
  answer_expired (host);
  answer_page (host, after_leaving, 2, LEFT_END, false);
  apply_copy (host, copy);
  CU_ASSERT_EQUAL (host_next (host), LEFT_END);
  CU_ASSERT (host_uses (host, "e2"));
  CU_ASSERT (!host_uses (host, "e1"));
  host_free (host);
  host_free (peer);
}

/* Guards against requests to a leaving engine at another gateway. The late copy holds no entry that
 * could return here, but it must not make this gateway answer with new records alone where it has
 * no record of the removal. */
static void
test_late_full_copy_hides_no_removal_from_others (void)
{
  host_t *peer = host_listed (before_leaving, 1, 1);
  host_t *host = host_listed (NULL, 0, 0);
  host_t *other = host_listed (before_leaving, 2, 2);
  g_autofree char *copy = format_copy (peer, host_next (host));
  g_autofree char *next_copy = NULL;

  host_start_call (host);
  answer_expired (host);
  answer_page (host, after_leaving, 2, LEFT_END, false);
  apply_copy (host, copy);
  CU_ASSERT (!host_uses (host, "e1"));
  next_copy = format_copy (host, host_next (other));
  apply_copy (other, next_copy);
  CU_ASSERT_EQUAL (host_next (other), LEFT_END);
  CU_ASSERT (host_uses (other, "e2"));
  CU_ASSERT (!host_uses (other, "e1"));
  host_free (other);
  host_free (host);
  host_free (peer);
}

/* Reads what is left before LEFT_END, if anything: the entries, and removals of @gone between them.
 */
static void
catch_up (host_t *host, const put_t *puts, uint32_t count, const char *gone)
{
  g_autoptr (GPtrArray) store = g_ptr_array_new_with_free_func (reference_item_free);
  g_autofree char *entry = reference_format_entry (8000);
  reference_call_t call;

  for (uint64_t offset = 0; offset < LEFT_END; offset++)
    {
      const char *key = NULL;

      for (uint32_t i = 0; i < count; i++)
        key = puts[i].offset == offset ? puts[i].key : key;
      reference_put (store, key ? key : gone, key ? entry : NULL);
    }
  if (host_next (host) == LEFT_END)
    return;
  host_start_call (host);
  call = take_call (host);
  reference_answer (store, &call, LEFT_END, UINT32_MAX);
}

/* Guards against requests to a leaving engine when a peer's full copy from before its removal
 * arrives between two pages of the list that lacks it. */
static void
test_copy_between_pages_keeps_no_removed_engine (void)
{
  static const put_t first_page = { "e0", 0 };
  static const put_t last_page = { "e2", 4 };
  static const put_t all[] = { { "e0", 0 }, { "e1", 1 }, { "e2", 4 } };
  host_t *peer = host_listed (before_leaving, 2, 2);
  host_t *host = host_listed (before_leaving, 1, 1);
  g_autofree char *copy = format_copy (peer, host_next (host));

  host_start_call (host);
  answer_expired (host);
  answer_page (host, &first_page, 1, LEFT_END, true);
  apply_copy (host, copy);
  answer_page (host, &last_page, 1, LEFT_END, false);
  catch_up (host, all, G_N_ELEMENTS (all), "e1");
  CU_ASSERT_EQUAL (host_next (host), LEFT_END);
  CU_ASSERT (host_uses (host, "e2"));
  CU_ASSERT (!host_uses (host, "e1"));
  host_free (host);
  host_free (peer);
}

/* Guards against the loss of a live engine from the first page, when a peer's full copy from before
 * its registration arrives between two pages. */
static void
test_copy_between_pages_loses_no_engine (void)
{
  static const put_t first_page = { "e0", 4 };
  static const put_t last_page = { "e2", 1 };
  static const put_t all[] = { { "e2", 1 }, { "e0", 4 } };
  host_t *peer = host_listed (&last_page, 1, 2);
  host_t *host = host_listed (NULL, 0, 1);
  g_autofree char *copy = format_copy (peer, host_next (host));

  host_start_call (host);
  answer_expired (host);
  answer_page (host, &first_page, 1, LEFT_END, true);
  apply_copy (host, copy);
  CU_ASSERT (host_uses (host, "e0"));
  answer_page (host, &last_page, 1, LEFT_END, false);
  catch_up (host, all, G_N_ELEMENTS (all), "e3");
  CU_ASSERT_EQUAL (host_next (host), LEFT_END);
  CU_ASSERT (host_uses (host, "e0"));
  CU_ASSERT (host_uses (host, "e2"));
  host_free (host);
  host_free (peer);
}

/* Guards against the use of a copy that is rejected because of a record in its middle. */
static void
test_rejected_copy_changes_nothing (void)
{
  host_t *host = host_listed (after_leaving, 2, LEFT_END);
  g_autofree char *entry = reference_format_entry (8000);
  g_autofree char *escaped = g_strescape (entry, NULL);
  g_autofree char *copy =
      g_strdup_printf ("{\"settled\":true,\"engines\":{\"whole\":true,\"next\":9,\"records\":"
                       "[[\"e1\",1,\"%s\"],[\"e3\",-1,null]]}}",
                       escaped);

  apply_copy (host, copy);
  CU_ASSERT_EQUAL (host_next (host), LEFT_END);
  CU_ASSERT (!host_uses (host, "e1"));
  CU_ASSERT (host_uses (host, "e0"));
  host_free (host);
}

/* New records bring their removals along, so a read that is answered after them changes nothing. */
static void
test_late_read_after_new_records (void)
{
  host_t *peer = host_listed (before_leaving, 1, 1);
  host_t *host = host_listed (before_leaving, 1, 1);
  g_autofree char *copy = NULL;

  keyed_view_apply (peer->view, (position_t){ .offset = 3 }, "e1", NULL, 0);
  stream_follower_advance (peer->follower, (position_t){ .offset = LEFT_END });
  copy = format_copy (peer, host_next (host));
  host_start_call (host);
  apply_copy (host, copy);
  answer_read (host, &before_leaving[1], 1, 2);
  CU_ASSERT_EQUAL (host_next (host), LEFT_END);
  CU_ASSERT (!host_uses (host, "e1"));
  host_free (host);
  host_free (peer);
}

/* A copy that arrives twice changes nothing the second time. */
static void
test_copy_that_arrives_twice (void)
{
  host_t *peer = host_listed (after_leaving, 2, LEFT_END);
  host_t *host = host_listed (before_leaving, 2, 2);
  g_autofree char *copy = format_copy (peer, host_next (host));

  apply_copy (host, copy);
  apply_copy (host, copy);
  CU_ASSERT_EQUAL (host_next (host), LEFT_END);
  CU_ASSERT (!host_uses (host, "e1"));
  CU_ASSERT (host_uses (host, "e2"));
  host_free (host);
  host_free (peer);
}

#define RANDOM_HOSTS 4
#define RANDOM_KEYS 6
#define RANDOM_SEEDS 200u
#define RANDOM_STEPS 600
#define RANDOM_PAGE 2

/**
 * struct orders - what may happen in a random test; reads, and new records of peers, always may
 * @lists: reads expire, and hosts restart, so that they list again
 * @pages: a list has several pages
 * @overlap: a call to the store and a request to a peer may be pending at the same time
 */
typedef struct
{
  bool lists;
  bool pages;
  bool overlap;
} orders_t;

/**
 * struct member - a host of a random test
 * @served: the store has formed its response to the pending call, with all before @end
 * @peer: index of the host that was asked for its records from @from on; -1 for none
 * @body: its response, NULL before it is formed
 */
typedef struct
{
  host_t *host;
  bool served;
  uint64_t end;
  int32_t peer;
  uint64_t from;
  char *body;
} member_t;

typedef struct
{
  orders_t orders;
  GRand *rand;
  GPtrArray *registry;
  member_t members[RANDOM_HOSTS];
} random_t;

static bool
has_call (const host_t *host)
{
  return host->call.read_done || host->call.newest_done;
}

static void
member_clear (member_t *member)
{
  g_clear_pointer (&member->body, g_free);
  host_free (member->host);
}

static void
append_random (random_t *test)
{
  char key[8];
  g_autofree char *entry = reference_format_entry (8000);
  int64_t newest;

  g_snprintf (key, sizeof key, "k%d", g_rand_int_range (test->rand, 0, RANDOM_KEYS));
  newest = reference_newest (test->registry, key, test->registry->len);
  if (newest >= 0 && ((const reference_item_t *)g_ptr_array_index (test->registry, newest))->value)
    reference_put (test->registry, key, NULL);
  else
    reference_put (test->registry, key, entry);
}

static void
deliver_call (random_t *test, member_t *member)
{
  host_t *host = member->host;

  member->served = false;
  if (test->orders.lists && host->call.read_done && g_rand_int_range (test->rand, 0, 4) == 0)
    {
      answer_expired (host);
      return;
    }
  {
    reference_call_t call = take_call (host);

    reference_answer (test->registry, &call, member->end,
                      test->orders.pages && call.newest_done ? RANDOM_PAGE : UINT32_MAX);
  }
  if (g_rand_boolean (test->rand))
    reference_run_timers (host->base);
}

static void
step_call (random_t *test, member_t *member)
{
  bool fetching = member->peer >= 0;

  if (!has_call (member->host))
    {
      if (test->orders.overlap || !fetching)
        host_start_call (member->host);
    }
  else if (!member->served)
    {
      member->served = true;
      member->end = test->registry->len;
    }
  else
    deliver_call (test, member);
}

static void
step_fetch (random_t *test, member_t *member)
{
  const host_t *peer;

  if (member->peer < 0)
    {
      /* A host in the middle of a list counts as calling. */
      if (!test->orders.overlap && (has_call (member->host) || host_next (member->host) == 0))
        return;
      member->peer = g_rand_int_range (test->rand, 0, RANDOM_HOSTS);
      member->from = host_next (member->host);
      if (host_next (test->members[member->peer].host) <= member->from)
        member->peer = -1;
      return;
    }
  peer = test->members[member->peer].host;
  if (!member->body)
    {
      member->body = format_copy (peer, member->from);
      return;
    }
  apply_copy (member->host, member->body);
  g_clear_pointer (&member->body, g_free);
  member->peer = -1;
}

static void
restart (member_t *member)
{
  member_clear (member);
  *member = (member_t){ .host = host_new (), .peer = -1 };
}

/* Return: NULL, or what is wrong with @key at @host */
static const char *
find_fault (const GPtrArray *registry, const host_t *host, const char *key)
{
  int64_t newest = reference_newest (registry, key, host_next (host));
  int64_t last = reference_newest (registry, key, registry->len);
  const reference_item_t *item = newest < 0 ? NULL : g_ptr_array_index (registry, newest);
  size_t bytes;
  position_t position;
  bool has = keyed_view_get (host->view, key, &bytes, &position) != NULL;

  if (has && (int64_t)position.offset < newest)
    return item->value ? "outdated" : "restored";
  if (!has && item && item->value && last == newest)
    return "lost";
  if (has != host_uses (host, key))
    return "not the engines of the view";
  return NULL;
}

/* Return: whether no host had a fault after any step; the fault is printed with @print */
static bool
play (uint32_t seed, const orders_t *orders, bool print)
{
  random_t test = { .orders = *orders,
                    .rand = g_rand_new_with_seed (seed),
                    .registry = g_ptr_array_new_with_free_func (reference_item_free) };
  const char *fault = NULL;

  for (uint32_t i = 0; i < RANDOM_HOSTS; i++)
    {
      test.members[i] = (member_t){ .host = host_new (), .peer = -1 };
      if (!orders->lists)
        answer_page (test.members[i].host, NULL, 0, 0, false);
    }
  for (uint32_t step = 0; step < RANDOM_STEPS && !fault; step++)
    {
      uint32_t index = (uint32_t)g_rand_int_range (test.rand, 0, RANDOM_HOSTS);
      member_t *member = &test.members[index];
      int32_t kind = g_rand_int_range (test.rand, 0, 100);

      if (kind < 10)
        append_random (&test);
      else if (kind < 12 && orders->lists)
        restart (member);
      else if (kind < 56)
        step_call (&test, member);
      else
        step_fetch (&test, member);
      for (uint32_t i = 0; i < RANDOM_KEYS && !fault; i++)
        {
          char key[8];

          g_snprintf (key, sizeof key, "k%u", i);
          fault = find_fault (test.registry, member->host, key);
          if (fault && print)
            printf ("    seed %u, step %u: %s at host %u, complete before %" G_GUINT64_FORMAT
                    ": %s\n",
                    seed, step, key, index, host_next (member->host), fault);
        }
    }
  for (uint32_t i = 0; i < RANDOM_HOSTS; i++)
    member_clear (&test.members[i]);
  g_ptr_array_free (test.registry, TRUE);
  g_rand_free (test.rand);
  return fault == NULL;
}

static void
play_all (const orders_t *orders)
{
  uint32_t faulty = 0;

  for (uint32_t seed = 1; seed <= RANDOM_SEEDS; seed++)
    faulty += play (seed, orders, faulty == 0) ? 0 : 1;
  if (faulty > 0)
    printf ("    %u of %u seeds\n", faulty, RANDOM_SEEDS);
  CU_ASSERT_EQUAL (faulty, 0);
}

/* Guards against restored, outdated and lost entries, for whichever order: compares each host with
 * the registry's records before the offset up to which the host claims to be complete. */
static void
test_random_orders (void)
{
  play_all (&(orders_t){ .lists = true, .pages = true, .overlap = true });
}

/* Likewise with lists of one page. */
static void
test_random_orders_of_single_pages (void)
{
  play_all (&(orders_t){ .lists = true, .overlap = true });
}

/* Likewise without a list after the first one. */
static void
test_random_orders_without_lists (void)
{
  play_all (&(orders_t){ .overlap = true });
}

/* Likewise when a host has only one call or request pending. */
static void
test_random_orders_one_by_one (void)
{
  play_all (&(orders_t){ .lists = true, .pages = true });
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_late_list_restores_no_engine),
                                       SUITE_TEST (test_late_read_restores_no_engine),
                                       SUITE_TEST (test_late_new_records_restore_no_engine),
                                       SUITE_TEST (test_late_full_copy_restores_no_engine),
                                       SUITE_TEST (
                                           test_late_full_copy_hides_no_removal_from_others),
                                       SUITE_TEST (test_copy_between_pages_keeps_no_removed_engine),
                                       SUITE_TEST (test_copy_between_pages_loses_no_engine),
                                       SUITE_TEST (test_rejected_copy_changes_nothing),
                                       SUITE_TEST (test_late_read_after_new_records),
                                       SUITE_TEST (test_copy_that_arrives_twice),
                                       SUITE_TEST (test_random_orders),
                                       SUITE_TEST (test_random_orders_of_single_pages),
                                       SUITE_TEST (test_random_orders_without_lists),
                                       SUITE_TEST (test_random_orders_one_by_one),
                                       CU_TEST_INFO_NULL };

  log_init ("test-view-orders", "test", LOG_LEVEL_ERROR);
  return suite_run ("view_orders", tests);
}
