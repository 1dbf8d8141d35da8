/**
 * DOC: session_odd_entries
 *
 * Two gateways and three upstreams, real processes, beside another writer that leaves entries with
 * odd values in the store, under keys of its own and under those of the upstreams.
 */
#include "driver.h"
#include "odd_values.h"
#include "platform/records.h"
#include "process/gateway_store.h"

#include <CUnit/Basic.h>
#include <glib/gstdio.h>
#include <string.h>

#define GATEWAYS 2
#define UPSTREAMS 3
#define BATCH_REQUESTS 24
#define KEY_BYTES_MAX 255

/**
 * struct fleet - the processes, and what another writer leaves
 * @keys: of the upstreams' entries
 * @sizes: of the upstreams' records before the requests that are counted
 * @odd: entries of the upstreams' service with an odd value each
 * @foreign: likewise, of a service that no route has
 * @last, @others: indices of the entries, see divide_values()
 */
typedef struct
{
  driver_t *driver;
  driver_process_t *gateways[GATEWAYS];
  driver_process_t *upstreams[UPSTREAMS];
  char *keys[UPSTREAMS];
  goffset sizes[UPSTREAMS];
  GPtrArray *odd;
  GPtrArray *foreign;
  GArray *last;
  GArray *others;
  uint32_t rounds;
  uint32_t round;
  uint32_t next_id;
} fleet_t;

#define ROUTE(name)                                                                                \
  "{\"name\":\"" name "\",\"host\":\"fleet\",\"path_prefix\":\"/" name                             \
  "/\",\"kind\":\"idempotent\",\"timeout_ms\":5000,\"attempts\":2,\"service\":\"ledger\"}"
#define CONFIG(version, routes)                                                                    \
  "{\"version\":" version ",\"routes\":[" ROUTE ("look") routes                                    \
      "],\"tenants\":[{\"name\":\"alpha\",\"api_keys\":[\"key-1\"]}]}"

static driver_call_t *
send_request (fleet_t *fleet, uint32_t gateway, const char *path)
{
  g_autofree char *headers = g_strdup_printf ("X-Request-Id: q%u\r\nX-Key: key-1\r\n"
                                              "X-Deadline-Ms: 4000\r\n",
                                              ++fleet->next_id);

  return driver_send_http (fleet->driver, fleet->gateways[gateway]->ip, "GET", path, headers, "");
}

/* Return: the number of requests that were answered with 200 */
static uint32_t
run_batch (fleet_t *fleet, const char *path)
{
  driver_call_t *calls[BATCH_REQUESTS];
  uint32_t answered = 0;

  for (uint32_t i = 0; i < BATCH_REQUESTS; i++)
    calls[i] = send_request (fleet, i % GATEWAYS, path);
  for (uint32_t i = 0; i < BATCH_REQUESTS; i++)
    {
      driver_call_wait (calls[i]);
      answered += calls[i]->status == 200 && calls[i]->outcome == DRIVER_OUTCOME_COMPLETE ? 1 : 0;
    }
  return answered;
}

static goffset
record_size (const driver_process_t *upstream)
{
  GStatBuf state;

  return g_stat (upstream->record_path, &state) == 0 ? state.st_size : 0;
}

static bool
all_are_used (void *context)
{
  fleet_t *fleet = context;

  for (uint32_t i = 0; i < UPSTREAMS; i++)
    fleet->sizes[i] = record_size (fleet->upstreams[i]);
  if (run_batch (fleet, "/look/") < BATCH_REQUESTS)
    return false;
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    if (record_size (fleet->upstreams[i]) == fleet->sizes[i])
      return false;
  return true;
}

static bool
has_keys (void *context)
{
  fleet_t *fleet = context;
  json_t *page = driver_admin_call (fleet->driver->platform, "GET",
                                    "/log-newest?topic=keyed.servers&part=0", NULL);
  const json_t *items = json_object_get (page, "items");
  bool complete = json_array_size (items) == UPSTREAMS;

  for (uint32_t i = 0; complete && i < UPSTREAMS; i++)
    fleet->keys[i] =
        g_strdup (json_string_value (json_object_get (json_array_get (items, i), "key")));
  json_decref (page);
  return complete;
}

