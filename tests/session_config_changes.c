/**
 * DOC: session_config_changes
 *
 * Changes of each part of the configuration beside requests in every state, with a real gateway,
 * store and upstreams. Each request must end with a whole answer or a refusal: requests whose body
 * is half read, that run, that stream, and that wait behind another one on their connection.
 */
#include "driver.h"
#include "raw_peer.h"

#include <CUnit/Basic.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LIMITS_IDLE_MS 400
#define LIMITS(idle, body)                                                                         \
  "{\"max_header_bytes\":8000,\"max_body_bytes\":" body ",\"header_timeout_ms\":1000,"             \
  "\"idle_timeout_ms\":" idle "}"
#define SHORT_LIMITS LIMITS ("400", "1000")
#define LONG_LIMITS LIMITS ("3000", "100000")
#define TENANTS "{\"name\":\"alpha\",\"api_keys\":[\"key-1\"]}"
#define KEPT 20   /* connections that are kept */
#define IN_EACH 4 /* requests in each state while a change is made */
#define STATES 4  /* body half read, run, stream, wait behind another one */
#define LONG_BODY 20000
/* A gateway that runs for a moment between two hold-ups */
#define HELD_UP_ROUNDS 5
#define HELD_UP_REQUESTS 200 /* that come in the first one, more than it takes in that moment */
#define HELD_UP_PAUSE_MS 2
#define HELD_UP_MS 600

/** struct change - a version; fields that are NULL are as before */
typedef struct
{
  const char *name;
  const char *look_service;
  const char *book_service;
  const char *talk_service;
  const char *look_more;
  const char *kinds[3];
  const char *timeout;
  const char *attempts;
  const char *routes;
  const char *services;
  const char *tenants;
  const char *limits;
} change_t;

static const change_t changes[] = {
  { .name = "the timeout of all routes is raised", .timeout = "9000" },
  { .name = "the timeout of all routes is lowered", .timeout = "4000" },
  { .name = "aim, priority and attempts",
    .attempts = "3",
    .look_more = ",\"aim_ms\":700,\"priority\":3" },
  { .name = "kinds", .kinds = { "non_idempotent", "idempotent", "stream" } },
  { .name = "a stream may not be resumed any more", .talk_service = "\"service\":\"pool\"" },
  { .name = "routes move to other services",
    .look_service = "\"service\":\"elsewhere\"",
    .book_service = "\"service\":\"elsewhere\"",
    .talk_service = "\"service\":\"elsewhere\"" },
  { .name = "routes are split",
    .look_service = "\"backends\":[{\"service\":\"ledger\",\"weight\":1},"
                    "{\"service\":\"elsewhere\",\"weight\":3}]" },
  { .name = "weights change",
    .look_service = "\"backends\":[{\"service\":\"ledger\",\"weight\":9},"
                    "{\"service\":\"elsewhere\",\"weight\":1}]" },
  { .name = "services are removed", .services = "" },
  { .name = "all accounts are removed", .tenants = "{\"name\":\"beta\",\"api_keys\":[\"key-2\"]}" },
  { .name = "the key moves to another account",
    .tenants = "{\"name\":\"beta\",\"api_keys\":[\"key-1\"]}" },
  { .name = "limits are raised", .limits = LONG_LIMITS },
  { .name = "limits are lowered", .limits = LIMITS ("200", "300") },
  { .name = "all routes are removed", .routes = "" },
};

typedef struct
{
  driver_t *driver;
  driver_process_t *gateway;
  uint32_t version;
  uint32_t next_id;
  GPtrArray *peers; /* of raw_peer_t */
} fleet_t;

static const char *
either (const char *changed, const char *usual)
{
  return changed ? changed : usual;
}

static char *
make_route (const char *name,
            const char *kind,
            const change_t *change,
            const char *service,
            const char *more)
{
  return g_strdup_printf ("{\"name\":\"%s\",\"host\":\"fleet\",\"path_prefix\":\"/%s/\","
                          "\"kind\":\"%s\",\"timeout_ms\":%s,\"attempts\":%s,%s%s}",
                          name, name, kind, either (change->timeout, "6000"),
                          either (change->attempts, "2"), service, more);
}

static char *
make_routes (const change_t *change)
{
  g_autofree char *look = make_route ("look", either (change->kinds[0], "idempotent"), change,
                                      either (change->look_service, "\"service\":\"ledger\""),
                                      either (change->look_more, ""));
  g_autofree char *book = make_route ("book", either (change->kinds[1], "non_idempotent"), change,
                                      either (change->book_service, "\"service\":\"ledger\""), "");
  g_autofree char *talk =
      make_route ("talk", either (change->kinds[2], "stream"), change,
                  either (change->talk_service, "\"service\":\"pool\",\"resumable\":true"), "");

  return g_strjoin (",", look, book, talk, NULL);
}

