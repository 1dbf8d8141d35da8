/*
 * Clients of the users' platform. Each thread sends one request after the other to the gateways in
 * turn, each try with an id of its own and on a new connection, and repeats only what the platform's
 * pages allow. Its record tells what was sent and how it was answered.
 */
#define _GNU_SOURCE
#include "net.h"

#include <getopt.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define GATEWAYS_MAX 8
#define CONNECT_MS 1000

static struct
{
  const char *gateways[GATEWAYS_MAX];
  int gateway_count;
  const char *path;
  const char *host;
  const char *key;
  int threads;
  int deadline_ms;
  int pause_ms;
  int seconds;
  int tries;
  int requests;
  bool streams;
} options = { .host = "claims.example", .threads = 1, .deadline_ms = 2500, .seconds = 10, .tries = 2 };

static uint64_t end_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned next_number;

/**
 * struct attempt - one try and its answer
 * @last_event: of the events that came whole
 * @complete: the answer came to its end
 */
typedef struct
{
  char id[32];
  int status;
  int last_event;
  bool complete;
  uint32_t retry_after_ms;
} attempt_t;

static void
make_id (char *id, size_t size)
{
  pthread_mutex_lock (&lock);
  snprintf (id, size, "t%08x%06x", (unsigned)getpid (), ++next_number);
  pthread_mutex_unlock (&lock);
}

/* Takes the whole events from @body, and notes the last one and at which version each was made.
 * Return: bytes taken */
static size_t
take_events (const char *body, size_t count, const char *id, int *last_event)
{
  size_t taken = 0;
  const char *end;

  while ((end = memmem (body + taken, count - taken, "\n\n", 2)))
    {
      int number = 0;
      char of[64] = "";
      char version[32] = "";
      char engine[64] = "";
      int data = 0;

      if (sscanf (body + taken, "id: %d data: %63s %d %31s %63s", &number, of, &data, version,
                  engine) == 5)
        {
          net_record ("event %s %d of=%s version=%s engine=%s", id, number, of, version, engine);
          *last_event = number;
        }
      taken = (size_t)(end + 2 - body);
    }
  return taken;
}

/* Return: whether the stream came to its end */
static bool
read_stream (net_reader_t *reader, uint64_t until_ms, attempt_t *attempt)
{
  char *rest = calloc (1, 1);
  size_t rest_bytes = 0;
  bool complete = false;

  while (net_now_ms () < until_ms)
    {
      uint32_t left_ms = (uint32_t)(until_ms - net_now_ms () + 1);
      char *line = net_take_line (reader, left_ms);
      size_t bytes = line ? strtoul (line, NULL, 16) : 0;
      char *part = line ? net_take (reader, bytes + 2, left_ms) : NULL;
      size_t taken;

      free (line);
      if (!part)
        break;
      complete = bytes == 0;
      rest = realloc (rest, rest_bytes + bytes + 1);
      memcpy (rest + rest_bytes, part, bytes);
      rest_bytes += bytes;
      rest[rest_bytes] = '\0';
      free (part);
      taken = take_events (rest, rest_bytes, attempt->id, &attempt->last_event);
      memmove (rest, rest + taken, rest_bytes - taken + 1);
      rest_bytes -= taken;
      if (complete)
        break;
    }
  free (rest);
  return complete;
}

static void
read_answer (net_reader_t *reader, uint64_t until_ms, attempt_t *attempt)
{
  uint64_t now_ms = net_now_ms ();
  uint32_t left_ms = until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 1;
  net_head_t head;
  const char *retry;
  size_t count;

  if (!net_read_head (reader, &head, left_ms))
    return;
  attempt->status = net_status (&head);
  retry = net_header (&head, "Retry-After");
  attempt->retry_after_ms = retry ? (uint32_t)(atof (retry) * 1000) : 0;
  if (attempt->status == 200 && options.streams)
    attempt->complete = read_stream (reader, until_ms, attempt);
  else
    free (net_read_body (reader, &head, left_ms, &count, &attempt->complete));
  net_record ("answer %s status=%d stamp=%s complete=%d last=%d", attempt->id, attempt->status,
              net_header (&head, "X-Response-Stamp") ? net_header (&head, "X-Response-Stamp") : "-",
              attempt->complete, attempt->last_event);
  net_head_clear (&head);
}

