/* Unit tests of clock, log, counters, latency, mailbox and messages. */
#include "base/clock.h"
#include "base/counters.h"
#include "base/limits.h"
#include "base/latency.h"
#include "base/log.h"
#include "base/mailbox.h"
#include "request/messages.h"
#include "suite.h"

#include <glib.h>
#include <event2/thread.h>
#include <fcntl.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (counter_registry_t, counter_registry_free)

#define LOG_FILL_LIMIT 100000
#define STALL_DEADLINE_S 20

static void
test_clock_paused (void)
{
  clock_source_t clock;

  clock_init_paused (&clock, 5000);
  CU_ASSERT_EQUAL (clock_now_us (&clock), 5000);
  clock_advance (&clock, 7000);
  CU_ASSERT_EQUAL (clock_now_us (&clock), 12000);
  CU_ASSERT_EQUAL (clock_wall_ms (&clock), 12);
}

static void
test_clock_running (void)
{
  clock_source_t clock;
  uint64_t first_us;

  clock_init_running (&clock);
  first_us = clock_now_us (&clock);
  CU_ASSERT (first_us > 0);
  CU_ASSERT (clock_now_us (&clock) >= first_us);
  CU_ASSERT (clock_wall_ms (&clock) > 1600000000000);
}

/**
 * struct capture - standard error redirected into a pipe
 * @saved_fd: the original standard error
 * @read_fd: read end of the pipe; doesn't block
 * @text: what the last capture_read() read
 */
typedef struct
{
  int saved_fd;
  int read_fd;
  char text[4 * LIMIT_LOG_LINE_BYTES];
} capture_t;

static void
capture_begin (capture_t *capture)
{
  int ends[2];

  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  capture->saved_fd = dup (STDERR_FILENO);
  capture->read_fd = ends[0];
  fcntl (ends[0], F_SETFL, O_NONBLOCK);
  dup2 (ends[1], STDERR_FILENO);
  close (ends[1]);
}

static void
capture_read (capture_t *capture)
{
  ssize_t bytes = read (capture->read_fd, capture->text, sizeof capture->text - 1);

  capture->text[MAX (bytes, 0)] = '\0';
}

static void
capture_end (capture_t *capture)
{
  dup2 (capture->saved_fd, STDERR_FILENO);
  close (capture->saved_fd);
  close (capture->read_fd);
}

static const char *
log_event_text (const capture_t *capture)
{
  const char *colon = strstr (capture->text, "]: ");

  return colon != NULL ? colon + 3 : capture->text;
}

static void
test_log_format (void)
{
  static const char pattern[] =
      "^<29>\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z hall-1 "
      "medlarplankd\\[\\d+\\]: placed engine=e-1 load=12 chat=[0-9a-f]{15}f\n$";
  capture_t capture;

  log_init ("medlarplankd", "hall-1", LOG_LEVEL_NOTICE);
  capture_begin (&capture);
  log_event (LOG_LEVEL_INFO, "too_detailed", NULL);
  log_event (LOG_LEVEL_NOTICE, "placed", "engine", "e-1", "left_out", NULL, "load", LOG_U64 (12),
             "chat", LOG_HEX (15), NULL);
  capture_read (&capture);
  capture_end (&capture);
  CU_ASSERT (g_regex_match_simple (pattern, capture.text, 0, 0));
}

/*
 * Guards against forged log lines. A caller may send a chat id that contains a newline and the
 * start of a log line, or a blank and "verdict=ran". If it were logged unchanged, the log would
 * show a line or a field that the daemon did not write. Such values must be quoted and escaped.
 */
static void
test_log_not_forged (void)
{
  capture_t capture;

  capture_begin (&capture);
  log_event (LOG_LEVEL_ERROR, "e", "a", "x\n<27>forged: e", "b", "1 verdict=ran", "c", "", NULL);
  log_event (LOG_LEVEL_ERROR, "e", "d", "\"\\ \xc2\x85\r", "e", "k=v", NULL);
  capture_read (&capture);
  capture_end (&capture);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (capture.text, "]: e a=\"x\\n<27>forged: e\" b=\"1 verdict=ran\" c=\"\"\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (capture.text, "]: e d=\"\\\"\\\\ \\xc2\\x85\\x0d\" e=\"k=v\"\n"));
}

