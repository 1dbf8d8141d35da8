/**
 * DOC: test_platform
 *
 * The platform by HTTP, against a small server that answers as each test tells it.
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
  SERVER_ANSWERS,
  SERVER_CUTS,
  SERVER_HOLDS
} server_mode_t;

/** struct fixture - a server, the platform that asks it, and what came of the last call */
typedef struct
{
  struct event_base *base;
  struct evhttp *http;
  set_address_t address;
  plt_t *plt;
  server_mode_t mode;
  int status;
  bool no_effect;
  const char *body;
  uint32_t requests;
  char *target;
  char *reader;
  char *sent;
  uint32_t answers;
  plt_outcome_t outcome;
  uint64_t offset;
  uint32_t count;
  char text[64];
} fixture_t;

static void
cut (evutil_socket_t fd, short what, void *connection)
{
  (void)fd;
  (void)what;
  evhttp_connection_free (connection);
}

static void
keep_request (fixture_t *f, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t body_bytes = evbuffer_get_length (input);
  g_free (f->target);
  g_free (f->reader);
  g_free (f->sent);
  f->target = g_strdup (evhttp_request_get_uri (request));
  f->reader =
      g_strdup (evhttp_find_header (evhttp_request_get_input_headers (request), "X-Reader"));
  f->sent = g_strndup ((const char *)evbuffer_pullup (input, -1), body_bytes);
  f->requests++;
}

static void
serve (struct evhttp_request *request, void *context)
{
  fixture_t *f = context;
  keep_request (f, request);
  if (f->mode == SERVER_HOLDS)
    return;
  if (f->mode == SERVER_CUTS)
    {
      event_base_once (f->base, -1, EV_TIMEOUT, cut, evhttp_request_get_connection (request), NULL);
      return;
    }
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add (body, f->body, strlen (f->body));
  if (f->no_effect)
    evhttp_add_header (evhttp_request_get_output_headers (request), "X-Log-Effect", "none");
  evhttp_send_reply (request, f->status, NULL, body);
  evbuffer_free (body);
}

static void
setup (fixture_t *f)
{
  memset (f, 0, sizeof *f);
  f->base = event_base_new ();
  f->http = evhttp_new (f->base);
  f->status = 200;
  g_snprintf (f->address.ip, sizeof f->address.ip, "127.%d.%d.1", ((getpid () >> 8) & 0x7f) + 1,
              getpid () & 0xff);
  f->address.port = 18090;
  evhttp_set_gencb (f->http, serve, f);
  CU_ASSERT_EQUAL_FATAL (evhttp_bind_socket (f->http, f->address.ip, f->address.port), 0);
  f->plt = plt_http_new (f->base, &f->address, "router-1");
}

static void
teardown (fixture_t *f)
{
  f->plt->free (f->plt);
  if (f->http != NULL)
    evhttp_free (f->http);
  event_base_free (f->base);
  g_free (f->target);
  g_free (f->reader);
  g_free (f->sent);
}

static void
expire (evutil_socket_t fd, short what, void *context)
{
  bool *expired = context;
  (void)fd;
  (void)what;
  *expired = true;
}

/* Runs the event loop until @count has grown to @wanted. */
static void
wait_for (fixture_t *f, const uint32_t *count, uint32_t wanted)
{
  bool expired = false;
  struct timeval deadline = { DEADLINE_S, 0 };
  struct event *timer = evtimer_new (f->base, expire, &expired);
  event_add (timer, &deadline);
  while (*count < wanted && !expired)
    event_base_loop (f->base, EVLOOP_ONCE);
  event_free (timer);
  CU_ASSERT_EQUAL (*count, wanted);
}

static void
appended (plt_outcome_t outcome, uint64_t offset, void *context)
{
  fixture_t *f = context;
  f->answers++;
  f->outcome = outcome;
  f->offset = offset;
}

static void
read_done (const plt_read_t *read, void *context)
{
  fixture_t *f = context;
  f->answers++;
  f->outcome = read->outcome;
  f->count = read->record_count;
  if (read->record_count > 0)
    g_strlcpy (f->text, read->records[0].data, sizeof f->text);
}

static void
hosts_done (const plt_hosts_t *hosts, void *context)
{
  fixture_t *f = context;
  f->answers++;
  f->outcome = hosts->outcome;
  f->count = hosts->host_count;
  if (hosts->host_count > 0)
    g_strlcpy (f->text, hosts->hosts[0].name, sizeof f->text);
}

static plt_outcome_t
append (fixture_t *f)
{
  uint32_t before = f->answers;
  f->plt->append (f->plt, "a b", "record", 6, appended, f);
  CU_ASSERT_EQUAL (f->answers, before);
  wait_for (f, &f->answers, before + 1);
  return f->outcome;
}

static plt_outcome_t
read_from (fixture_t *f, uint64_t from)
{
  uint32_t before = f->answers;
  f->plt->read (f->plt, "s", from, 10, 20, read_done, f);
  CU_ASSERT_EQUAL (f->answers, before);
  wait_for (f, &f->answers, before + 1);
  return f->outcome;
}

static plt_outcome_t
list_hosts (fixture_t *f)
{
  uint32_t before = f->answers;
  f->plt->hosts (f->plt, 6, hosts_done, f);
  CU_ASSERT_EQUAL (f->answers, before);
  wait_for (f, &f->answers, before + 1);
  return f->outcome;
}