/* @of: the first try of the request, empty for that one */
static void
try_once (attempt_t *attempt,
          const char *gateway,
          uint64_t until_ms,
          const char *of,
          const char *resumes,
          int after)
{
  uint64_t now_ms = net_now_ms ();
  int fd = net_connect (gateway, CONNECT_MS);
  net_reader_t reader;
  char more[160] = "";

  *attempt = (attempt_t){ .last_event = after };
  make_id (attempt->id, sizeof attempt->id);
  if (after > 0)
    snprintf (more, sizeof more, "Last-Event-Id: %d\r\nResumes: %s\r\n", after, resumes);
  net_record ("send %s of=%s to=%s after=%d resumes=%s connected=%d", attempt->id,
              of[0] != '\0' ? of : attempt->id, gateway, after, after > 0 ? resumes : "-", fd >= 0);
  if (fd < 0)
    return;
  net_reader_init (&reader, fd);
  if (net_printf (fd,
                  "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Key: %s\r\n"
                  "X-Deadline-Ms: %llu\r\n%sContent-Length: 4\r\n\r\nwork",
                  options.path, options.host, attempt->id, options.key,
                  (unsigned long long)(until_ms - now_ms), more))
    read_answer (&reader, until_ms, attempt);
  if (attempt->status == 0)
    net_record ("lost %s", attempt->id);
  net_reader_clear (&reader);
  close (fd);
}

static bool
is_promise (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* A stream is taken up after its last event; a request that may run once is repeated only where the
 * answer promises that it has not run. */
static bool
may_repeat (const attempt_t *attempt)
{
  if (attempt->complete && attempt->status < 300)
    return false;
  return is_promise (attempt->status) || options.streams;
}

static void
request (int turn)
{
  uint64_t until_ms = net_now_ms () + (uint64_t)options.deadline_ms;
  char of[32] = "";
  char first[32] = ""; /* that brought the first event */
  int after = 0;
  attempt_t attempt;

  for (int i = 0; i < options.tries; i++)
    {
      uint64_t now_ms = net_now_ms ();
      uint32_t wait_ms;

      if (now_ms + 50 >= until_ms)
        return;
      try_once (&attempt, options.gateways[(turn + i) % options.gateway_count], until_ms, of, first,
                after);
      if (i == 0)
        memcpy (of, attempt.id, sizeof of);
      if (attempt.last_event > after && first[0] == '\0')
        memcpy (first, attempt.id, sizeof first);
      after = attempt.last_event;
      if (!may_repeat (&attempt))
        return;
      now_ms = net_now_ms ();
      wait_ms = until_ms > now_ms ? (uint32_t)(until_ms - now_ms) / 3 : 0;
      net_sleep_ms (attempt.retry_after_ms < wait_ms ? attempt.retry_after_ms : wait_ms);
    }
}

static void *
send_requests (void *context)
{
  int thread = (int)(intptr_t)context;

  for (int i = 0; net_now_ms () < end_ms && (options.requests == 0 || i < options.requests); i++)
    {
      request (thread + i);
      net_sleep_ms ((uint64_t)options.pause_ms);
    }
  return NULL;
}

static void
parse_options (int argc, char **argv)
{
  static const struct option names[] = {
    { "gateway", 1, 0, 'g' },  { "path", 1, 0, 'p' },    { "key", 1, 0, 'k' },
    { "threads", 1, 0, 't' },  { "deadline-ms", 1, 0, 'd' }, { "pause-ms", 1, 0, 'P' },
    { "seconds", 1, 0, 's' },  { "tries", 1, 0, 'T' },   { "streams", 0, 0, 'S' },
    { "record", 1, 0, 'r' },   { "requests", 1, 0, 'n' }, { 0, 0, 0, 0 }
  };
  int option;

  while ((option = getopt_long (argc, argv, "", names, NULL)) != -1)
    switch (option)
      {
      case 'g':
        if (options.gateway_count < GATEWAYS_MAX)
          options.gateways[options.gateway_count++] = optarg;
        break;
      case 'p': options.path = optarg; break;
      case 'k': options.key = optarg; break;
      case 't': options.threads = atoi (optarg); break;
      case 'd': options.deadline_ms = atoi (optarg); break;
      case 'P': options.pause_ms = atoi (optarg); break;
      case 's': options.seconds = atoi (optarg); break;
      case 'T': options.tries = atoi (optarg); break;
      case 'n': options.requests = atoi (optarg); break;
      case 'S': options.streams = true; break;
      case 'r': net_record_open (optarg); break;
      default: exit (2);
      }
  if (options.gateway_count == 0 || !options.path || !options.key)
    exit (2);
}

int
main (int argc, char **argv)
{
  pthread_t *threads;

  parse_options (argc, argv);
  signal (SIGPIPE, SIG_IGN);
  end_ms = net_now_ms () + (uint64_t)options.seconds * 1000;
  threads = calloc ((size_t)options.threads, sizeof *threads);
  for (int i = 0; i < options.threads; i++)
    pthread_create (&threads[i], NULL, send_requests, (void *)(intptr_t)i);
  for (int i = 0; i < options.threads; i++)
    pthread_join (threads[i], NULL);
  free (threads);
  return 0;
}
