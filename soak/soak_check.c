/* The promises, by what callers got and what upstreams say that they began. */
#include "soak.h"

#include <stdlib.h>
#include <string.h>

/** struct begun - what upstreams began of one request */
typedef struct
{
  uint32_t count;
} begun_t;

/** struct book - all records: request id -> begun_t; instance -> when it had told that it leaves */
typedef struct
{
  sok_t *sok;
  GHashTable *begun;
  GHashTable *leaving;
  GHashTable *sent;
} book_t;

static bool
was_calm (const sok_t *sok, uint64_t from_us, uint64_t to_us)
{
  uint64_t margin_us = (uint64_t)SOK_CALM_MS * 1000;

  for (guint i = 0; i < sok->disturbances->len; i++)
    {
      const sok_span_t *span = &g_array_index (sok->disturbances, sok_span_t, i);

      if (span->from_us < to_us && span->to_us + margin_us > from_us)
        return false;
    }
  return true;
}

static uint64_t
steady_us (int64_t wall_ms)
{
  return sok_now_us () - (uint64_t)(g_get_real_time () - wall_ms * 1000);
}

static void
take_begin (book_t *book, char **fields)
{
  const char *id = fields[2];
  begun_t *begun = g_hash_table_lookup (book->begun, id);
  const uint64_t *left_us = g_hash_table_lookup (book->leaving, fields[3]);
  uint64_t at_us = steady_us (g_ascii_strtoll (fields[1], NULL, 10));

  if (!begun)
    {
      begun = g_new0 (begun_t, 1);
      g_hash_table_insert (book->begun, g_strdup (id), begun);
    }
  begun->count++;
  if (!g_hash_table_contains (book->sent, id))
    sok_fail (book->sok, "an upstream ran %s, which no caller sent", id);
  if (strcmp (fields[4], "alpha") != 0)
    sok_fail (book->sok, "an upstream ran %s for the account %s", id, fields[4]);
  if (strcmp (fields[6], "-") != 0)
    sok_fail (book->sok, "an upstream saw the key of %s", id);
  if (left_us && at_us > *left_us + (uint64_t)SOK_DRAIN_MS * 1000 &&
      was_calm (book->sok, *left_us, at_us))
    sok_fail (book->sok, "%s began on %s, which had told %u ms before that it leaves", id,
              fields[3], (unsigned)((at_us - *left_us) / 1000));
}

static void
take_line (book_t *book, const char *line)
{
  g_auto (GStrv) fields = g_strsplit (line, " ", 7);

  if (g_strv_length (fields) != 7)
    return;
  if (strcmp (fields[0], "begin") == 0)
    take_begin (book, fields);
  else if (strcmp (fields[0], "leaving") == 0 && !g_hash_table_contains (book->leaving, fields[3]))
    {
      uint64_t *at_us = g_new (uint64_t, 1);

      *at_us = steady_us (g_ascii_strtoll (fields[1], NULL, 10));
      g_hash_table_insert (book->leaving, g_strdup (fields[3]), at_us);
    }
}

static void
read_records (book_t *book)
{
  for (uint32_t i = 0; i < SOK_UPSTREAMS; i++)
    {
      g_autofree char *path = g_strdup_printf ("%s/upstream-%u.record", book->sok->dir, i);
      g_autofree char *text = NULL;

      if (!g_file_get_contents (path, &text, NULL, NULL))
        {
          sok_fail (book->sok, "%s can't be read", path);
          return;
        }
      g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
      for (char **line = lines; *line; line++)
        take_line (book, *line);
    }
}

static void
check_plain (const sok_call_t *call)
{
  g_autofree char *expected = g_strdup_printf ("answer to %s by %s\n", call->id, call->stamp);

  if (strcmp (call->body->str, expected) != 0)
    sok_fail (call->sok, "%s was answered by \"%s\", stamp %s", call->id, call->body->str,
              call->stamp);
}

/* Whole events in order, each once, and no other request's; only the end may be missing. */
static void
check_stream (const sok_call_t *call)
{
  GString *expected = g_string_new (NULL);

  for (uint32_t event = 1; event <= SOK_EVENTS; event++)
    g_string_append_printf (expected, "id: %u\ndata: %s %u\n\n", event, call->id, event);
  if (!g_str_has_prefix (expected->str, call->body->str))
    sok_fail (call->sok, "%s got events out of order: \"%s\"", call->id, call->body->str);
  else if (call->whole && strcmp (expected->str, call->body->str) != 0)
    sok_fail (call->sok, "%s got a part that looks whole: \"%s\"", call->id, call->body->str);
  g_string_free (expected, TRUE);
}

