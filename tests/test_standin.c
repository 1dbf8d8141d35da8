/**
 * DOC: test_standin
 *
 * The parts of the stand-ins that tests and measurements rest on: prefix cache, batch and records
 * of the engine; log and host list of the platform.
 */
#include "../standin/batch.h"
#include "../standin/cache_events.h"
#include "../standin/engine_record.h"
#include "../standin/platform_hosts.h"
#include "../standin/platform_log.h"
#include "../standin/prefix_cache.h"
#include "suite.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (bat_t, bat_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (pfx_t, pfx_free)

static void
test_cache_finds_longest_prefix (void)
{
  g_autoptr (pfx_t) cache = pfx_new (1024, NULL, NULL);
  char text[PFX_BLOCK_BYTES * 3 + 10];
  memset (text, 'a', sizeof text);
  CU_ASSERT_EQUAL (pfx_lookup (cache, text, sizeof text), 0);
  pfx_store (cache, text, sizeof text);
  CU_ASSERT_EQUAL (pfx_cached_tokens (cache), 3 * PFX_BLOCK_TOKENS);
  CU_ASSERT_EQUAL (pfx_lookup (cache, text, sizeof text), 3 * PFX_BLOCK_TOKENS);
  text[PFX_BLOCK_BYTES * 2] = 'b';
  CU_ASSERT_EQUAL (pfx_lookup (cache, text, sizeof text), 2 * PFX_BLOCK_TOKENS);
  text[0] = 'b';
  CU_ASSERT_EQUAL (pfx_lookup (cache, text, sizeof text), 0);
}

static void
count_evicted (uint64_t block, bool stored, void *context)
{
  uint32_t *evicted = context;
  (void)block;
  *evicted += stored ? 0 : 1;
}

static void
test_cache_evicts_oldest_and_tails_first (void)
{
  uint32_t evicted = 0;
  g_autoptr (pfx_t) cache = pfx_new (4 * PFX_BLOCK_TOKENS, count_evicted, &evicted);
  char first[PFX_BLOCK_BYTES * 2];
  char second[PFX_BLOCK_BYTES * 2];
  char third[PFX_BLOCK_BYTES];
  memset (first, '1', sizeof first);
  memset (second, '2', sizeof second);
  memset (third, '3', sizeof third);
  pfx_store (cache, first, sizeof first);
  pfx_store (cache, second, sizeof second);
  pfx_lookup (cache, first, sizeof first);
  pfx_store (cache, third, sizeof third);
  CU_ASSERT_EQUAL (evicted, 1);
  CU_ASSERT_EQUAL (pfx_lookup (cache, first, sizeof first), 2 * PFX_BLOCK_TOKENS);
  CU_ASSERT_EQUAL (pfx_lookup (cache, second, sizeof second), PFX_BLOCK_TOKENS);
}

typedef struct
{
  bat_job_t job;
  char name;
  uint32_t prompt_tokens;
  uint32_t cut_after;
} job_t;

static void
start (bat_job_t *job, void *context)
{
  (void)context;
  job->prefill_tokens = ((job_t *)job)->prompt_tokens;
}

static bool
token (bat_job_t *job, void *context)
{
  job_t *own = (job_t *)job;
  g_string_append_c (context, own->name);
  return own->cut_after == 0 || job->made_tokens < own->cut_after;
}

static void
end (bat_job_t *job, bool whole, void *context)
{
  (void)job;
  g_string_append_c (context, whole ? '.' : '!');
}

static bat_t *
batch_new (uint32_t slots, uint64_t prefill_per_step, GString *trace)
{
  bat_options_t options = { .slots = slots,
                            .prefill_per_step = prefill_per_step,
                            .on_start = start,
                            .on_token = token,
                            .on_end = end,
                            .context = trace };
  return bat_new (&options);
}

static void
test_batch_serves_by_priority_then_arrival (void)
{
  g_autoptr (GString) trace = g_string_new (NULL);
  g_autoptr (bat_t) batch = batch_new (1, 0, trace);
  job_t low = { .name = 'l', .job = { .priority = 2, .wanted_tokens = 1 } };
  job_t early = { .name = 'e', .job = { .priority = 1, .wanted_tokens = 2 } };
  job_t late = { .name = 't', .job = { .priority = 1, .wanted_tokens = 1 } };
  job_t gone = { .name = 'g', .job = { .priority = 0, .wanted_tokens = 1 } };
  bat_add (batch, &low.job);
  bat_add (batch, &early.job);
  bat_add (batch, &late.job);
  bat_add (batch, &gone.job);
  bat_remove (batch, &gone.job);
  CU_ASSERT_EQUAL (bat_waiting (batch), 3);
  for (int i = 0; i < 6; i++)
    bat_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "ee.t.l.");
  CU_ASSERT_EQUAL (bat_running (batch) + bat_waiting (batch), 0);
}

static void
test_batch_shares_prefill_and_slots (void)
{
  g_autoptr (GString) trace = g_string_new (NULL);
  g_autoptr (bat_t) batch = batch_new (2, 10 * 1000, trace);
  job_t one = { .name = '1', .prompt_tokens = 15, .job = { .wanted_tokens = 2 } };
  job_t two = { .name = '2', .prompt_tokens = 15, .cut_after = 1, .job = { .wanted_tokens = 2 } };
  job_t three = { .name = '3', .job = { .wanted_tokens = 1 } };
  bat_add (batch, &one.job);
  bat_add (batch, &two.job);
  bat_add (batch, &three.job);
  bat_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "");
  CU_ASSERT_EQUAL (bat_running (batch), 2);
  bat_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "1");
  bat_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "11.2!");
  bat_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "11.2!3.");
}