static void
start_fleet (fleet_t *fleet)
{
  driver_t *driver = fleet->driver;

  driver_start_platform (driver);
  driver_write_record (driver, "config", CONFIG ("1", ""));
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("upstream%u", i);

      fleet->upstreams[i] =
          driver_start_upstream (driver, &(driver_upstream_t){ .name = name, .work_ms = 3 });
    }
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "the entries of all upstreams", has_keys, fleet);
  for (uint32_t i = 0; i < GATEWAYS; i++)
    {
      g_autofree char *name = g_strdup_printf ("gateway%u", i);

      fleet->gateways[i] = driver_start_gateway (driver, name, 100, 7000);
    }
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "requests at all upstreams", all_are_used,
                     fleet);
}

static void
add_record (GString *body, const char *key, const char *value, size_t value_bytes)
{
  size_t key_bytes = MIN (strlen (key), KEY_BYTES_MAX);
  size_t length = 1 + key_bytes + value_bytes;

  for (int shift = 24; shift >= 0; shift -= 8)
    g_string_append_c (body, (char)(length >> shift));
  g_string_append_c (body, (char)key_bytes);
  g_string_append_len (body, key, (gssize)key_bytes);
  g_string_append_len (body, value, (gssize)value_bytes);
}

static void
append (const fleet_t *fleet, const GString *body)
{
  driver_call_t *call =
      driver_send_http_bytes (fleet->driver, fleet->driver->platform->ip, "POST",
                              "/log-append?topic=keyed.servers&part=0", "", body->str, body->len);

  driver_call_wait (call);
  CU_ASSERT_EQUAL (call->status, 200);
}

static GPtrArray *
make_odd (const char *service)
{
  const odd_field_t fields[] = { { "service", service },   { "addr", "\"127.0.0.1:9\"" },
                                 { "zone", "\"hall-1\"" }, { "version", "\"v1\"" },
                                 { "slots", "8" },         { "state", "\"ready\"" },
                                 { "cold_left_ms", "0" },  { "seq", "5" },
                                 { "born", "7" },          { "models", "[]" } };

  return odd_values_make (fields, G_N_ELEMENTS (fields));
}

/* Return: whether gateways use the entry, and no entry in @used, which it is added to, says the
 * same */
static bool
is_used_anew (GHashTable *used, const GString *text)
{
  engine_entry_t entry;

  return text->len <= GATEWAY_STORE_ENTRY_MAX_BYTES &&
         records_read_engine (&entry, "e", text->str, text->len, NULL) &&
         g_hash_table_add (
             used, g_strdup_printf ("%s %s %u %s %u %u %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT,
                                    entry.service, entry.address.ip, entry.address.port,
                                    entry.data_center, entry.slots, entry.cold_ms, entry.born_ms,
                                    entry.renewal));
}

/* Divides the odd values into those that a gateway could use, each of which is once the last one
 * before an upstream's own entry, and the others. */
static void
divide_values (fleet_t *fleet)
{
  g_autoptr (GHashTable) used = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  fleet->odd = make_odd ("\"ledger\"");
  fleet->foreign = make_odd ("\"others\"");
  g_assert (fleet->foreign->len == fleet->odd->len);
  fleet->last = g_array_new (FALSE, FALSE, sizeof (guint));
  fleet->others = g_array_new (FALSE, FALSE, sizeof (guint));
  for (guint i = 0; i < fleet->odd->len; i++)
    if (is_used_anew (used, g_ptr_array_index (fleet->odd, i)))
      g_array_append_val (fleet->last, i);
    else
      g_array_append_val (fleet->others, i);
  fleet->rounds = (fleet->last->len + UPSTREAMS - 1) / UPSTREAMS;
}

