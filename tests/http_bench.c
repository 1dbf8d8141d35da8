#include "http_bench.h"

#include <CUnit/Basic.h>
#include <string.h>

static void
on_gone (void *context)
{
  ((hbn_t *)context)->gone++;
}

static void
on_room (void *context)
{
  ((hbn_t *)context)->rooms++;
}

static void
on_call (hsv_call_t *call, void *context)
{
  hbn_t *bench = context;

  bench->calls++;
  if (bench->now)
    {
      hsv_reply_text (call, 200, "text/plain", hsv_target (call));
      return;
    }
  hsv_on_gone (call, on_gone, bench);
  hsv_on_room (call, on_room, bench);
  g_ptr_array_add (bench->waiting, call);
}

hbn_t *
hbn_new_timeouts (uint32_t idle_timeout_ms, uint32_t request_timeout_ms)
{
  hbn_t *bench = g_new0 (hbn_t, 1);
  hsv_options_t options = { .body_limit_bytes = HBN_BODY_LIMIT_BYTES,
                            .header_limit_bytes = HBN_HEADER_LIMIT_BYTES,
                            .header_limit_count = 20,
                            .connection_limit = HBN_CONNECTION_LIMIT,
                            .idle_timeout_ms = idle_timeout_ms,
                            .request_timeout_ms = request_timeout_ms,
                            .coming_limit_bytes = HBN_COMING_LIMIT_BYTES,
                            .on_call = on_call };
  GError *error = NULL;

  bench->base = event_base_new ();
  bench->counters = cnt_set_new ();
  bench->waiting = g_ptr_array_new ();
  bench->raws = g_ptr_array_new_with_free_func ((GDestroyNotify)raw_free);
  bench->address = raw_address ();
  options.base = bench->base;
  options.counters = bench->counters;
  options.listen = bench->address;
  options.context = bench;
  bench->hsv = hsv_new (&options, &error);
  g_assert_no_error (error);
  bench->address.port = hsv_port (bench->hsv);
  return bench;
}

hbn_t *
hbn_new (void)
{
  return hbn_new_timeouts (HBN_NO_TIMEOUT_MS, HBN_NO_TIMEOUT_MS);
}

void
hbn_free (hbn_t *bench)
{
  if (bench->hsv)
    hsv_free (bench->hsv);
  g_ptr_array_free (bench->raws, TRUE);
  g_ptr_array_free (bench->waiting, TRUE);
  cnt_set_free (bench->counters);
  event_base_free (bench->base);
  g_free (bench);
}

uint64_t
hbn_counted (hbn_t *bench, const char *name)
{
  return cnt_value (cnt_get (bench->counters, name, ""));
}

uint64_t
hbn_refused (hbn_t *bench, const char *reason)
{
  char *name = g_strdup_printf ("medlarplank_http_refused_total{reason=\"%s\"}", reason);
  uint64_t value = hbn_counted (bench, name);

  g_free (name);
  return value;
}

hsv_call_t *
hbn_call_at (hbn_t *bench, guint index)
{
  return bench->waiting->pdata[index];
}

/* conditions of raw_run_until() */

typedef struct
{
  raw_t *raw;
  const char *text;
} sees_t;

static bool
sees (void *context)
{
  sees_t *expected = context;

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
  return ((hbn_t *)context)->gone == 1;
}

bool
hbn_not_busy (void *context)
{
  return hsv_busy (((hbn_t *)context)->hsv) == 0;
}

void
hbn_run_until_sees (hbn_t *bench, raw_t *raw, const char *text)
{
  sees_t expected = { raw, text };

  CU_ASSERT_TRUE (raw_run_until (bench->base, sees, &expected));
}

raw_t *
hbn_ask (hbn_t *bench, const char *request)
{
  raw_t *raw = raw_connect (bench->base, &bench->address);

  raw_send (raw, request);
  g_ptr_array_add (bench->raws, raw);
  return raw;
}

raw_t *
hbn_ask_waiting (hbn_t *bench, const char *request)
{
  raw_t *raw = hbn_ask (bench, request);

  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_one_waits, bench));
  return raw;
}

void
hbn_check_absent (const raw_t *raw, const char *text)
{
  CU_ASSERT_PTR_NULL (strstr (raw->got->str, text));
}

static struct evbuffer *
bytes_of (const char *text)
{
  struct evbuffer *buffer = evbuffer_new ();

  evbuffer_add (buffer, text, strlen (text));
  return buffer;
}

bool
hbn_part (hsv_call_t *call, const char *text)
{
  struct evbuffer *buffer = bytes_of (text);
  bool room = hsv_part (call, buffer);

  CU_ASSERT_EQUAL (evbuffer_get_length (buffer), 0);
  evbuffer_free (buffer);
  return room;
}