static void
test_log_bounded (void)
{
  char longest[3 * LIMIT_LOG_LINE_BYTES];
  capture_t capture;

  memset (longest, '"', sizeof longest - 1);
  longest[sizeof longest - 1] = '\0';
  capture_begin (&capture);
  log_event (LOG_LEVEL_ERROR, "one", "a", longest, "b", "2", NULL);
  capture_read (&capture);
  CU_ASSERT_PTR_NOT_NULL (strstr (capture.text, "...\" b=2\n"));
  log_event (LOG_LEVEL_ERROR, "e", "a", longest, "b", longest, "c", longest, "d", longest, NULL);
  capture_read (&capture);
  capture_end (&capture);
  CU_ASSERT (strlen (capture.text) <= LIMIT_LOG_LINE_BYTES);
  CU_ASSERT_PTR_NOT_NULL (strstr (capture.text, "\" cut=true\n"));
}

/*
 * Guards against a task that blocks in the log. When the reader of standard error stalls, the pipe
 * fills up, and a blocking write would stop the task with all requests that it serves. Lines must
 * be dropped instead, and the first one written afterwards must report their number. A blocking
 * write would hang this test, so an alarm ends it.
 */
static void
test_log_reader_stalls (void)
{
  capture_t capture;
  uint64_t drained_bytes = 0;

  alarm (STALL_DEADLINE_S);
  capture_begin (&capture);
  for (uint32_t i = 0; i < LOG_FILL_LIMIT; i++)
    log_event (LOG_LEVEL_ERROR, "fill", "i", LOG_U64 (i), NULL);
  do
    {
      capture_read (&capture);
      drained_bytes += strlen (capture.text);
    }
  while (capture.text[0] != '\0');
  log_event (LOG_LEVEL_ERROR, "after", NULL);
  capture_read (&capture);
  capture_end (&capture);
  alarm (0);
  CU_ASSERT (drained_bytes > 0);
  CU_ASSERT (g_str_has_prefix (log_event_text (&capture), "log_lines_dropped count="));
  CU_ASSERT_PTR_NOT_NULL (strstr (capture.text, "]: after\n"));
}

static int
open_log_pipe (int *read_fd)
{
  int ends[2];

  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  fcntl (ends[0], F_SETFL, O_NONBLOCK);
  *read_fd = ends[0];
  log_init ("medlarplankd", "hall-1", LOG_LEVEL_INFO);
  log_open_buffered (ends[1]);
  return ends[1];
}

static char *
read_log_pipe (int fd)
{
  GString *text = g_string_new (NULL);
  char part[8192];
  ssize_t bytes;

  while ((bytes = read (fd, part, sizeof part)) > 0)
    g_string_append_len (text, part, bytes);
  return g_string_free (text, FALSE);
}

/* Return: whether anything was read */
static bool
append_log_pipe (GString *text, int fd)
{
  g_autofree char *part = read_log_pipe (fd);

  g_string_append (text, part);
  return part[0] != '\0';
}

/* A buffered line is not written by itself; a warning flushes it with all buffered lines. */
static void
test_log_buffered (void)
{
  int read_fd;
  int write_fd = open_log_pipe (&read_fd);
  g_autofree char *before = NULL;
  g_autofree char *after = NULL;

  log_flush ();
  log_event (LOG_LEVEL_INFO, "one", NULL);
  log_event (LOG_LEVEL_INFO, "two", NULL);
  before = read_log_pipe (read_fd);
  CU_ASSERT_PTR_NULL (strstr (before, "two"));
  log_event (LOG_LEVEL_WARNING, "three", NULL);
  after = read_log_pipe (read_fd);
  CU_ASSERT_PTR_NOT_NULL (strstr (after, ": two\n"));
  CU_ASSERT (g_str_has_suffix (after, ": three\n"));
  close (read_fd);
  close (write_fd);
}

static void
count_callbacks (void *context)
{
  (*(uint32_t *)context)++;
}

/* Guards against lines that stay in the buffer until another one is logged, and are lost if the
 * process is killed: the callback that starts the flush timer must run whenever the buffer becomes
 * non-empty. */
