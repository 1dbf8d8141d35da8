#include "silence_rig.h"

#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define EXCHANGE_INTERVAL_MS 500
#define CONTROL_BUDGET_BYTES 4000
#define UPSTREAM_SLOTS 128
#define UPSTREAM_BACKLOG 64
#define ROUTE_MS 5000
#define GAP_MS 300 /* longest regular pause between events */
#define SHORT_GAP_MS 150
#define SHORT_AIM_MS 1500
#define RECORD_FIELDS 7

static const struct
{
  const char *service;
  const char *version; /* of upstreams of streams */
} upstreams[SILENCE_RIG_UPSTREAMS] = { { "pool", "v1" },   { "pool", "v1" },   { "pool", "v2" },
                                       { "ledger", NULL }, { "ledger", NULL }, { "pool2", "v1" },
                                       { "ledger2", NULL } };

/* Return: The targets of a route as JSON members. */
static char *
make_targets (const char *service, silence_rig_part_t part)
{
  if (part == SILENCE_RIG_WEIGHTS)
    return g_strdup_printf ("\"backends\":[{\"service\":\"%s\",\"weight\":3},"
                            "{\"service\":\"%s2\",\"weight\":1}]",
                            service, service);
  return g_strdup_printf ("\"service\":\"%s%s\"", service, part == SILENCE_RIG_SERVICE ? "2" : "");
}

/* Return: What only routes of streams have, as JSON members. */
static char *
make_stream_members (silence_rig_part_t part)
{
  return g_strdup_printf (",\"resumable\":true,\"gap_target_ms\":%u",
                          part == SILENCE_RIG_GAP ? SHORT_GAP_MS : GAP_MS);
}

static char *
make_route (const char *name, const char *kind, const char *service, silence_rig_part_t part)
{
  g_autofree char *targets = make_targets (service, part);
  g_autofree char *more = strcmp (kind, "stream") == 0 ? make_stream_members (part) : g_strdup ("");
  uint32_t timeout_ms = part == SILENCE_RIG_TIMEOUT ? SILENCE_RIG_ROUTE_MS : ROUTE_MS;
  uint32_t attempts = part == SILENCE_RIG_FEWER_ATTEMPTS  ? 1
                      : part == SILENCE_RIG_MORE_ATTEMPTS ? 3
                                                          : 2;

  return g_strdup_printf ("{\"name\":\"%s\",\"host\":\"fleet\",\"path_prefix\":\"/%s/\","
                          "\"kind\":\"%s\",\"timeout_ms\":%u,\"attempts\":%u,\"aim_ms\":%u,%s%s}",
                          name, name, kind, timeout_ms, attempts,
                          part == SILENCE_RIG_AIM ? SHORT_AIM_MS : timeout_ms, targets, more);
}

void
silence_rig_publish (silence_rig_t *rig, silence_rig_part_t part, uint32_t idle_ms)
{
  g_autofree char *look = make_route ("look", "idempotent", "ledger", part);
  g_autofree char *book = make_route ("book", "non_idempotent", "ledger", part);
  g_autofree char *talk = make_route ("talk", "stream", "pool", part);
  bool few_bytes = part == SILENCE_RIG_SIZES;
  g_autofree char *config = g_strdup_printf (
      "{\"version\":%u,\"routes\":[%s,%s,%s],"
      "\"tenants\":[{\"name\":\"alpha\",\"api_keys\":[\"key-1\"%s]}%s],"
      "\"limits\":{\"max_body_bytes\":%u,\"max_header_bytes\":%u,\"header_timeout_ms\":%u,"
      "\"idle_timeout_ms\":%u}}",
      ++rig->version, look, book, talk, part == SILENCE_RIG_TENANTS ? ",\"key-2\"" : "",
      part == SILENCE_RIG_TENANTS ? ",{\"name\":\"beta\",\"api_keys\":[\"key-3\"]}" : "",
      few_bytes ? 4096 : 65536, few_bytes ? 4096 : 16384,
      part == SILENCE_RIG_HEADER_TIMEOUT ? 500 : 2000, idle_ms);

  driver_write_record (rig->driver, "config", config);
}

static void
start_upstream (silence_rig_t *rig, uint32_t index)
{
  g_autofree char *name = g_strdup_printf ("upstream%u", index);
  bool streams = upstreams[index].version != NULL;

  rig->upstreams[index] = driver_start_upstream (
      rig->driver,
      &(driver_upstream_t){ .name = name,
                            .service = upstreams[index].service,
                            .streams = streams,
                            .work_ms = streams ? SILENCE_RIG_EVENT_MS : SILENCE_RIG_LOOKUP_MS,
                            .events = SILENCE_RIG_EVENTS,
                            .slots = UPSTREAM_SLOTS,
                            .backlog = UPSTREAM_BACKLOG,
                            .software_version = upstreams[index].version });
}

static bool
all_registered (void *context)
{
  const silence_rig_t *rig = context;
  json_t *newest =
      driver_admin_call (rig->driver->platform, "GET", "/log-newest?topic=keyed.servers", NULL);
  size_t count = json_array_size (json_object_get (newest, "items"));

  json_decref (newest);
  return count >= SILENCE_RIG_UPSTREAMS;
}

