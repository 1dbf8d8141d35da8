/* Clients and the operator of the users' platform, for the review.
 *
 * client publish STORE FILE             writes FILE as the configuration (op/config); exit status 0 when it was accepted
 * client put STORE TOPIC KEY VALUE      appends a record of another writer to a keyed topic; exit status 0 when it was accepted
 * client ready READY-ADDRESS SECONDS    waits until GET /readyz says 200; exit status 1 when it doesn't
 * client herd --target IP:PORT --ready IP:PORT --phases RATE:SECONDS,... --hold-s N --record FILE [--path /p/] [--host H] [--key K]
 * client upload: as load, but each client sends one request, all at the same time, with its body in parts of 64 KiB each 100 ms
 * client load --targets IP:PORT,... --per-s N --seconds N --record FILE [--method POST] [--path /p/] [--host H]
 *             [--key K] [--deadline-ms N] [--body-bytes N] [--clients N] [--id-prefix TEXT]
 *             [--prompts N: requests of a model, with one of N shared parts] [--turns N: and as many more,
 *             as of a chat that has returned so often] [--part ID: and that one, the last before the request's own]
 *
 * herd: the tries of 76 clients to open connections. Each try sends one request on its connection, reads the answer, and
 * keeps the connection for reuse for hold-s seconds, then closes it. Beside them the gateway is asked GET /readyz once a
 * second. The record gets "try MS CLIENT taken STATUS" or "try MS CLIENT refused" and "ready MS STATUS".
 *
 * load: each client keeps a connection to one gateway and opens a new one when that was closed. Each request has an id
 * of its own, and none is sent again. The record gets "sent MS ID" and "answer MS ID STATUS STAMP", with status 0 where
 * no answer came, and 1 where the connection was closed before anything of the request was sent.
 */
#include "net.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const char *method = "POST", *path = "/", *host = "claims.example", *key, *record_path, *prefix = "r", *part = "";
static char *targets[16];
static int target_count, body_bytes, prompts, turns, clients = 12, deadline_ms = 1000;
static double per_s = 10, seconds = 10, started_s;
static atomic_uint numbers;
static FILE *record;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
write_record (const char *what, const char *id, int status, const char *stamp)
{
  pthread_mutex_lock (&lock);
  if (status < 0)
    fprintf (record, "%s %lld %s\n", what, (long long)now_ms (), id);
  else
    fprintf (record, "%s %lld %s %d %s\n", what, (long long)now_ms (), id, status, stamp);
  fflush (record);
  pthread_mutex_unlock (&lock);
}

static int
publish (const char *store, const char *file)
{
  static char text[1 << 20];
  FILE *in = fopen (file, "r");
  size_t bytes = in ? fread (text, 1, sizeof text - 1, in) : 0;

  while (bytes > 0 && text[bytes - 1] == '\n')
    bytes--;
  text[bytes] = '\0';
  return bytes > 0 && store_put (store, "keyed.op", "config", text) == 200 ? 0 : 1;
}

static int
ask_ready (const char *address)
{
  int fd = net_connect (address, 500);
  reader_t *reader = malloc (sizeof *reader);
  message_t answer = { .body = NULL };
  int status = 0;

  if (fd >= 0)
    {
      net_set_timeout (fd, 1000);
      reader_init (reader, fd);
      if (net_printf (fd, "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") && reader_message (reader, &answer))
        sscanf (answer.head, "HTTP/1.1 %d", &status);
      close (fd);
    }
  message_clear (&answer);
  free (reader);
  return status;
}

static int
wait_ready (const char *address, double limit_s)
{
  double until_s = now_s () + limit_s;

  while (now_s () < until_s)
    {
      if (ask_ready (address) == 200)
        return 0;
      usleep (50000);
    }
  return 1;
}