static bool
is_in_force (void *context)
{
  const fleet_t *fleet = context;
  g_autofree char *version = g_strdup_printf ("version=%u ", fleet->version);

  return driver_process_count_log_lines (fleet->gateway, ": version ", version) > 0;
}

static void
write_config (fleet_t *fleet, const change_t *change)
{
  g_autofree char *routes = make_routes (change);
  g_autofree char *text = g_strdup_printf (
      "{\"version\":%u,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s],\"limits\":%s}",
      ++fleet->version, either (change->routes, routes),
      either (change->services, "{\"name\":\"ledger\"},{\"name\":\"pool\"}"),
      either (change->tenants, TENANTS), either (change->limits, SHORT_LIMITS));

  driver_write_record (fleet->driver, "config", text);
}

static void
change_config (fleet_t *fleet, const change_t *change)
{
  write_config (fleet, change);
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, change->name, is_in_force, fleet);
}

static char *
make_request (fleet_t *fleet, const char *path, uint32_t body_bytes)
{
  g_autofree char *body = g_strnfill (body_bytes, 'b');

  return g_strdup_printf ("POST %s HTTP/1.1\r\nHost: fleet\r\nX-Request-Id: c%u\r\n"
                          "X-Key: key-1\r\nX-Deadline-Ms: 3500\r\nContent-Length: %u\r\n\r\n%s",
                          path, ++fleet->next_id, body_bytes, body);
}

static raw_peer_t *
connect_peer (fleet_t *fleet)
{
  address_t address = { .port = DRIVER_PORT };
  raw_peer_t *raw;

  g_strlcpy (address.ip, fleet->gateway->ip, sizeof address.ip);
  raw = raw_peer_connect (fleet->driver->base, &address);
  g_ptr_array_add (fleet->peers, raw);
  return raw;
}

/* The gateway may have closed the connection, which the answers show */
static void
send_text (const raw_peer_t *raw, const char *text)
{
  if (!raw->eof)
    (void)!send (raw->fd, text, strlen (text), MSG_NOSIGNAL);
}

static void
send_request (fleet_t *fleet, raw_peer_t *raw, const char *path, uint32_t body_bytes)
{
  g_autofree char *text = make_request (fleet, path, body_bytes);

  send_text (raw, text);
}

/* Return: the length of the whole answer at the start of @text, 0 while it is not whole */
static size_t
whole_answer_bytes (const char *text)
{
  const char *head_end = strstr (text, "\r\n\r\n");
  g_autofree char *head = head_end ? g_strndup (text, (gsize)(head_end - text)) : NULL;
  const char *body = head_end ? head_end + 4 : NULL;
  const char *length = head ? strstr (head, "Content-Length: ") : NULL;
  const char *last;
  size_t bytes;

  if (!head)
    return 0;
  if (length)
    {
      bytes = strtoul (length + strlen ("Content-Length: "), NULL, 10);
      return strlen (body) >= bytes ? (size_t)(body - text) + bytes : 0;
    }
  last = strstr (body, "\r\n0\r\n\r\n");
  return last ? (size_t)(last - text) + strlen ("\r\n0\r\n\r\n") : 0;
}

/* Return: whole answers; of them, those with status 200 in @good */
static uint32_t
count_answers (const raw_peer_t *raw, uint32_t *good)
{
  const char *text = raw->received->str;
  uint32_t count = 0;
  size_t bytes;

  while ((bytes = whole_answer_bytes (text)) > 0)
    {
      count++;
      *good += g_str_has_prefix (text, "HTTP/1.1 200 ") ? 1 : 0;
      text += bytes;
    }
  return count;
}

typedef struct
{
  GPtrArray *peers;
  uint32_t answers; /* of each */
} expected_t;

static bool
have_ended (void *context)
{
  const expected_t *expected = context;
  uint32_t good = 0;

  for (guint i = 0; i < expected->peers->len; i++)
    {
      const raw_peer_t *raw = expected->peers->pdata[i];

      if (!raw->eof && count_answers (raw, &good) < expected->answers)
        return false;
    }
  return true;
}

/* Return: answers of all connections, each of which waits for @answers of them */
static uint32_t
wait_answers (fleet_t *fleet, uint32_t answers, uint32_t *good)
{
  expected_t expected = { fleet->peers, answers };
  uint32_t sum = 0;

  *good = 0;
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "answers", have_ended, &expected);
  for (guint i = 0; i < fleet->peers->len; i++)
    sum += count_answers (fleet->peers->pdata[i], good);
  return sum;
}