static void
add_odd (const fleet_t *fleet, GString *body, guint index, uint32_t upstream)
{
  const GString *foreign = g_ptr_array_index (fleet->foreign, index);
  const GString *value = g_ptr_array_index (fleet->odd, index);
  g_autofree char *own = g_strdup_printf ("odd-%u", index);

  add_record (body, own, foreign->str, foreign->len);
  add_record (body, fleet->keys[upstream % UPSTREAMS], value->str, value->len);
}

/* Writes the values of this round, each under a key of its own and under that of an upstream, and
 * then an entry that shows that they were read. */
static void
write_odd (const fleet_t *fleet)
{
  static const char value[] =
      "{\"service\":\"mark\",\"addr\":\"127.0.0.1:9\",\"zone\":\"hall-1\","
      "\"version\":\"\",\"cold_left_ms\":0,\"seq\":1,\"slots\":1,\"state\":\"ready\"}";
  g_autofree char *mark = g_strdup_printf ("mark-%u", fleet->round);
  GString *body = g_string_new (NULL);

  for (guint i = fleet->round; i < fleet->others->len; i += fleet->rounds)
    add_odd (fleet, body, g_array_index (fleet->others, guint, i), i / fleet->rounds);
  for (guint i = fleet->round * UPSTREAMS; i < fleet->last->len; i++)
    if (i < (fleet->round + 1) * UPSTREAMS)
      add_odd (fleet, body, g_array_index (fleet->last, guint, i), i);
  add_record (body, mark, value, strlen (value));
  append (fleet, body);
  g_string_free (body, TRUE);
}

static bool
all_have_read_the_mark (void *context)
{
  const fleet_t *fleet = context;
  g_autofree char *text = g_strdup_printf ("engine=mark-%u state=", fleet->round);

  for (uint32_t i = 0; i < GATEWAYS; i++)
    if (driver_process_count_log_lines (fleet->gateways[i], ": engine ", text) == 0)
      return false;
  return true;
}

static uint32_t
count_running (const fleet_t *fleet)
{
  uint32_t running = driver_process_reap (fleet->driver->platform) ? 0 : 1;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    running += driver_process_reap (fleet->gateways[i]) ? 0 : 1;
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    running += driver_process_reap (fleet->upstreams[i]) ? 0 : 1;
  return running;
}

static bool
both_have_the_new_route (void *context)
{
  return run_batch (context, "/new/") == BATCH_REQUESTS;
}

/* Guards against odd entries that end a process, stop a gateway's following, or keep a sound engine
 * out after its own next entry. */
static void
test_engines_are_used_after_odd_entries (void)
{
  fleet_t fleet = { .driver = driver_new ("odd_entries") };
  driver_t *driver = fleet.driver;

  start_fleet (&fleet);
  divide_values (&fleet);
  for (; fleet.round < fleet.rounds && !driver->failed; fleet.round++)
    {
      write_odd (&fleet);
      driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "gateways that read what follows",
                         all_have_read_the_mark, &fleet);
      driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "requests at all upstreams again",
                         all_are_used, &fleet);
    }
  driver_transcript_add (driver,
                         "odd entries: all upstreams are used, %u of %u "
                         "processes run",
                         count_running (&fleet), 1 + GATEWAYS + UPSTREAMS);
  driver_write_record (driver, "config", CONFIG ("2", "," ROUTE ("new")));
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "the next configuration",
                     both_have_the_new_route, &fleet);
  driver_transcript_add (driver, "the next configuration is in force");
  driver_finish (driver);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    g_free (fleet.keys[i]);
  g_ptr_array_free (fleet.odd, TRUE);
  g_ptr_array_free (fleet.foreign, TRUE);
  g_array_free (fleet.last, TRUE);
  g_array_free (fleet.others, TRUE);
}

int
main (void)
{
  static const driver_test_t tests[] = { { "engines are used after odd entries",
                                           test_engines_are_used_after_odd_entries } };

  return driver_main ("odd_entries", tests, G_N_ELEMENTS (tests));
}