static bool
send_request (int fd, const char *id, const char *body)
{
  unsigned prompt = prompts > 0 ? (unsigned)strtoul (id + strlen (prefix), NULL, 16) % (unsigned)prompts : 0;
  char model[1024] = "";

  if (prompts > 0)
    {
      int length = snprintf (model, sizeof model,
                             "X-Model: m\r\nX-Token-Count: 11812,380\r\nX-Prompt-Prefix: 5c1e07a2:512,91bd3%03x:10000", prompt);

      for (int turn = 1; turn <= turns; turn++)
        length += snprintf (model + length, sizeof model - (size_t)length, ",7e%03x%03x:60", prompt, turn);
      snprintf (model + length, sizeof model - (size_t)length, "%s%s%s,%s:1300\r\n", *part ? "," : "", part,
                *part ? ":60" : "", id + strlen (prefix));
    }
  return net_printf (fd,
                     "%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%s%s%s"
                     "Content-Length: %d\r\n\r\n",
                     method, path, id, host, id, deadline_ms, model, key ? "X-Key: " : "", key ? key : "",
                     key ? "\r\n" : "", body_bytes) &&
         net_write (fd, body, (size_t)body_bytes);
}

static void *
run_client (void *context)
{
  unsigned number = (unsigned)(uintptr_t)context;
  const char *target = targets[number % (unsigned)target_count];
  reader_t *reader = malloc (sizeof *reader);
  message_t *answer = malloc (sizeof *answer);
  char *body = calloc (1, (size_t)body_bytes + 1);
  int fd = -1;

  memset (body, 'x', (size_t)body_bytes);
  while (true)
    {
      unsigned mine = atomic_fetch_add (&numbers, 1);
      double at_s = started_s + mine / per_s;
      char id[64], stamp[128] = "-", close_text[32] = "";
      int status = 0;

      if (at_s >= started_s + seconds)
        break;
      if (at_s > now_s ())
        usleep ((unsigned)((at_s - now_s ()) * 1e6));
      snprintf (id, sizeof id, "%s%08x", prefix, mine);
      if (fd < 0)
        {
          fd = net_connect (target, 1000);
          reader_init (reader, fd);
        }
      if (fd < 0)
        continue;
      net_set_timeout (fd, deadline_ms + 2000);
      write_record ("sent", id, -1, "");
      if (!send_request (fd, id, body))
        status = 1;
      else if (reader_message (reader, answer))
        {
          sscanf (answer->head, "HTTP/1.1 %d", &status);
          header_get (answer->head, "X-Response-Stamp", stamp, sizeof stamp);
          header_get (answer->head, "Connection", close_text, sizeof close_text);
          message_clear (answer);
        }
      write_record ("answer", id, status, stamp);
      if (status <= 1 || strcmp (close_text, "close") == 0)
        {
          close (fd);
          fd = -1;
        }
    }
  if (fd >= 0)
    close (fd);
  return NULL;
}

#define PART_BYTES 65536
#define PART_US 100000

static bool
send_in_parts (int fd, const char *id, const char *body)
{
  int bytes = body_bytes;
  bool sent;

  sent = net_printf (fd,
                     "%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%s%s"
                     "Content-Length: %d\r\n\r\n",
                     method, path, id, host, id, deadline_ms, key ? "X-Key: " : "", key ? key : "",
                     key ? "\r\n" : "", bytes);
  for (int at = 0; sent && at < bytes; at += PART_BYTES)
    {
      sent = net_write (fd, body + at, (size_t)(bytes - at < PART_BYTES ? bytes - at : PART_BYTES));
      usleep (PART_US);
    }
  return sent;
}

