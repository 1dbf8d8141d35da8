#include "server_fixture.h"

#include <CUnit/Basic.h>
#include <string.h>

static void
on_disconnect (void *context)
{
  ((server_fixture_t *)context)->disconnects++;
}

static void
on_writable (void *context)
{
  ((server_fixture_t *)context)->writable_count++;
}

static void
on_call (http_server_call_t *call, void *context)
{
  server_fixture_t *fixture = context;

  fixture->calls++;
  if (fixture->reply_at_once)
    {
      http_server_reply_text (call, 200, "text/plain", http_server_target (call));
      return;
    }
  http_server_on_disconnect (call, on_disconnect, fixture);
  http_server_on_writable (call, on_writable, fixture);
  g_ptr_array_add (fixture->waiting, call);
}

static void
on_ended (const http_server_ended_t *ended, void *context)
{
  server_fixture_t *fixture = context;

  fixture->ends++;
  fixture->ended = *ended;
}

static server_fixture_t *
new_server (uint32_t idle_timeout_ms,
            uint32_t request_timeout_ms,
            bool takes_few,
            uint32_t held_limit_bytes,
            uint32_t file_limit)
{
  server_fixture_t *fixture = g_new0 (server_fixture_t, 1);
  http_server_options_t options = { .takes_few = takes_few,
                                    .body_limit_bytes = SERVER_FIXTURE_BODY_LIMIT_BYTES,
                                    .header_limit_bytes = SERVER_FIXTURE_HEADER_LIMIT_BYTES,
                                    .header_limit_count = 20,
                                    .connection_limit = takes_few ? SERVER_FIXTURE_HERD_LIMIT
                                                                  : SERVER_FIXTURE_CONNECTION_LIMIT,
                                    .idle_timeout_ms = idle_timeout_ms,
                                    .request_timeout_ms = request_timeout_ms,
                                    .held_limit_bytes = held_limit_bytes,
                                    .file_limit = file_limit,
                                    .on_call = on_call,
                                    .on_ended = on_ended };
  GError *error = NULL;

  fixture->base = event_base_new ();
  event_base_priority_init (fixture->base, HTTP_SERVER_PRIORITIES);
  fixture->counters = counter_registry_new ();
  fixture->waiting = g_ptr_array_new ();
  fixture->clients = g_ptr_array_new_with_free_func ((GDestroyNotify)raw_peer_free);
  fixture->address = raw_peer_loopback_address ();
  options.base = fixture->base;
  options.counters = fixture->counters;
  options.listen = fixture->address;
  options.context = fixture;
  fixture->http_server = http_server_new (&options, &error);
  g_assert_no_error (error);
  fixture->address.port = http_server_port (fixture->http_server);
  return fixture;
}

server_fixture_t *
server_fixture_new_with_timeouts (uint32_t idle_timeout_ms, uint32_t request_timeout_ms)
{
  return new_server (idle_timeout_ms, request_timeout_ms, false,
                     SERVER_FIXTURE_INCOMPLETE_LIMIT_BYTES, 0);
}

server_fixture_t *
server_fixture_new_taking_few (void)
{
  return server_fixture_new_with_incomplete_limit (SERVER_FIXTURE_INCOMPLETE_LIMIT_BYTES);
}

server_fixture_t *
server_fixture_new_with_incomplete_limit (uint32_t limit_bytes)
{
  return new_server (SERVER_FIXTURE_NO_TIMEOUT_MS, SERVER_FIXTURE_NO_TIMEOUT_MS, true, limit_bytes,
                     0);
}

server_fixture_t *
server_fixture_new_with_file_limit (uint32_t file_limit)
{
  return new_server (SERVER_FIXTURE_NO_TIMEOUT_MS, SERVER_FIXTURE_NO_TIMEOUT_MS, true,
                     SERVER_FIXTURE_INCOMPLETE_LIMIT_BYTES, file_limit);
}

server_fixture_t *
server_fixture_new (void)
{
  return server_fixture_new_with_timeouts (SERVER_FIXTURE_NO_TIMEOUT_MS,
                                           SERVER_FIXTURE_NO_TIMEOUT_MS);
}

void
server_fixture_free (server_fixture_t *fixture)
{
  if (fixture->http_server)
    http_server_free (fixture->http_server);
  g_ptr_array_free (fixture->clients, TRUE);
  g_ptr_array_free (fixture->waiting, TRUE);
  counter_registry_free (fixture->counters);
  event_base_free (fixture->base);
  g_free (fixture);
}

uint64_t
server_fixture_counter_value (server_fixture_t *fixture, const char *name)
{
  return counter_value (counter_get (fixture->counters, name, ""));
}

uint64_t
server_fixture_refused_count (server_fixture_t *fixture, const char *reason)
{
  char *name = g_strdup_printf ("medlarplank_http_refused_total{reason=\"%s\"}", reason);
  uint64_t value = server_fixture_counter_value (fixture, name);

  g_free (name);
  return value;
}

http_server_call_t *
server_fixture_call_at (server_fixture_t *fixture, guint index)
{
  return fixture->waiting->pdata[index];
}

/* Conditions for raw_peer_run_until() */

typedef struct
{
  raw_peer_t *raw;
  const char *text;
} expected_text_t;

static bool
has_received (void *context)
{
  expected_text_t *expected = context;

  return strstr (expected->raw->received->str, expected->text);
}

bool
server_fixture_connection_closed (void *context)
{
  return ((raw_peer_t *)context)->eof;
}

bool
server_fixture_one_waiting (void *context)
{
  return ((server_fixture_t *)context)->waiting->len == 1;
}

bool
server_fixture_two_waiting (void *context)
{
  return ((server_fixture_t *)context)->waiting->len == 2;
}

bool
server_fixture_one_connected (void *context)
{
  return server_fixture_counter_value (context, "medlarplank_http_connections") == 1;
}

bool
server_fixture_one_disconnected (void *context)
{
  return ((server_fixture_t *)context)->disconnects == 1;
}

bool
server_fixture_is_idle (void *context)
{
  return http_server_busy_count (((server_fixture_t *)context)->http_server) == 0;
}

void
server_fixture_run_until_received (server_fixture_t *fixture, raw_peer_t *raw, const char *text)
{
  expected_text_t expected = { raw, text };

  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, has_received, &expected));
}

raw_peer_t *
server_fixture_connect (server_fixture_t *fixture, const char *request)
{
  raw_peer_t *raw = raw_peer_connect (fixture->base, &fixture->address);

  raw_peer_send (raw, request);
  g_ptr_array_add (fixture->clients, raw);
  return raw;
}

raw_peer_t *
server_fixture_connect_waiting (server_fixture_t *fixture, const char *request)
{
  raw_peer_t *raw = server_fixture_connect (fixture, request);

  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_one_waiting, fixture));
  return raw;
}

void
server_fixture_check_absent (const raw_peer_t *raw, const char *text)
{
  CU_ASSERT_PTR_NULL (strstr (raw->received->str, text));
}

static struct evbuffer *
buffer_with (const char *text)
{
  struct evbuffer *buffer = evbuffer_new ();

  evbuffer_add (buffer, text, strlen (text));
  return buffer;
}

bool
server_fixture_send_part (http_server_call_t *call, const char *text)
{
  struct evbuffer *buffer = buffer_with (text);
  bool room = http_server_send_part (call, buffer);

  CU_ASSERT_EQUAL (evbuffer_get_length (buffer), 0);
  evbuffer_free (buffer);
  return room;
}