static bool
is_fleet_ready (void *context)
{
  const fleet_t *fleet = context;

  return driver_process_count_log_lines (fleet->gateway, ": engine ", "state=ready") == 4 &&
         driver_process_count_log_lines (fleet->gateway, ": ready ", NULL) > 0;
}

static void
start_fleet (fleet_t *fleet, const char *name)
{
  static const driver_upstream_t upstreams[] = {
    { .name = "ledger0", .work_ms = 300 },
    { .name = "ledger1", .work_ms = 300 },
    { .name = "pool0", .streams = true, .work_ms = 60, .events = 10 },
    { .name = "pool1", .streams = true, .work_ms = 60, .events = 10 },
  };

  fleet->driver = driver_new (name);
  fleet->peers = g_ptr_array_new_with_free_func ((GDestroyNotify)raw_peer_free);
  driver_start_platform (fleet->driver);
  write_config (fleet, &(change_t){ 0 });
  for (guint i = 0; i < G_N_ELEMENTS (upstreams); i++)
    driver_start_upstream (fleet->driver, &upstreams[i]);
  fleet->gateway = driver_start_gateway (fleet->driver, "gateway", 100, 7000);
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "the fleet", is_fleet_ready, fleet);
}

static void
finish (fleet_t *fleet)
{
  g_ptr_array_free (fleet->peers, TRUE);
  driver_finish (fleet->driver);
}

/* On the connections that carry two requests */
static void
wait_second_answers (fleet_t *fleet)
{
  g_autoptr (GPtrArray) peers = g_ptr_array_new ();
  expected_t expected = { peers, 2 };

  for (guint i = 0; i < fleet->peers->len; i++)
    if (i % STATES == 0 || i % STATES == STATES - 1)
      g_ptr_array_add (peers, fleet->peers->pdata[i]);
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "second answers", have_ended, &expected);
}

static void
test_change (fleet_t *fleet, const change_t *change)
{
  raw_peer_t *halves[IN_EACH];
  char *rests[IN_EACH];
  uint32_t answers;
  uint32_t good;

  g_ptr_array_set_size (fleet->peers, 0);
  for (uint32_t i = 0; i < IN_EACH; i++)
    {
      g_autofree char *request = make_request (fleet, "/look/", 500);
      g_autofree char *first = g_strndup (request, strlen (request) - 250);
      raw_peer_t *raw;

      halves[i] = connect_peer (fleet);
      rests[i] = g_strdup (request + strlen (first));
      send_text (halves[i], first);
      send_request (fleet, connect_peer (fleet), "/book/", 10);
      send_request (fleet, connect_peer (fleet), "/talk/", 10);
      raw = connect_peer (fleet);
      send_request (fleet, raw, "/look/", 10);
      send_request (fleet, raw, "/talk/", 10);
    }
  driver_run_loop (fleet->driver, 50);
  change_config (fleet, change);
  for (uint32_t i = 0; i < IN_EACH; i++)
    {
      send_text (halves[i], rests[i]);
      send_request (fleet, halves[i], "/talk/", 10);
      g_free (rests[i]);
    }
  wait_second_answers (fleet);
  answers = wait_answers (fleet, 1, &good);
  driver_transcript_add (fleet->driver, "%s: %u of %u requests have ended", change->name, answers,
                         IN_EACH * (STATES + 2));
  change_config (fleet, &(change_t){ .name = "as before" });
}

static void
test_requests_in_hand (void)
{
  fleet_t fleet = { 0 };

  start_fleet (&fleet, "config_changes");
  for (guint i = 0; i < G_N_ELEMENTS (changes); i++)
    test_change (&fleet, &changes[i]);
  driver_transcript_add (
      fleet.driver, "answers cut: %u",
      driver_process_count_log_lines (fleet.gateway, ": end ", "outcome=cut") +
          driver_process_count_log_lines (fleet.gateway, ": connection_ended ", "by=us reason=e"));
  finish (&fleet);
}

/* Return: answers with status 200 to one more request on each kept connection */
static uint32_t
use_kept (fleet_t *fleet, uint32_t answers_before, uint32_t body_bytes)
{
  uint32_t good = 0;

  for (guint i = 0; i < fleet->peers->len; i++)
    send_request (fleet, fleet->peers->pdata[i], "/look/", body_bytes);
  wait_answers (fleet, answers_before + 1, &good);
  return good - MIN (good, answers_before * fleet->peers->len);
}

/* The limit of the settings, which is longer, holds for a while */
static void
wait_short_limits (fleet_t *fleet)
{
  raw_peer_t *raw;

  do
    {
      raw = connect_peer (fleet);
      driver_run_loop (fleet->driver, LIMITS_IDLE_MS * 2);
    }
  while (!raw->eof && fleet->peers->len < KEPT * 2);
  CU_ASSERT_TRUE (raw->eof);
  g_ptr_array_set_size (fleet->peers, 0);
}