/* Return: Whether the gateway has read the entries of both gateways. */
static bool
knows_all (const silence_rig_t *rig, const driver_process_t *gateway)
{
  g_autofree char *control = g_strdup_printf ("%s:%d", gateway->ip, DRIVER_PORT + 2);
  g_autofree char *line = g_strdup_printf ("\nmedlarplank_gateways %d\n", SILENCE_RIG_GATEWAYS);
  driver_call_t *call = driver_send_http (rig->driver, control, "GET", "/metrics", NULL, NULL);

  driver_call_wait (call);
  return strstr (call->body->str, line) != NULL;
}

static bool
is_acquainted (void *context)
{
  const silence_rig_t *rig = context;

  for (uint32_t i = 0; i < SILENCE_RIG_GATEWAYS; i++)
    if (driver_process_count_log_lines (rig->gateways[i], ": engine ", "state=ready") <
            SILENCE_RIG_UPSTREAMS ||
        driver_process_count_log_lines (rig->gateways[i], ": ready ", NULL) == 0 ||
        driver_process_count_log_lines (rig->gateways[i], " stream_shares ", NULL) == 0 ||
        !knows_all (rig, rig->gateways[i]))
      return false;
  return true;
}

void
silence_rig_start (silence_rig_t *rig, driver_t *driver, uint32_t entry_ttl_ms)
{
  g_autofree char *flags = g_strdup_printf ("--entry-ttl-ms=%u", entry_ttl_ms);

  rig->driver = driver;
  driver->fleet.platform_flags = flags;
  driver_start_platform (driver);
  driver->fleet.platform_flags = NULL;
  silence_rig_publish (rig, SILENCE_RIG_NOTHING, SILENCE_RIG_IDLE_MS);
  for (uint32_t i = 0; i < SILENCE_RIG_UPSTREAMS; i++)
    start_upstream (rig, i);
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "the upstreams' entries", all_registered, rig);
  for (uint32_t i = 0; i < SILENCE_RIG_GATEWAYS; i++)
    {
      g_autofree char *name = g_strdup_printf ("gateway%u", i);

      rig->gateways[i] =
          driver_start_gateway (driver, name, EXCHANGE_INTERVAL_MS, CONTROL_BUDGET_BYTES);
    }
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS,
                     "gateways that know each other and all upstreams", is_acquainted, rig);
}

void
silence_rig_signal (silence_rig_t *rig, uint32_t set, int number)
{
  for (uint32_t i = 0; i < SILENCE_RIG_UPSTREAMS; i++)
    if (set >> i & 1)
      driver_process_signal (rig->upstreams[i], number);
}

static void
close_fd (gpointer fd)
{
  close (*(int *)fd);
}

static GArray *
fill_backlog (const driver_process_t *upstream)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (DRIVER_PORT) };
  GArray *fds = g_array_new (FALSE, FALSE, sizeof (int));

  inet_pton (AF_INET, upstream->ip, &to.sin_addr);
  g_array_set_clear_func (fds, close_fd);
  for (uint32_t i = 0; i < UPSTREAM_BACKLOG + 2; i++)
    {
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

      g_assert (fd >= 0);
      g_array_append_val (fds, fd);
      if (connect (fd, (struct sockaddr *)&to, sizeof to) < 0)
        continue; /* it is not established at once */
    }
  return fds;
}

void
silence_rig_darken (silence_rig_t *rig, uint32_t set)
{
  for (uint32_t i = 0; i < SILENCE_RIG_UPSTREAMS; i++)
    if (set >> i & 1)
      rig->fillers[i] = fill_backlog (rig->upstreams[i]);
}

void
silence_rig_lighten (silence_rig_t *rig, uint32_t set)
{
  for (uint32_t i = 0; i < SILENCE_RIG_UPSTREAMS; i++)
    if (set >> i & 1)
      g_clear_pointer (&rig->fillers[i], g_array_unref);
}

void
silence_rig_stop_upstreams (silence_rig_t *rig)
{
  silence_rig_signal (rig, SILENCE_RIG_ALL, SIGCONT);
  silence_rig_signal (rig, SILENCE_RIG_ALL, SIGTERM);
  for (uint32_t i = 0; i < SILENCE_RIG_UPSTREAMS; i++)
    driver_process_wait_exit (rig->upstreams[i]);
}

static void
count_runs_of (GHashTable *runs, const driver_process_t *upstream)
{
  g_autofree char *text = NULL;

  if (!g_file_get_contents (upstream->record_path, &text, NULL, NULL))
    return;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line; line++)
    {
      g_auto (GStrv) fields = g_strsplit (*line, " ", RECORD_FIELDS);
      guint count;

      if (g_strv_length (fields) != RECORD_FIELDS || strcmp (fields[0], "begin") != 0)
        continue;
      count = GPOINTER_TO_UINT (g_hash_table_lookup (runs, fields[2]));
      g_hash_table_replace (runs, g_strdup (fields[2]), GUINT_TO_POINTER (count + 1));
    }
}

GHashTable *
silence_rig_count_runs (const silence_rig_t *rig)
{
  GHashTable *runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (uint32_t i = 0; i < SILENCE_RIG_UPSTREAMS; i++)
    count_runs_of (runs, rig->upstreams[i]);
  return runs;
}
