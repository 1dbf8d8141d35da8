/**
 * DOC: test_platform
 *
 * Unit tests of the platform over HTTP, against a server whose responses each test sets.
 */
#include "connection/platform.h"
#include "connection/platform_answer.h"
#include "suite.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>
#include <unistd.h>

#define DEADLINE_S 10
#define HOST_START                                                                                 \
  "{\"revision\":7,\"full\":true,\"hosts\":[{\"name\":\"e1\",\"role\":\"sidecar\","                \
  "\"data_center\":\"hall\",\"region\":\"city\",\"http\":\"127.0.0.1:81\","
#define HOST_END "\"exchange\":\"127.0.0.1:82\",\"state\":\"leaving\"}]}"

typedef enum
{
  SERVER_RESPONDS,
  SERVER_CLOSES,
  SERVER_IGNORES
} server_mode_t;

/** fixture_t - a server, a platform that calls it, and the result of the last call */
typedef struct
{
  struct event_base *base;
  struct evhttp *http;
  address_t address;
  platform_t *platform;
  server_mode_t mode;
  int status;
  bool no_effect;
  const char *body;
  uint32_t requests;
  char *target;
  char *reader;
  char *sent;
  uint32_t answers;
  platform_outcome_t outcome;
  uint64_t offset;
  uint32_t count;
  char text[64];
} fixture_t;

static void
close_connection (evutil_socket_t fd, short what, void *connection)
{
  (void)fd;
  (void)what;
  evhttp_connection_free (connection);
}

static void
record_request (fixture_t *fixture, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t body_bytes = evbuffer_get_length (input);
  g_free (fixture->target);
  g_free (fixture->reader);
  g_free (fixture->sent);
  fixture->target = g_strdup (evhttp_request_get_uri (request));
  fixture->reader =
      g_strdup (evhttp_find_header (evhttp_request_get_input_headers (request), "X-Reader"));
  fixture->sent = g_strndup ((const char *)evbuffer_pullup (input, -1), body_bytes);
  fixture->requests++;
}

static void
handle_request (struct evhttp_request *request, void *context)
{
  fixture_t *fixture = context;
  record_request (fixture, request);
  if (fixture->mode == SERVER_IGNORES)
    return;
  if (fixture->mode == SERVER_CLOSES)
    {
      event_base_once (fixture->base, -1, EV_TIMEOUT, close_connection,
                       evhttp_request_get_connection (request), NULL);
      return;
    }
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add (body, fixture->body, strlen (fixture->body));
  if (fixture->no_effect)
    evhttp_add_header (evhttp_request_get_output_headers (request), "X-Log-Effect", "none");
  evhttp_send_reply (request, fixture->status, NULL, body);
  evbuffer_free (body);
}

static void
setup (fixture_t *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->base = event_base_new ();
  fixture->http = evhttp_new (fixture->base);
  fixture->status = 200;
  g_snprintf (fixture->address.ip, sizeof fixture->address.ip, "127.%d.%d.1",
              ((getpid () >> 8) & 0x7f) + 1, getpid () & 0xff);
  fixture->address.port = 18090;
  evhttp_set_gencb (fixture->http, handle_request, fixture);
  CU_ASSERT_EQUAL_FATAL (
      evhttp_bind_socket (fixture->http, fixture->address.ip, fixture->address.port), 0);
  fixture->platform = platform_http_new (fixture->base, &fixture->address, "router-1");
}

static void
teardown (fixture_t *fixture)
{
  fixture->platform->free (fixture->platform);
  if (fixture->http != NULL)
    evhttp_free (fixture->http);
  event_base_free (fixture->base);
  g_free (fixture->target);
  g_free (fixture->reader);
  g_free (fixture->sent);
}

static void
on_deadline (evutil_socket_t fd, short what, void *context)
{
  bool *expired = context;
  (void)fd;
  (void)what;
  *expired = true;
}

/* Runs the event loop until @count has grown to @wanted. */
static void
wait_for (fixture_t *fixture, const uint32_t *count, uint32_t wanted)
{
  bool expired = false;
  struct timeval deadline = { DEADLINE_S, 0 };
  struct event *timer = evtimer_new (fixture->base, on_deadline, &expired);
  event_add (timer, &deadline);
  while (*count < wanted && !expired)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  event_free (timer);
  CU_ASSERT_EQUAL (*count, wanted);
}

static void
appended (platform_outcome_t outcome, position_t position, void *context)
{
  fixture_t *fixture = context;
  fixture->answers++;
  fixture->outcome = outcome;
  fixture->offset = position.offset;
}

static void
read_done (const platform_read_t *read, void *context)
{
  fixture_t *fixture = context;
  fixture->answers++;
  fixture->outcome = read->outcome;
  fixture->count = read->record_count;
  if (read->record_count > 0)
    g_strlcpy (fixture->text, read->records[0].data, sizeof fixture->text);
}