static void
test_cache_events_come_late_and_with_gaps (void)
{
  cev_t *events = cev_new (1000, 50, 1);
  for (uint64_t i = 0; i < 100; i++)
    cev_add (events, 0, i, true);
  json_auto_t *early = cev_list (events, 999, 0);
  json_auto_t *due = cev_list (events, 1000, 0);
  size_t seen = json_array_size (json_object_get (due, "events"));
  CU_ASSERT_EQUAL (json_array_size (json_object_get (early, "events")), 0);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (due, "next")), 100);
  CU_ASSERT (seen > 20 && seen < 80);
  cev_free (events);
}

static void
test_record_file_has_each_change_at_once (void)
{
  int ends[2];
  char text[1024] = "";
  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  erc_t *record = erc_new (ends[1]);
  erc_run_t run = { .id = "r1", .body_hash = 0xab };
  uint64_t serial = erc_begin (record, &run);
  CU_ASSERT (read (ends[0], text, sizeof text - 1) > 0);
  CU_ASSERT_STRING_EQUAL (text, "{\"id\":\"r1\",\"account\":null,\"key\":null,"
                                "\"body_hash\":\"00000000000000ab\",\"state\":\"begun\"}\n");
  erc_end (record, serial, ERC_DONE);
  json_t *list = erc_list (record);
  json_t *first = json_array_get (list, 0);
  CU_ASSERT_EQUAL (json_array_size (list), 1);
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (first, "state")), "done");
  json_decref (list);
  erc_free (record);
  close (ends[0]);
  close (ends[1]);
}

static json_int_t
number_of (const json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

static void
test_log_keeps_offsets_over_retention (void)
{
  plg_t *log = plg_new (3, 1024);
  uint64_t offset;
  for (uint64_t i = 0; i < 5000; i++)
    {
      CU_ASSERT_TRUE (plg_append (log, "s", "x", 1, &offset));
      CU_ASSERT_EQUAL (offset, i);
    }
  json_t *read = plg_read (log, "s", 10, 2);
  CU_ASSERT_EQUAL (number_of (read, "first"), 4997);
  CU_ASSERT_EQUAL (number_of (read, "next"), 4999);
  CU_ASSERT_EQUAL (number_of (read, "end"), 5000);
  json_decref (read);
  plg_truncate (log, "s", 9999);
  read = plg_read (log, "s", 0, 2);
  CU_ASSERT_EQUAL (number_of (read, "first"), 5000);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (read, "records")), 0);
  json_decref (read);
  plg_free (log);
}

static json_t *
one_host (const char *name, const char *state)
{
  return json_pack ("[{s:s, s:s, s:s, s:s, s:s, s:s, s:s}]", "name", name, "role", "sidecar",
                    "data_center", "hall", "region", "city", "http", "127.0.0.1:1", "exchange",
                    "127.0.0.1:2", "state", state);
}

static void
check_view (phl_t *list,
            uint64_t now_us,
            const char *reader,
            uint64_t since,
            json_int_t revision,
            bool full)
{
  json_auto_t *view = phl_view (list, now_us, reader, since);
  CU_ASSERT_EQUAL (number_of (view, "revision"), revision);
  CU_ASSERT_EQUAL (json_is_true (json_object_get (view, "full")), full);
}

static void
test_list_lags_and_is_held_for_one_reader (void)
{
  phl_t *list = phl_new (1000);
  json_auto_t *first = one_host ("a", "live");
  json_auto_t *second = one_host ("b", "live");
  CU_ASSERT_TRUE (phl_set (list, 0, first, true));
  check_view (list, 999, NULL, 0, 0, true);
  check_view (list, 1000, NULL, 0, 1, true);
  CU_ASSERT_TRUE (phl_hold (list, 1000, "router-1", true));
  CU_ASSERT_TRUE (phl_set (list, 1000, second, true));
  check_view (list, 2000, "router-1", 1, 1, false);
  check_view (list, 2000, "router-2", 1, 3, false);
  json_t *view = phl_view (list, 2000, NULL, 1);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (view, "hosts")), 2);
  json_decref (view);
  CU_ASSERT_TRUE (phl_hold (list, 2000, "router-1", false));
  check_view (list, 2000, "router-1", 9, 3, true);
  phl_free (list);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "cache finds the longest prefix", test_cache_finds_longest_prefix },
    { "cache evicts the oldest, tails first", test_cache_evicts_oldest_and_tails_first },
    { "batch serves by priority, then arrival", test_batch_serves_by_priority_then_arrival },
    { "batch shares prefill and slots", test_batch_shares_prefill_and_slots },
    { "cache events come late and with gaps", test_cache_events_come_late_and_with_gaps },
    { "record file has each change at once", test_record_file_has_each_change_at_once },
    { "log keeps offsets over retention", test_log_keeps_offsets_over_retention },
    { "list lags and is held for one reader", test_list_lags_and_is_held_for_one_reader },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("standin", tests);
}