static void
test_calls_as_documented (void)
{
  fixture_t f;
  setup (&f);
  f.body = "{\"offset\":41}";
  CU_ASSERT_EQUAL (append (&f), PLT_OK);
  CU_ASSERT_EQUAL (f.offset, 41);
  CU_ASSERT_STRING_EQUAL (f.target, "/log/append?stream=a%20b");
  CU_ASSERT_STRING_EQUAL (f.sent, "record");
  CU_ASSERT_STRING_EQUAL (f.reader, "router-1");
  f.body = "{\"first\":3,\"next\":5,\"end\":9,\"records\":[{\"offset\":4,\"data\":\"four\"}]}";
  CU_ASSERT_EQUAL (read_from (&f, 4), PLT_OK);
  CU_ASSERT_EQUAL (f.count, 1);
  CU_ASSERT_STRING_EQUAL (f.text, "four");
  CU_ASSERT_STRING_EQUAL (f.target, "/log/read?stream=s&from=4&max=10&wait_ms=20");
  f.body = HOST_START HOST_END;
  CU_ASSERT_EQUAL (list_hosts (&f), PLT_OK);
  CU_ASSERT_EQUAL (f.count, 1);
  CU_ASSERT_STRING_EQUAL (f.text, "e1");
  CU_ASSERT_STRING_EQUAL (f.target, "/hosts?since=6");
  teardown (&f);
}

/* The caller of an append must know whether it may have taken effect. An answer that says so is
 * certain, and so is a platform that nothing was sent to; all other failures are not, as the record
 * may be in the log although its answer was lost. */
static void
test_refusals_only_where_certain (void)
{
  fixture_t f;
  setup (&f);
  f.body = "{\"error\":\"?\"}";
  f.status = 400;
  CU_ASSERT_EQUAL (append (&f), PLT_REFUSED);
  f.status = 503;
  CU_ASSERT_EQUAL (append (&f), PLT_UNKNOWN);
  f.no_effect = true;
  CU_ASSERT_EQUAL (append (&f), PLT_REFUSED);
  f.status = 500;
  CU_ASSERT_EQUAL (append (&f), PLT_UNKNOWN);
  f.status = 200;
  CU_ASSERT_EQUAL (append (&f), PLT_UNKNOWN);
  f.mode = SERVER_CUTS;
  CU_ASSERT_EQUAL (append (&f), PLT_UNKNOWN);
  CU_ASSERT_EQUAL (read_from (&f, 0), PLT_UNKNOWN);
  evhttp_free (f.http);
  f.http = NULL;
  CU_ASSERT_EQUAL (append (&f), PLT_REFUSED);
  CU_ASSERT_EQUAL (list_hosts (&f), PLT_UNKNOWN);
  teardown (&f);
}

static void
test_free_drops_calls (void)
{
  fixture_t f;
  setup (&f);
  f.mode = SERVER_HOLDS;
  f.plt->append (f.plt, "s", "x", 1, appended, &f);
  f.plt->hosts (f.plt, 0, hosts_done, &f);
  wait_for (&f, &f.requests, 2);
  teardown (&f);
  CU_ASSERT_EQUAL (f.answers, 0);
}

/* An answer with a hole would make the reader miss a record for good, and so a version or a claim;
 * one with records from before the place asked for would show it a record twice. */
static void
test_broken_reads_are_not_believed (void)
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
  pla_read_t read;
  for (size_t i = 0; i < G_N_ELEMENTS (broken); i++)
    CU_ASSERT_FALSE (pla_read (&read, broken[i], strlen (broken[i]), 4, 1));
  const char *gap =
      "{\"first\":8,\"next\":9,\"end\":9,\"records\":[{\"offset\":8,\"data\":\"x\"}]}";
  CU_ASSERT_TRUE_FATAL (pla_read (&read, gap, strlen (gap), 4, 1));
  CU_ASSERT_EQUAL (read.read.first_offset, 8);
  pla_read_clear (&read);
}

static void
test_broken_lists_are_not_believed (void)
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
  plt_hosts_t hosts;
  for (size_t i = 0; i < G_N_ELEMENTS (broken); i++)
    CU_ASSERT_FALSE (pla_hosts (&hosts, broken[i], strlen (broken[i])));
  g_autofree char *name = g_strnfill (LIM_NAME_BYTES, 'n');
  g_autofree char *good = g_strdup (HOST_START HOST_END);
  GString *long_name = g_string_new (good);
  g_string_replace (long_name, "e1", name, 1);
  CU_ASSERT_FALSE (pla_hosts (&hosts, long_name->str, long_name->len));
  g_string_free (long_name, TRUE);
  CU_ASSERT_TRUE_FATAL (pla_hosts (&hosts, good, strlen (good)));
  CU_ASSERT_EQUAL (hosts.hosts[0].state, MEM_LEAVING);
  CU_ASSERT_EQUAL (hosts.hosts[0].exchange.port, 82);
  g_free ((mem_listed_t *)hosts.hosts);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "calls as documented", test_calls_as_documented },
    { "refusals only where certain", test_refusals_only_where_certain },
    { "free drops calls", test_free_drops_calls },
    { "broken reads are not believed", test_broken_reads_are_not_believed },
    { "broken lists are not believed", test_broken_lists_are_not_believed },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("platform", tests);
}
