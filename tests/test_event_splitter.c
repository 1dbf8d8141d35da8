/* Bytes that no run made, put into streams of events: what callers get of them. */
#include "request/event_splitter.h"
#include "suite.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_FIELD "weights"
#define EVENTS_MAX 4
#define BYTE_ORDER_MARK "\xef\xbb\xbf"
#define BYTES(text) text, sizeof (text) - 1

/** struct garbage - bytes to be put in; @next_id: of the event that they are, or 0 */
typedef struct
{
  const char *bytes;
  size_t count;
  uint64_t next_id;
} garbage_t;

static const char *const sound_events[][EVENTS_MAX] = {
  { "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: {\"x\": \"y:z\"}\n\n",
    "id: 4\ndata:\n\n" },
  { "id:1\r\ndata:a\r\n\r\n", "data: b\nid: 2\n\n", "id: 3\nevent: e\ndata: c\ndata: d\n\n",
    "retry: 10\nid: 4\r\ndata: \xc3\xa4\t\n\n" },
  { FIRST_FIELD ": 7\nid: 1\ndata: a\n\n", "id: 2\ndata: b\n\n",
    FIRST_FIELD ":8\nid: 3\ndata: c\n\n", "id: 4\ndata: d\n\n" },
};

static const garbage_t garbage[] = {
  { BYTES ("xx \x01\x7f yy zz\n\n"), 0 },
  { BYTES ("data: junk\n\n"), 0 },
  { BYTES ("\x01\x02junk"), 0 },
  { BYTES ("junk"), 0 },
  { BYTES ("junk\n"), 0 },
  { BYTES ("junk\n\n"), 0 },
  { BYTES ("id: 0\ndata: junk\n\n"), 0 },
  { BYTES ("id: 1\ndata: junk\n\n"), 1 },
  { BYTES ("id: 3\ndata: junk\n\n"), 3 },
  { BYTES ("id: 9000\ndata: junk\n\n"), 0 },
  { BYTES ("id: 2x\ndata: junk\n\n"), 0 },
  { BYTES ("id: +2\ndata: junk\n\n"), 0 },
  { BYTES ("id: 0x2\ndata: junk\n\n"), 0 },
  { BYTES ("id: 18446744073709551618\ndata: junk\n\n"), 0 },
  { BYTES ("id:\ndata: junk\n\n"), 0 },
  { BYTES ("id: 2\n\n"), 0 },
  { BYTES ("id: 9\n"), 0 },
  { BYTES ("event: junk\n\n"), 0 },
  { BYTES ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"), 0 },
  { BYTES ("\n"), 0 },
  { BYTES ("\n\n"), 0 },
  { BYTES ("\r\n\r\n"), 0 },
  { BYTES ("\r"), 0 },
  { BYTES (": junk\n\n"), 0 },
  { BYTES (":junk"), 0 },
  { BYTES ("\0"), 0 },
  { BYTES ("\0\0\n\n"), 0 },
  { BYTES ("\xff\xfe\n\n"), 0 },
  { BYTES ("\xc3"), 0 },
  { BYTES ("\xef\xbb\xbf"), 0 },
  { BYTES ("\xef\xbb"), 0 },
  { BYTES ("retry: 10\n\n"), 0 },
  { BYTES ("retry: junk\n\n"), 0 },
};

/** struct split - a stream under test; @out: what the caller gets */
typedef struct
{
  event_splitter_t splitter;
  struct evbuffer *in;
  GString *out;
} split_t;

static void
split_init (split_t *split, uint64_t start_id)
{
  event_splitter_init (&split->splitter, FIRST_FIELD, start_id);
  split->in = evbuffer_new ();
  split->out = g_string_new (NULL);
}

static void
split_clear (split_t *split)
{
  event_splitter_clear (&split->splitter);
  evbuffer_free (split->in);
  g_string_free (split->out, TRUE);
}

static void
feed (split_t *split, const char *bytes, size_t count)
{
  struct evbuffer *whole = evbuffer_new ();

  evbuffer_add (split->in, bytes, count);
  event_splitter_feed (&split->splitter, split->in, whole);
  g_string_append_len (split->out, (const char *)evbuffer_pullup (whole, -1),
                       (gssize)evbuffer_get_length (whole));
  evbuffer_free (whole);
}

static GString *
join_events (const char *const *events)
{
  GString *text = g_string_new (NULL);

  for (size_t i = 0; i < EVENTS_MAX; i++)
    g_string_append (text, events[i]);
  return text;
}

/* Return: the number of the event that has the byte @at; whether that is its first byte */
static size_t
event_at (const char *const *events, size_t at, bool *is_start)
{
  size_t i;

  for (i = 0; i < EVENTS_MAX && at >= strlen (events[i]); i++)
    at -= strlen (events[i]);
  *is_start = at == 0;
  return i;
}

/* Return: whether @text starts with an event that has the id of the sound one and nothing but text
 * in its fields; @bytes: its length */
static bool
is_altered_event (const char *text, const char *end, uint64_t id, size_t *bytes)
{
  uint32_t ids = 0;
  const char *line = text;

  while (line < end)
    {
      const char *line_end = memchr (line, '\n', (size_t)(end - line));

      if (!line_end)
        return false;
      if (line_end == line || (line_end == line + 1 && *line == '\r'))
        {
          *bytes = (size_t)(line_end + 1 - text);
          return ids == 1;
        }
      if (strncmp (line, "id:", 3) == 0)
        {
          char *rest;

          ids++;
          if (strtoull (line + 3, &rest, 10) != id || (*rest != '\n' && *rest != '\r'))
            return false;
        }
      else if (strncmp (line, "data:", 5) != 0 && strncmp (line, "event:", 6) != 0 &&
               strncmp (line, "retry:", 6) != 0 &&
               (line != text || strncmp (line, FIRST_FIELD ":", sizeof FIRST_FIELD) != 0))
        return false;
      for (; line < line_end; line++)
        if (*(const unsigned char *)line < ' ' && *line != '\t' &&
            (*line != '\r' || line + 1 < line_end))
          return false;
      line = line_end + 1;
    }
  return false;
}

/* Whether a caller may get @out: whole sound events in their order. Bytes within an event that make
 * another one with its id can't be told from what a run made. */
static bool
is_right (const char *const *events, size_t at, const GString *out)
{
  bool is_start;
  size_t broken = event_at (events, at, &is_start);
  const char *text = out->str;
  const char *end = out->str + out->len;

  for (size_t i = 0; i < EVENTS_MAX && text < end; i++)
    {
      size_t bytes = strlen (events[i]);

      if (g_str_has_prefix (text, events[i]))
        {
          text += bytes;
          continue;
        }
      if (i != broken || is_start || !is_altered_event (text, end, i + 1, &bytes))
        return false;
      text += bytes;
    }
  return text == end && strlen (out->str) == out->len;
}

/* Feeds the stream in two parts, or byte by byte if @first_bytes is 0. */
static void
play (const char *const *events, const GString *text, size_t at, size_t first_bytes)
{
  split_t split;
  bool right;

  split_init (&split, 0);
  if (first_bytes > 0)
    feed (&split, text->str, first_bytes);
  for (size_t i = first_bytes; i<text->len; i += first_bytes> 0 ? text->len : 1)
    feed (&split, text->str + i, first_bytes > 0 ? text->len - i : 1);
  event_splitter_finish (&split.splitter);
  right = is_right (events, at, split.out) &&
          (split.splitter.fault != EVENT_FAULT_NONE || split.splitter.event_count == EVENTS_MAX);
  if (!right)
    {
      g_autofree char *in = g_strescape (text->str, NULL);
      g_autofree char *out = g_strescape (split.out->str, NULL);

      printf ("\n    bytes at %zu, first part of %zu, fault %s: \"%s\" gave \"%s\"", at,
              first_bytes, event_fault_to_string (split.splitter.fault), in, out);
    }
  CU_ASSERT (right);
  split_clear (&split);
}

static void
test_only_events_of_the_run_are_forwarded (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sound_events); i++)
    {
      g_autoptr (GString) sound = join_events (sound_events[i]);

      for (size_t at = 0; at <= sound->len; at++)
        for (size_t kind = 0; kind < G_N_ELEMENTS (garbage); kind++)
          {
            g_autoptr (GString) text = g_string_new_len (sound->str, (gssize)sound->len);
            bool is_start;
            size_t before = event_at (sound_events[i], at, &is_start);

            if (is_start && garbage[kind].next_id == before + 1)
              continue; /* the next event by its form */
            g_string_insert_len (text, (gssize)at, garbage[kind].bytes,
                                 (gssize)garbage[kind].count);
            for (size_t first = 0; first < text->len; first++)
              play (sound_events[i], text, at, first);
          }
    }
}