/* A longer limit holds on connections that are idle already, a shorter one only later */
static void
test_kept_connections (void)
{
  fleet_t fleet = { 0 };

  start_fleet (&fleet, "config_changes_kept");
  wait_short_limits (&fleet);
  for (uint32_t i = 0; i < KEPT; i++)
    connect_peer (&fleet);
  driver_transcript_add (fleet.driver, "short limits: %u of %u", use_kept (&fleet, 0, 10), KEPT);
  change_config (&fleet, &(change_t){ .name = "longer limits", .limits = LONG_LIMITS });
  driver_run_loop (fleet.driver, LIMITS_IDLE_MS * 2);
  driver_transcript_add (fleet.driver,
                         "longer limits, idle for longer than the short one: %u of %u",
                         use_kept (&fleet, 1, LONG_BODY), KEPT);
  change_config (&fleet, &(change_t){ .name = "short limits" });
  driver_run_loop (fleet.driver, LIMITS_IDLE_MS * 2);
  driver_transcript_add (fleet.driver, "short limits again, idle likewise: %u of %u",
                         use_kept (&fleet, 2, 10), KEPT);
  driver_run_loop (fleet.driver, LIMITS_IDLE_MS * 2);
  driver_transcript_add (fleet.driver, "and once more: %u of %u", use_kept (&fleet, 3, 10), KEPT);
  finish (&fleet);
}

/* A gateway that did not run for a while reads the requests that came meanwhile, though the idle
 * limit passed, also where a version came with them */
static void
test_stopped_gateway (void)
{
  fleet_t fleet = { 0 };

  start_fleet (&fleet, "config_changes_stopped");
  wait_short_limits (&fleet);
  for (int is_changed = 0; is_changed < 2; is_changed++)
    {
      uint32_t good = 0;

      g_ptr_array_set_size (fleet.peers, 0);
      for (uint32_t i = 0; i < KEPT; i++)
        connect_peer (&fleet);
      use_kept (&fleet, 0, 10);
      driver_process_signal (fleet.gateway, SIGSTOP);
      if (is_changed)
        write_config (&fleet, &(change_t){ .limits = LIMITS ("300", "900") });
      for (uint32_t i = 0; i < KEPT; i++)
        send_request (&fleet, fleet.peers->pdata[i], "/look/", 10);
      driver_run_loop (fleet.driver, LIMITS_IDLE_MS * 2);
      driver_process_signal (fleet.gateway, SIGCONT);
      wait_answers (&fleet, 2, &good);
      driver_transcript_add (fleet.driver, "a stopped gateway%s: %u of %u requests answered",
                             is_changed ? ", and new limits" : "", good - MIN (good, KEPT), KEPT);
    }
  finish (&fleet);
}

/* Guards against whole requests on new connections that are reset because the gateway was held up
 * while they came, as by a large configuration. */
static void
test_held_up_gateway (void)
{
  fleet_t fleet = { 0 };
  uint32_t unanswered = 0;
  uint32_t good = 0;

  start_fleet (&fleet, "config_changes_held_up");
  for (uint32_t round = 0; round < HELD_UP_ROUNDS; round++)
    {
      uint32_t answers;

      g_ptr_array_set_size (fleet.peers, 0);
      driver_process_signal (fleet.gateway, SIGSTOP);
      for (uint32_t i = 0; i < HELD_UP_REQUESTS; i++)
        send_request (&fleet, connect_peer (&fleet), "/look/", 10);
      driver_process_signal (fleet.gateway, SIGCONT);
      driver_run_loop (fleet.driver, HELD_UP_PAUSE_MS);
      driver_process_signal (fleet.gateway, SIGSTOP);
      driver_run_loop (fleet.driver, HELD_UP_MS);
      driver_process_signal (fleet.gateway, SIGCONT);
      answers = wait_answers (&fleet, 1, &good);
      unanswered += fleet.peers->len - answers;
    }
  driver_transcript_add (fleet.driver, "requests without an answer or a refusal: %u", unanswered);
  CU_ASSERT (good > 0);
  finish (&fleet);
}

int
main (void)
{
  static const driver_test_t tests[] = {
    { "each part of the configuration changes beside requests", test_requests_in_hand },
    { "limits change beside kept connections", test_kept_connections },
    { "requests came while the gateway was stopped", test_stopped_gateway },
    { "requests are reset because the gateway was held up", test_held_up_gateway },
  };

  return driver_main ("config_changes", tests, G_N_ELEMENTS (tests));
}