static void *
run_upload (void *context)
{
  unsigned number = (unsigned)(uintptr_t)context;
  reader_t *reader = malloc (sizeof *reader);
  message_t *answer = malloc (sizeof *answer);
  char *body = calloc (1, (size_t)body_bytes + 1);
  char id[64], stamp[128] = "-";
  int status = 0;
  int fd = net_connect (targets[number % (unsigned)target_count], 1000);

  memset (body, 'x', (size_t)body_bytes);
  snprintf (id, sizeof id, "%s%08x", prefix, number);
  write_record ("sent", id, -1, "");
  if (fd >= 0)
    {
      reader_init (reader, fd);
      if (send_in_parts (fd, id, body) && reader_message (reader, answer))
        {
          sscanf (answer->head, "HTTP/1.1 %d", &status);
          header_get (answer->head, "X-Response-Stamp", stamp, sizeof stamp);
        }
      close (fd);
    }
  write_record ("answer", id, status, stamp);
  return NULL;
}

#define HERD_CLIENTS 76
#define HERD_THREADS 128
#define HELD_MAX 16384

typedef struct
{
  int fd;
  double until_s;
} held_t;

static held_t held[HELD_MAX];
static unsigned held_first, held_end;
static double hold_s = 12, phase_rate[8], phase_s[8];
static int phases;
static const char *ready_address;
static atomic_bool herd_ended;

/* Return: when the try of that number is due, after the start; -1 after the last one */
static double
due_s (unsigned number)
{
  double first = 0;
  double at_s = 0;

  for (int i = 0; i < phases; i++)
    {
      double count = phase_rate[i] * phase_s[i];

      if (number < first + count)
        return at_s + (number - first) / phase_rate[i];
      first += count;
      at_s += phase_s[i];
    }
  return -1;
}

static void
hold (int fd)
{
  pthread_mutex_lock (&lock);
  held[held_end++ % HELD_MAX] = (held_t){ fd, now_s () + hold_s };
  pthread_mutex_unlock (&lock);
}

static void *
close_held (void *context)
{
  (void)context;
  while (!herd_ended)
    {
      pthread_mutex_lock (&lock);
      while (held_first < held_end && held[held_first % HELD_MAX].until_s <= now_s ())
        close (held[held_first++ % HELD_MAX].fd);
      pthread_mutex_unlock (&lock);
      usleep (10000);
    }
  return NULL;
}

static void *
ask_ready_often (void *context)
{
  (void)context;
  while (!herd_ended)
    {
      int status = ask_ready (ready_address);

      pthread_mutex_lock (&lock);
      fprintf (record, "ready %lld %d\n", (long long)now_ms (), status);
      pthread_mutex_unlock (&lock);
      sleep (1);
    }
  return NULL;
}

static void *
run_tries (void *context)
{
  reader_t *reader = malloc (sizeof *reader);
  message_t *answer = malloc (sizeof *answer);

  (void)context;
  while (true)
    {
      unsigned mine = atomic_fetch_add (&numbers, 1);
      double at_s = due_s (mine);
      char id[64];
      int status = 0;
      int fd;

      if (at_s < 0)
        break;
      if (started_s + at_s > now_s ())
        usleep ((unsigned)((started_s + at_s - now_s ()) * 1e6));
      snprintf (id, sizeof id, "%s%08x", prefix, mine);
      fd = net_connect (targets[0], 1000);
      if (fd >= 0)
        {
          net_set_timeout (fd, deadline_ms);
          reader_init (reader, fd);
          if (send_request (fd, id, "") && reader_message (reader, answer))
            sscanf (answer->head, "HTTP/1.1 %d", &status);
          message_clear (answer);
        }
      pthread_mutex_lock (&lock);
      if (status > 0)
        fprintf (record, "try %lld %u taken %d\n", (long long)now_ms (), mine % HERD_CLIENTS, status);
      else
        fprintf (record, "try %lld %u refused\n", (long long)now_ms (), mine % HERD_CLIENTS);
      pthread_mutex_unlock (&lock);
      if (status > 0)
        hold (fd);
      else if (fd >= 0)
        close (fd);
    }
  free (reader);
  free (answer);
  return NULL;
}