static void
hosts_done (const platform_hosts_t *hosts, void *context)
{
  fixture_t *fixture = context;
  fixture->answers++;
  fixture->outcome = hosts->outcome;
  fixture->count = hosts->host_count;
  if (hosts->host_count > 0)
    g_strlcpy (fixture->text, hosts->hosts[0].name, sizeof fixture->text);
}

static platform_outcome_t
append (fixture_t *fixture)
{
  uint32_t before = fixture->answers;
  fixture->platform->append (fixture->platform, "a b", "record", 6, appended, fixture);
  CU_ASSERT_EQUAL (fixture->answers, before);
  wait_for (fixture, &fixture->answers, before + 1);
  return fixture->outcome;
}

static platform_outcome_t
read_from (fixture_t *fixture, uint64_t from)
{
  uint32_t before = fixture->answers;
  fixture->platform->read (fixture->platform, "s", from, 10, 20, read_done, fixture);
  CU_ASSERT_EQUAL (fixture->answers, before);
  wait_for (fixture, &fixture->answers, before + 1);
  return fixture->outcome;
}

static platform_outcome_t
list_hosts (fixture_t *fixture)
{
  uint32_t before = fixture->answers;
  fixture->platform->hosts (fixture->platform, 6, hosts_done, fixture);
  CU_ASSERT_EQUAL (fixture->answers, before);
  wait_for (fixture, &fixture->answers, before + 1);
  return fixture->outcome;
}

static void
test_calls_as_documented (void)
{
  fixture_t fixture;
  setup (&fixture);
  fixture.body = "{\"offset\":41}";
  CU_ASSERT_EQUAL (append (&fixture), PLATFORM_OK);
  CU_ASSERT_EQUAL (fixture.offset, 41);
  CU_ASSERT_STRING_EQUAL (fixture.target, "/log/append?stream=a%20b");
  CU_ASSERT_STRING_EQUAL (fixture.sent, "record");
  CU_ASSERT_STRING_EQUAL (fixture.reader, "router-1");
  fixture.body =
      "{\"first\":3,\"next\":5,\"end\":9,\"records\":[{\"offset\":4,\"data\":\"four\"}]}";
  CU_ASSERT_EQUAL (read_from (&fixture, 4), PLATFORM_OK);
  CU_ASSERT_EQUAL (fixture.count, 1);
  CU_ASSERT_STRING_EQUAL (fixture.text, "four");
  CU_ASSERT_STRING_EQUAL (fixture.target, "/log/read?stream=s&from=4&max=10&wait_ms=20");
  fixture.body = HOST_START HOST_END;
  CU_ASSERT_EQUAL (list_hosts (&fixture), PLATFORM_OK);
  CU_ASSERT_EQUAL (fixture.count, 1);
  CU_ASSERT_STRING_EQUAL (fixture.text, "e1");
  CU_ASSERT_STRING_EQUAL (fixture.target, "/hosts?since=6");
  teardown (&fixture);
}

/* The caller of an append must learn whether it may have had an effect. It certainly had none when
 * the response says so or when nothing was sent. Every other failure leaves this open: the record
 * may be in the log although the response was lost. */
static void
test_refused_only_when_certain (void)
{
  fixture_t fixture;
  setup (&fixture);
  fixture.body = "{\"error\":\"?\"}";
  fixture.status = 400;
  CU_ASSERT_EQUAL (append (&fixture), PLATFORM_REFUSED);
  fixture.status = 503;
  CU_ASSERT_EQUAL (append (&fixture), PLATFORM_UNKNOWN);
  fixture.no_effect = true;
  CU_ASSERT_EQUAL (append (&fixture), PLATFORM_REFUSED);
  fixture.status = 500;
  CU_ASSERT_EQUAL (append (&fixture), PLATFORM_UNKNOWN);
  fixture.status = 200;
  CU_ASSERT_EQUAL (append (&fixture), PLATFORM_UNKNOWN);
  fixture.mode = SERVER_CLOSES;
  CU_ASSERT_EQUAL (append (&fixture), PLATFORM_UNKNOWN);
  CU_ASSERT_EQUAL (read_from (&fixture, 0), PLATFORM_UNKNOWN);
  evhttp_free (fixture.http);
  fixture.http = NULL;
  CU_ASSERT_EQUAL (append (&fixture), PLATFORM_REFUSED);
  CU_ASSERT_EQUAL (list_hosts (&fixture), PLATFORM_UNKNOWN);
  teardown (&fixture);
}