/* Guards against streams that break off at DEL, which JSON need not escape. */
static void
test_delete_in_data_is_forwarded (void)
{
  static const char text[] = "id: 1\ndata: \"a\x7f\"\n\n";
  split_t split;

  split_init (&split, 0);
  feed (&split, text, strlen (text));
  CU_ASSERT_STRING_EQUAL (split.out->str, text);
  split_clear (&split);
}

static void
test_sound_streams_are_forwarded (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sound_events); i++)
    {
      g_autoptr (GString) sound = join_events (sound_events[i]);

      for (size_t step = 1; step <= sound->len; step++)
        {
          split_t split;

          split_init (&split, 0);
          for (size_t at = 0; at < sound->len; at += step)
            feed (&split, sound->str + at, MIN (step, sound->len - at));
          event_splitter_finish (&split.splitter);
          CU_ASSERT_STRING_EQUAL (split.out->str, sound->str);
          CU_ASSERT_EQUAL (split.splitter.fault, EVENT_FAULT_NONE);
          CU_ASSERT_EQUAL (split.splitter.event_count, EVENTS_MAX);
          CU_ASSERT_EQUAL (split.splitter.last_id, EVENTS_MAX);
          split_clear (&split);
        }
    }
}

/* Guards against sound streams that break off at what holds no event. */
static void
test_marks_and_reconnection_times_are_dropped (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sound_events); i++)
    {
      g_autoptr (GString) sound = join_events (sound_events[i]);
      g_autoptr (GString) text = g_string_new (BYTE_ORDER_MARK "retry: 3000\n\n");

      for (size_t event = 0; event < EVENTS_MAX; event++)
        g_string_append_printf (text, "%s: c\r\nretry:5\r\n\r\nretry: 0\n\n",
                                sound_events[i][event]);
      for (size_t step = 1; step <= text->len; step++)
        {
          split_t split;

          split_init (&split, 0);
          for (size_t at = 0; at < text->len; at += step)
            feed (&split, text->str + at, MIN (step, text->len - at));
          event_splitter_finish (&split.splitter);
          CU_ASSERT_STRING_EQUAL (split.out->str, sound->str);
          CU_ASSERT_EQUAL (split.splitter.fault, EVENT_FAULT_NONE);
          split_clear (&split);
        }
    }
}