static void
test_log_flush_callback (void)
{
  uint32_t callbacks = 0;
  int read_fd;
  int write_fd = open_log_pipe (&read_fd);
  g_autofree char *flushed = NULL;

  log_flush ();
  log_set_buffering_callback (count_callbacks, &callbacks);
  log_event (LOG_LEVEL_WARNING, "three", NULL);
  CU_ASSERT_EQUAL (callbacks, 0);
  log_event (LOG_LEVEL_INFO, "one", NULL);
  log_event (LOG_LEVEL_INFO, "two", NULL);
  CU_ASSERT_EQUAL (callbacks, 1);
  log_flush ();
  flushed = read_log_pipe (read_fd);
  CU_ASSERT (g_str_has_suffix (flushed, ": two\n"));
  log_event (LOG_LEVEL_INFO, "three", NULL);
  CU_ASSERT_EQUAL (callbacks, 2);
  log_set_buffering_callback (NULL, NULL);
  log_flush ();
  close (read_fd);
  close (write_fd);
}

/*
 * Guards against the loss of warnings while the reader of a daemon's log stalls and requests
 * continue. The lines of single requests must be dropped first, those of failures must be kept, and
 * the first line after the gap must report how many were dropped. An alarm ends the test if logging
 * blocks.
 */
static void
test_log_keeps_failures (void)
{
  int read_fd;
  int write_fd = open_log_pipe (&read_fd);
  GString *text;

  alarm (STALL_DEADLINE_S);
  for (uint32_t i = 0; i < LOG_FILL_LIMIT; i++)
    log_event (LOG_LEVEL_INFO, "fill", "i", LOG_U64 (i), NULL);
  for (uint32_t i = 0; i < 50; i++)
    log_event (LOG_LEVEL_WARNING, "failure", "i", LOG_U64 (i), NULL);
  text = g_string_new (NULL);
  append_log_pipe (text, read_fd);
  log_event (LOG_LEVEL_WARNING, "end", NULL);
  while (append_log_pipe (text, read_fd))
    log_flush ();
  alarm (0);
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "fill i=0\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "failure i=49\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "log_lines_dropped count="));
  CU_ASSERT (g_str_has_suffix (text->str, "]: end\n"));
  g_string_free (text, TRUE);
  close (read_fd);
  close (write_fd);
}