static void
test_free_drops_calls (void)
{
  fixture_t fixture;
  setup (&fixture);
  fixture.mode = SERVER_IGNORES;
  fixture.platform->append (fixture.platform, "s", "x", 1, appended, &fixture);
  fixture.platform->hosts (fixture.platform, 0, hosts_done, &fixture);
  wait_for (&fixture, &fixture.requests, 2);
  teardown (&fixture);
  CU_ASSERT_EQUAL (fixture.answers, 0);
}

/* A response with a gap would make the reader miss a record, and so a version or a claim, for good;
 * one with records from before the requested offset would make it process a record twice. */
static void
test_invalid_reads_are_rejected (void)
{
  static const char *const broken[] = {
    "",
    "[]",
    "{\"first\":0,\"next\":5,\"end\":9}",
    "{\"first\":-1,\"next\":4,\"end\":9,\"records\":[]}",
    "{\"first\":0,\"next\":5,\"end\":9,\"records\":[]}",
    "{\"first\":9,\"next\":9,\"end\":5,\"records\":[]}",
    "{\"first\":0,\"next\":5,\"end\":4,\"records\":[{\"offset\":4,\"data\":\"x\"}]}",
    "{\"first\":0,\"next\":4,\"end\":9,\"records\":[{\"offset\":3,\"data\":\"x\"}]}",
    "{\"first\":0,\"next\":6,\"end\":9,\"records\":[{\"offset\":5,\"data\":\"x\"}]}",
    "{\"first\":0,\"next\":5,\"end\":9,\"records\":[{\"offset\":3,\"data\":\"x\"}]}",
    "{\"first\":0,\"next\":5,\"end\":9,\"records\":[{\"offset\":5,\"data\":\"x\"}]}",
    "{\"first\":0,\"next\":5,\"end\":9,\"records\":[{\"offset\":4,\"data\":7}]}",
    "{\"first\":0,\"next\":5,\"end\":9,\"records\":[7]}",
    "{\"first\":0,\"next\":6,\"end\":9,\"records\":[{\"offset\":4,\"data\":\"x\"},"
    "{\"offset\":5,\"data\":\"x\"}]}",
  };
  platform_answer_read_t read;
  for (size_t i = 0; i < G_N_ELEMENTS (broken); i++)
    CU_ASSERT_FALSE (platform_answer_parse_read (&read, broken[i], strlen (broken[i]), 4, 1));
  const char *gap =
      "{\"first\":8,\"next\":9,\"end\":9,\"records\":[{\"offset\":8,\"data\":\"x\"}]}";
  CU_ASSERT_TRUE_FATAL (platform_answer_parse_read (&read, gap, strlen (gap), 4, 1));
  CU_ASSERT (position_equal (read.read.first, (position_t){ .offset = 8 }));
  platform_answer_read_clear (&read);
}

static void
test_invalid_lists_are_rejected (void)
{
  static const char *const broken[] = {
    "{\"revision\":7,\"full\":true}",
    "{\"revision\":\"7\",\"full\":true,\"hosts\":[]}",
    "{\"revision\":7,\"full\":1,\"hosts\":[]}",
    "{\"revision\":7,\"full\":true,\"hosts\":[null]}",
    HOST_START "\"exchange\":\"localhost:82\",\"state\":\"live\"}]}",
    HOST_START "\"exchange\":\"127.0.0.1:82\",\"state\":\"asleep\"}]}",
    HOST_START "\"exchange\":\"127.0.0.1:82\"}]}",
    HOST_START "\"name\":\"twice\"," HOST_END,
  };
  platform_hosts_t hosts;
  for (size_t i = 0; i < G_N_ELEMENTS (broken); i++)
    CU_ASSERT_FALSE (platform_answer_parse_hosts (&hosts, broken[i], strlen (broken[i])));
  g_autofree char *name = g_strnfill (LIMIT_NAME_BYTES, 'n');
  g_autofree char *good = g_strdup (HOST_START HOST_END);
  GString *long_name = g_string_new (good);
  g_string_replace (long_name, "e1", name, 1);
  CU_ASSERT_FALSE (platform_answer_parse_hosts (&hosts, long_name->str, long_name->len));
  g_string_free (long_name, TRUE);
  CU_ASSERT_TRUE_FATAL (platform_answer_parse_hosts (&hosts, good, strlen (good)));
  CU_ASSERT_EQUAL (hosts.hosts[0].state, MEMBERSHIP_LEAVING);
  CU_ASSERT_EQUAL (hosts.hosts[0].exchange.port, 82);
  g_free ((membership_list_entry_t *)hosts.hosts);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "calls as documented", test_calls_as_documented },
    { "refused only when certain", test_refused_only_when_certain },
    { "free drops calls", test_free_drops_calls },
    { "invalid reads are rejected", test_invalid_reads_are_rejected },
    { "invalid lists are rejected", test_invalid_lists_are_rejected },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("platform", tests);
}
