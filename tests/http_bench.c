#include "http_bench.h"

#include <CUnit/Basic.h>
#include <string.h>

static void
on_disconnect (void *context)
{
  ((hbn_t *)context)->disconnects++;
}

static void
on_writable (void *context)
{
  ((hbn_t *)context)->writable_count++;
}

static void
on_call (hsv_call_t *call, void *context)
{
  hbn_t *fixture = context;

  fixture->calls++;
  if (fixture->reply_at_once)
    {
      hsv_reply_text (call, 200, "text/plain", hsv_target (call));
      return;
    }
  hsv_on_gone (call, on_disconnect, fixture);
  hsv_on_room (call, on_writable, fixture);
  g_ptr_array_add (fixture->waiting, call);
}

hbn_t *
hbn_new_timeouts (uint32_t idle_timeout_ms, uint32_t request_timeout_ms)
{
  hbn_t *fixture = g_new0 (hbn_t, 1);
  hsv_options_t options = { .body_limit_bytes = HBN_BODY_LIMIT_BYTES,
                            .header_limit_bytes = HBN_HEADER_LIMIT_BYTES,
                            .header_limit_count = 20,
                            .connection_limit = HBN_CONNECTION_LIMIT,
                            .idle_timeout_ms = idle_timeout_ms,
                            .request_timeout_ms = request_timeout_ms,
                            .incomplete_limit_bytes = HBN_COMING_LIMIT_BYTES,
                            .on_call = on_call };
  GError *error = NULL;

  fixture->base = event_base_new ();
  fixture->counters = cnt_set_new ();
  fixture->waiting = g_ptr_array_new ();
  fixture->clients = g_ptr_array_new_with_free_func ((GDestroyNotify)raw_free);
  fixture->address = raw_address ();
  options.base = fixture->base;
  options.counters = fixture->counters;
  options.listen = fixture->address;
  options.context = fixture;
  fixture->hsv = hsv_new (&options, &error);
  g_assert_no_error (error);
  fixture->address.port = hsv_port (fixture->hsv);
  return fixture;
}

hbn_t *
hbn_new (void)
{
  return hbn_new_timeouts (HBN_NO_TIMEOUT_MS, HBN_NO_TIMEOUT_MS);
}

void
hbn_free (hbn_t *fixture)
{
  if (fixture->hsv)
    hsv_free (fixture->hsv);
  g_ptr_array_free (fixture->clients, TRUE);
  g_ptr_array_free (fixture->waiting, TRUE);
  cnt_set_free (fixture->counters);
  event_base_free (fixture->base);
  g_free (fixture);
}

uint64_t
hbn_counted (hbn_t *fixture, const char *name)
{
  return cnt_value (cnt_get (fixture->counters, name, ""));
}

uint64_t
hbn_refused (hbn_t *fixture, const char *reason)
{
  char *name = g_strdup_printf ("medlarplank_http_refused_total{reason=\"%s\"}", reason);
  uint64_t value = hbn_counted (fixture, name);

  g_free (name);
  return value;
}

hsv_call_t *
hbn_call_at (hbn_t *fixture, guint index)
{
  return fixture->waiting->pdata[index];
}

/* Conditions for raw_run_until() */

typedef struct
{
  raw_t *raw;
  const char *text;
} expected_text_t;

static bool
has_received (void *context)
{
  expected_text_t *expected = context;

  return strstr (expected->raw->got->str, expected->text);
}

bool
hbn_ended (void *context)
{
  return ((raw_t *)context)->eof;
}

bool
hbn_one_waits (void *context)
{
  return ((hbn_t *)context)->waiting->len == 1;
}

bool
hbn_two_wait (void *context)
{
  return ((hbn_t *)context)->waiting->len == 2;
}

bool
hbn_one_connected (void *context)
{
  return hbn_counted (context, "medlarplank_http_connections") == 1;
}

bool
hbn_one_gone (void *context)
{
  return ((hbn_t *)context)->disconnects == 1;
}

bool
hbn_not_busy (void *context)
{
  return hsv_busy (((hbn_t *)context)->hsv) == 0;
}

void
hbn_run_until_sees (hbn_t *fixture, raw_t *raw, const char *text)
{
  expected_text_t expected = { raw, text };

  CU_ASSERT_TRUE (raw_run_until (fixture->base, has_received, &expected));
}

raw_t *
hbn_ask (hbn_t *fixture, const char *request)
{
  raw_t *raw = raw_connect (fixture->base, &fixture->address);

  raw_send (raw, request);
  g_ptr_array_add (fixture->clients, raw);
  return raw;
}

raw_t *
hbn_ask_waiting (hbn_t *fixture, const char *request)
{
  raw_t *raw = hbn_ask (fixture, request);

  CU_ASSERT_TRUE (raw_run_until (fixture->base, hbn_one_waits, fixture));
  return raw;
}

void
hbn_check_absent (const raw_t *raw, const char *text)
{
  CU_ASSERT_PTR_NULL (strstr (raw->got->str, text));
}

static struct evbuffer *
buffer_with (const char *text)
{
  struct evbuffer *buffer = evbuffer_new ();

  evbuffer_add (buffer, text, strlen (text));
  return buffer;
}

bool
hbn_part (hsv_call_t *call, const char *text)
{
  struct evbuffer *buffer = buffer_with (text);
  bool room = hsv_part (call, buffer);

  CU_ASSERT_EQUAL (evbuffer_get_length (buffer), 0);
  evbuffer_free (buffer);
  return room;
}