static void
test_latency_buckets (void)
{
  counter_registry_t *registry = counter_registry_new ();
  latency_t *latency = latency_new (registry, "x_ms", "service=\"s\"", "A time.");
  GString *text = g_string_new (NULL);

  latency_add (latency, 5000);
  latency_add (latency, 5001);
  latency_add (latency, 60 * UINT64_C (1000000));
  counter_registry_write (registry, text);
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "x_ms_bucket{service=\"s\",le=\"5\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "x_ms_bucket{service=\"s\",le=\"10\"} 2\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "x_ms_bucket{service=\"s\",le=\"15000\"} 2\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "x_ms_bucket{service=\"s\",le=\"+Inf\"} 3\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "x_ms_count{service=\"s\"} 3\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "x_ms_sum_us{service=\"s\"} 60010001\n"));
  g_string_free (text, TRUE);
  latency_free (latency);
  counter_registry_free (registry);
}

static char *
write_counters (counter_registry_t *registry)
{
  GString *out = g_string_new (NULL);
  char *own;

  counter_registry_write (registry, out);
  own = strstr (out->str, "# HELP x_");
  own = g_strdup (own != NULL ? own : "");
  g_string_free (out, TRUE);
  return own;
}

static void
test_counters_format (void)
{
  g_autoptr (counter_registry_t) registry = counter_registry_new ();

  counter_add (counter_get (registry, "x_total{reason=\"cold\"}", "All of\nx."), 2);
  counter_add (counter_get (registry, "x_total{reason=\"any\"}", "ignored"), 1);
  counter_set (counter_get (registry, "x_total_bytes", "Bytes."), 7);
  counter_add (counter_get (registry, "x_total", "ignored"), 3);
  counter_add (counter_get (registry, "x_total", "ignored"), 1);
  g_autofree char *text = write_counters (registry);
  CU_ASSERT_STRING_EQUAL (text, "# HELP x_total All of\\nx.\n"
                                "# TYPE x_total counter\n"
                                "x_total 4\n"
                                "x_total{reason=\"any\"} 1\n"
                                "x_total{reason=\"cold\"} 2\n"
                                "# HELP x_total_bytes Bytes.\n"
                                "# TYPE x_total_bytes gauge\n"
                                "x_total_bytes 7\n");
  CU_ASSERT_EQUAL (counter_value (counter_get (registry, "x_total", NULL)), 4);
}

/*
 * Guards against a metric name or label value with a quote or newline. Unescaped, it would make the
 * whole metrics page invalid, so that the scraper would refuse all metrics of the daemon.
 */
static void
test_counters_escaped (void)
{
  g_autoptr (counter_registry_t) registry = counter_registry_new ();

  counter_add (counter_get_labelled (registry, "x_total", "a-b", "q\"b\\n\n", "X."), 1);
  counter_add (counter_get (registry, "x_y z{l=\"broken", "Y."), 2);
  counter_add (counter_get (registry, "x_z{l=\"v\"} 9\nforged 1", "Z."), 3);
  g_autofree char *text = write_counters (registry);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "x_total{a_b=\"q\\\"b\\\\n\\n\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "x_y_z_l__broken 2\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "x_z_l__v___9_forged_1 3\n"));
}

static void
test_counters_bounded (void)
{
  g_autoptr (counter_registry_t) registry = counter_registry_new ();
  counter_t *refused = counter_get (registry, "medlarplank_counters_refused_total", NULL);

  for (uint32_t i = 0; i < LIMIT_COUNTERS + 10; i++)
    counter_add (counter_get_labelled (registry, "x_total", "n", LOG_U64 (i), "X."), 1);
  CU_ASSERT_EQUAL (counter_value (refused), 11);
  CU_ASSERT_EQUAL (counter_value (counter_get (registry, "x_total{n=\"0\"}", NULL)), 1);
}

#define ADDS_PER_THREAD 100000

static gpointer
add_many (gpointer data)
{
  for (uint32_t i = 0; i < ADDS_PER_THREAD; i++)
    counter_add (data, 1);
  return NULL;
}

static void
test_counters_threads (void)
{
  g_autoptr (counter_registry_t) registry = counter_registry_new ();
  counter_t *counter = counter_get (registry, "x_total", "X.");
  GThread *other = g_thread_new ("adder", add_many, counter);

  add_many (counter);
  g_thread_join (other);
  CU_ASSERT_EQUAL (counter_value (counter), 2 * ADDS_PER_THREAD);
}

#define MAILBOX_MESSAGES 150000
#define MAILBOX_BURST 3
#define MAILBOX_DEADLINE_S 30

/** struct test_message - a message with its number and a counter of freed messages */
typedef struct
{
  mailbox_message_t head;
  uint32_t number;
  uint32_t *freed;
} test_message_t;

/**
 * struct mailbox_test - state of a mailbox test
 * @base: event base of the receiver
 * @mailbox: the mailbox under test
 * @read: messages received; atomic, since the sender reads it
 * @closed: the receiver has ended; atomic, since the sender reads it
 * @disordered: messages received out of order
 * @freed: messages freed
 */
typedef struct
{
  struct event_base *base;
  mailbox_t *mailbox;
  gint read;
  gint closed;
  uint32_t disordered;
  uint32_t freed;
} mailbox_test_t;

static void
test_message_free (mailbox_message_t *message)
{
  g_autofree test_message_t *test_message = (test_message_t *)message;

  (*test_message->freed)++;
}

static void
mailbox_test_send (mailbox_test_t *test, uint32_t number)
{
  test_message_t *test_message = g_new0 (test_message_t, 1);

  test_message->head.free = test_message_free;
  test_message->number = number;
  test_message->freed = &test->freed;
  mailbox_send (test->mailbox, &test_message->head);
}

static void
mailbox_test_read (mailbox_message_t *message, void *context)
{
  mailbox_test_t *test = context;
  const test_message_t *test_message = (const test_message_t *)message;

  test->disordered += test_message->number != (uint32_t)test->read;
  g_atomic_int_inc (&test->read);
  if (test->read == MAILBOX_MESSAGES)
    event_base_loopexit (test->base, NULL);
}

static void
mailbox_test_begin (mailbox_test_t *test)
{
  memset (test, 0, sizeof *test);
  test->base = event_base_new ();
  test->mailbox = mailbox_new (test->base, mailbox_test_read, test);
}

static void
mailbox_test_end (mailbox_test_t *test)
{
  mailbox_free (test->mailbox);
  event_base_free (test->base);
}

static gpointer
send_all (gpointer data)
{
  mailbox_test_t *test = data;

  for (gint sent = 0; sent < MAILBOX_MESSAGES && !g_atomic_int_get (&test->closed);
       sent += MAILBOX_BURST)
    {
      for (gint i = 0; i < MAILBOX_BURST; i++)
        mailbox_test_send (test, (uint32_t)(sent + i));
      while (g_atomic_int_get (&test->read) < sent + MAILBOX_BURST &&
             !g_atomic_int_get (&test->closed))
        g_thread_yield ();
    }
  return NULL;
}

/*
 * Guards against a lost wake-up of the receiver between taking a batch and the next wait, which
 * would leave a message unread: the data task would miss a new version or a drain. One thread sends
 * while another receives. The sender waits until each small burst is received, so that no later
 * message can wake the receiver instead; after a lost wake-up the test runs into its deadline.
 */
static void
test_mailbox_threads (void)
{
  struct timeval deadline = { .tv_sec = MAILBOX_DEADLINE_S };
  mailbox_test_t test;
  GThread *sender;

  mailbox_test_begin (&test);
  event_base_loopexit (test.base, &deadline);
  sender = g_thread_new ("sender", send_all, &test);
  event_base_dispatch (test.base);
  g_atomic_int_set (&test.closed, 1);
  g_thread_join (sender);
  CU_ASSERT_EQUAL (test.read, MAILBOX_MESSAGES);
  CU_ASSERT_EQUAL (test.disordered, 0);
  CU_ASSERT_EQUAL (test.freed, MAILBOX_MESSAGES);
  mailbox_test_end (&test);
}

static void
test_mailbox_frees_unread (void)
{
  mailbox_test_t test;

  mailbox_test_begin (&test);
  for (uint32_t i = 0; i < 3; i++)
    mailbox_test_send (&test, i);
  mailbox_test_end (&test);
  CU_ASSERT_EQUAL (test.read, 0);
  CU_ASSERT_EQUAL (test.freed, 3);
}

/*
 * Guards against a leaked reference. Versions and membership snapshots are reference-counted. A
 * message that is freed unread, as when a daemon stops, must drop its reference, or the version is
 * never freed.
 */
static void
test_messages_drop_references (void)
{
  manifest_t manifest = { 0 };
  membership_snapshot_t members = { 0 };
  message_version_t *version = message_new (MESSAGE_VERSION);
  message_members_t *view = message_new (MESSAGE_MEMBERS);

  g_atomic_ref_count_init (&manifest.refs);
  g_atomic_ref_count_init (&members.refs);
  version->manifest = manifest_ref (&manifest);
  view->members = membership_snapshot_ref (&members);
  CU_ASSERT_FALSE (g_atomic_ref_count_compare (&manifest.refs, 1));
  version->head.free (&version->head);
  view->head.free (&view->head);
  CU_ASSERT (g_atomic_ref_count_compare (&manifest.refs, 1));
  CU_ASSERT (g_atomic_ref_count_compare (&members.refs, 1));
}

static void
test_messages_of_every_kind (void)
{
  for (uint32_t kind = MESSAGE_VERSION; kind <= MESSAGE_DRAINED; kind++)
    {
      mailbox_message_t *message = message_new (kind);
      CU_ASSERT_EQUAL (message->kind, kind);
      message->free (message);
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "clock: paused", test_clock_paused },
    { "clock: running", test_clock_running },
    { "log: format of a line", test_log_format },
    { "log: no forged field or line", test_log_not_forged },
    { "log: bounded line", test_log_bounded },
    { "log: a stalled reader", test_log_reader_stalls },
    { "latency: buckets", test_latency_buckets },
    { "counters: text format", test_counters_format },
    { "counters: names and labels are escaped", test_counters_escaped },
    { "counters: bounded", test_counters_bounded },
    { "counters: two threads", test_counters_threads },
    { "mailbox: two threads, in order", test_mailbox_threads },
    { "mailbox: unread messages are freed", test_mailbox_frees_unread },
    { "messages: references are dropped", test_messages_drop_references },
    { "messages: every kind", test_messages_of_every_kind },
    /* log_open_buffered() can't be undone, so the tests that call it are last. */
    { "log: buffered", test_log_buffered },
    { "log: callback for the flush timer", test_log_flush_callback },
    { "log: failures are kept", test_log_keeps_failures },
    CU_TEST_INFO_NULL,
  };

  evthread_use_pthreads ();
  return suite_run ("process", tests);
}