static void
test_each_response_may_begin_with_a_mark (void)
{
  split_t split;

  split_init (&split, 0);
  feed (&split, BYTES (BYTE_ORDER_MARK "id: 1\ndata: a\n\nid: 2\nda"));
  event_splitter_resume (&split.splitter);
  feed (&split, BYTES (BYTE_ORDER_MARK "id: 2\ndata: b\n\n" BYTE_ORDER_MARK "id: 3\ndata: c\n\n"));
  CU_ASSERT_STRING_EQUAL (split.out->str, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CU_ASSERT_EQUAL (split.splitter.fault, EVENT_FAULT_MALFORMED);
  split_clear (&split);
}

static void
expect_after (uint64_t start_id, const char *text, const char *out, event_fault_t fault)
{
  split_t split;

  split_init (&split, start_id);
  feed (&split, text, strlen (text));
  event_splitter_finish (&split.splitter);
  CU_ASSERT_STRING_EQUAL (split.out->str, out);
  CU_ASSERT_EQUAL (split.splitter.fault, fault);
  split_clear (&split);
}

static void
test_resumed_stream_has_no_gap (void)
{
  expect_after (12, "id: 13\ndata: a\n\n", "id: 13\ndata: a\n\n", EVENT_FAULT_NONE);
  expect_after (12, "", "", EVENT_FAULT_NONE);
  expect_after (12, "id: 14\ndata: a\n\n", "", EVENT_FAULT_OUT_OF_ORDER);
  expect_after (2, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", "id: 3\ndata: c\n\n",
                EVENT_FAULT_NONE);
  expect_after (2, "id: 1\ndata: a\n\nid: 3\ndata: c\n\n", "", EVENT_FAULT_OUT_OF_ORDER);
  expect_after (2, "id: 3\ndata: c\n\nid: 3\ndata: c\n\n", "id: 3\ndata: c\n\n",
                EVENT_FAULT_OUT_OF_ORDER);
  expect_after (12, BYTE_ORDER_MARK, "", EVENT_FAULT_NONE);
  expect_after (12, "\xef\xbb", "", EVENT_FAULT_UNFINISHED);
  expect_after (12, BYTE_ORDER_MARK BYTE_ORDER_MARK "id: 13\ndata: a\n\n", "",
                EVENT_FAULT_MALFORMED);
  expect_after (UINT64_MAX, "id: 0\ndata: a\n\n", "", EVENT_FAULT_OUT_OF_ORDER);
}

static void
test_dropped_response_leaves_no_gap (void)
{
  split_t split;

  split_init (&split, 0);
  feed (&split, BYTES ("id: 1\ndata: a\n\njunk\n\n"));
  CU_ASSERT_EQUAL (split.splitter.fault, EVENT_FAULT_MALFORMED);
  CU_ASSERT_STRING_EQUAL (split.splitter.sample, "junk");
  event_splitter_restart (&split.splitter);
  feed (&split, BYTES ("id: 1\ndata: a\n\n"));
  CU_ASSERT_STRING_EQUAL (split.out->str, "id: 1\ndata: a\n\nid: 1\ndata: a\n\n");
  split_clear (&split);
}

static void
test_comments_without_end_break_the_stream (void)
{
  split_t split;

  split_init (&split, 0);
  for (size_t fed = 0; fed <= EVENT_SPLITTER_LIMIT_BYTES; fed += 4)
    feed (&split, BYTES (":x\n\n"));
  CU_ASSERT_EQUAL (split.splitter.fault, EVENT_FAULT_OVERSIZED);
  CU_ASSERT_EQUAL (split.out->len, 0);
  split_clear (&split);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_only_events_of_the_run_are_forwarded),
                                       SUITE_TEST (test_sound_streams_are_forwarded),
                                       SUITE_TEST (test_delete_in_data_is_forwarded),
                                       SUITE_TEST (test_marks_and_reconnection_times_are_dropped),
                                       SUITE_TEST (test_each_response_may_begin_with_a_mark),
                                       SUITE_TEST (test_resumed_stream_has_no_gap),
                                       SUITE_TEST (test_dropped_response_leaves_no_gap),
                                       SUITE_TEST (test_comments_without_end_break_the_stream),
                                       CU_TEST_INFO_NULL };

  return suite_run ("event_splitter", tests);
}