static int
herd (void)
{
  pthread_t threads[HERD_THREADS];
  pthread_t closer;
  pthread_t asker;

  started_s = now_s ();
  pthread_create (&closer, NULL, close_held, NULL);
  pthread_create (&asker, NULL, ask_ready_often, NULL);
  for (int i = 0; i < HERD_THREADS; i++)
    pthread_create (&threads[i], NULL, run_tries, NULL);
  for (int i = 0; i < HERD_THREADS; i++)
    pthread_join (threads[i], NULL);
  herd_ended = true;
  pthread_join (closer, NULL);
  pthread_join (asker, NULL);
  return fclose (record) == 0 ? 0 : 2;
}

static int
load (const char *name, int argc, char **argv)
{
  pthread_t threads[512];
  void *(*worker) (void *);

  for (int i = 0; i + 1 < argc; i += 2)
    {
      const char *flag = argv[i];
      char *value = argv[i + 1];

      if (strcmp (flag, "--targets") == 0 || strcmp (flag, "--target") == 0)
        for (char *at = strtok (value, ","); at && target_count < 16; at = strtok (NULL, ","))
          targets[target_count++] = at;
      else if (strcmp (flag, "--phases") == 0)
        for (char *at = strtok (value, ","); at && phases < 8; at = strtok (NULL, ","), phases++)
          sscanf (at, "%lf:%lf", &phase_rate[phases], &phase_s[phases]);
      else if (strcmp (flag, "--ready") == 0)
        ready_address = value;
      else if (strcmp (flag, "--hold-s") == 0)
        hold_s = atof (value);
      else if (strcmp (flag, "--per-s") == 0)
        per_s = atof (value);
      else if (strcmp (flag, "--seconds") == 0)
        seconds = atof (value);
      else if (strcmp (flag, "--record") == 0)
        record_path = value;
      else if (strcmp (flag, "--method") == 0)
        method = value;
      else if (strcmp (flag, "--path") == 0)
        path = value;
      else if (strcmp (flag, "--host") == 0)
        host = value;
      else if (strcmp (flag, "--key") == 0)
        key = value;
      else if (strcmp (flag, "--deadline-ms") == 0)
        deadline_ms = atoi (value);
      else if (strcmp (flag, "--body-bytes") == 0)
        body_bytes = atoi (value);
      else if (strcmp (flag, "--turns") == 0)
        turns = atoi (value) < 40 ? atoi (value) : 40;
      else if (strcmp (flag, "--part") == 0)
        part = value;
      else if (strcmp (flag, "--prompts") == 0)
        prompts = atoi (value);
      else if (strcmp (flag, "--clients") == 0)
        clients = atoi (value) < 512 ? atoi (value) : 512;
      else if (strcmp (flag, "--id-prefix") == 0)
        prefix = value;
      else
        return 2;
    }
  record = record_path ? fopen (record_path, "a") : NULL;
  if (target_count == 0 || !record)
    return 2;
  if (ready_address)
    return herd ();
  worker = strcmp (name, "upload") == 0 ? run_upload : run_client;
  started_s = now_s ();
  for (int i = 0; i < clients; i++)
    pthread_create (&threads[i], NULL, worker, (void *)(uintptr_t)i);
  for (int i = 0; i < clients; i++)
    pthread_join (threads[i], NULL);
  return 0;
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  if (argc == 4 && strcmp (argv[1], "publish") == 0)
    return publish (argv[2], argv[3]);
  if (argc == 6 && strcmp (argv[1], "put") == 0)
    return store_put (argv[2], argv[3], argv[4], argv[5]) == 200 ? 0 : 1;
  if (argc == 4 && strcmp (argv[1], "ready") == 0)
    return wait_ready (argv[2], atof (argv[3]));
  if (argc > 2 && (strcmp (argv[1], "load") == 0 || strcmp (argv[1], "herd") == 0 ||
                   strcmp (argv[1], "upload") == 0))
    return load (argv[1], argc - 2, argv + 2);
  fprintf (stderr, "client publish|ready|load, see client.c\n");
  return 2;
}