static bool
is_promise (int status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

static void
check_call (const book_t *book, const sok_call_t *call)
{
  const begun_t *begun = g_hash_table_lookup (book->begun, call->id);
  uint32_t count = begun ? begun->count : 0;
  bool repeatable = call->kind == SOK_LOOK || call->kind == SOK_TALK;

  if (!repeatable && count > 1)
    sok_fail (book->sok, "%s, which may run once, ran %u times", call->id, count);
  if (repeatable && count > 2)
    sok_fail (book->sok, "%s ran on %u upstreams, its route allows two", call->id, count);
  if (call->whole && is_promise (call->status) && count > 0)
    sok_fail (book->sok, "%s was answered %d and ran", call->id, call->status);
  if (!call->known_key && (count > 0 || call->status == 200))
    sok_fail (book->sok, "%s ran with a key that nobody has", call->id);
  if (call->status != 200)
    return;
  if (call->kind == SOK_TALK || call->kind == SOK_TELL)
    check_stream (call);
  else if (call->whole)
    check_plain (call);
}

/* A process that has served a version's route must not deny it later. */
static void
check_versions (sok_t *sok)
{
  uint32_t highest[SOK_GATEWAYS] = { 0 };
  uint64_t since_us[SOK_GATEWAYS] = { 0 };
  uint32_t incarnation[SOK_GATEWAYS] = { 0 };

  for (guint i = 0; i < sok->calls->len; i++)
    {
      const sok_call_t *call = g_ptr_array_index (sok->calls, i);
      uint32_t at = call->gateway;

      if (call->incarnation != incarnation[at])
        highest[at] = 0;
      incarnation[at] = call->incarnation;
      if (call->status == 200 && call->version > highest[at] &&
          sok->starts[at] >= call->incarnation)
        {
          highest[at] = call->version;
          since_us[at] = call->ended_us;
        }
      if (call->status == 404 && call->version <= highest[at] && call->sent_us > since_us[at])
        sok_fail (sok, "gateway %u denied version %u's route (%s) after it had served version %u",
                  at, call->version, call->id, highest[at]);
      if ((call->status == 404 && call->version <= 1) || (call->status == 401 && call->known_key))
        sok_fail (sok, "gateway %u denied %s by %d", at, call->id, call->status);
    }
}

/* After all has healed every gateway serves every kind again, with the newest version. */
static void
check_recovery (sok_t *sok)
{
  guint first = sok->calls->len;

  for (uint32_t i = 0; i < SOK_GATEWAYS; i++)
    {
      for (uint32_t kind = 0; kind < SOK_KINDS; kind++)
        for (uint32_t k = 0; k < 4; k++)
          sok_ask (sok, i, kind, 0, true);
      if (sok->acked_version > 1)
        sok_ask (sok, i, SOK_LOOK, sok->acked_version, true);
    }
  sok_turn (sok, 3000);
  for (guint i = first; i < sok->calls->len; i++)
    {
      const sok_call_t *call = g_ptr_array_index (sok->calls, i);
      bool own_failure = call->stamp[0] != '\0' && call->status == 500;

      /* an upstream fails or loses a few plain answers by itself */
      if ((call->status != 200 || !call->whole) && !own_failure && call->status != 502)
        sok_fail (sok, "after all had healed, gateway %u answered %s (kind %u, version %u) by %d",
                  call->gateway, call->id, call->kind, call->version, call->status);
    }
}

void
sok_check (sok_t *sok)
{
  book_t book = { .sok = sok };

  check_recovery (sok);
  book.begun = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  book.leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  book.sent = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < sok->calls->len; i++)
    g_hash_table_add (book.sent, ((sok_call_t *)g_ptr_array_index (sok->calls, i))->id);
  read_records (&book);
  for (guint i = 0; i < sok->calls->len; i++)
    check_call (&book, g_ptr_array_index (sok->calls, i));
  check_versions (sok);
  g_hash_table_destroy (book.begun);
  g_hash_table_destroy (book.leaving);
  g_hash_table_destroy (book.sent);
}
