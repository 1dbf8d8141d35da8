/**
 * DOC: session_hot_chat
 *
 * 22 gateways before 40 upstreams, with real processes: requests of chats come at a rate that rises
 * and falls, and for some seconds one chat has three tenths of them. How many requests each
 * upstream ran is read from the records of all of them.
 */
#include "driver.h"

#include <CUnit/Basic.h>
#include <math.h>
#include <string.h>

#define GATEWAYS 22
#define UPSTREAMS 40
#define SLOTS 128
#define TOKEN_US 3410
#define TOKEN_US_PER_RUN 97
#define PER_S 290
#define CLUMP 3 /* requests that arrive together */
#define WAVE 0.27
#define WAVE_S 11.0
#define PLAY_S 17
#define HOT_FROM_S 6
#define HOT_TO_S 12
#define HOT_SHARE 0.3
#define CHATS 448
#define CHAT_SKEW 0.3
#define COMMON_PARTS 16
#define TOKENS_PER_EVENT 8
#define EVENTS_MAX 120.0
#define WINDOW_MS 5000
/* The overload limit, as users define it, and the requests that may go beyond it. */
#define LIMIT_FACTOR 2
#define LIMIT_EXTRA 3
#define OVER_MIN 20
#define OVER_MAX_PERCENT 3
#define RECORD_FIELDS 7

#define TRAITS                                                                                     \
  "\"slots\":128,\"kv_capacity\":467858,\"kv_token_bytes\":18432,\"link_mbps\":370000,"            \
  "\"moves\":true,\"backups\":true,\"stride\":8,\"handle_s\":5"
static const char config[] =
    "{\"version\":1,\"routes\":[{\"name\":\"tag\",\"host\":\"fleet\",\"path_prefix\":\"/tag/\","
    "\"kind\":\"stream\",\"timeout_ms\":8000,\"aim_ms\":500,\"attempts\":2,\"resumable\":true,"
    "\"sticky\":true,\"service\":\"pool\"}],"
    "\"services\":[{\"name\":\"pool\",\"cold_start_s\":3.0,\"cold_per_s\":16.0,"
    "\"engine\":{" TRAITS "}}],"
    "\"tenants\":[{\"name\":\"alpha\",\"api_keys\":[\"key-1\"]}]}";

/**
 * struct scene - The processes and the traffic.
 * @due: Requests that are due and not yet sent.
 * @began_us: When the traffic began, on the monotonic clock.
 * @polled_us: When @due was last computed.
 * @first_call: Index of the first request among the calls of the driver.
 */
typedef struct
{
  driver_t *driver;
  driver_process_t *gateways[GATEWAYS];
  driver_process_t *upstreams[UPSTREAMS];
  GRand *rand;
  double chat_sum;
  double due;
  gint64 began_us;
  gint64 polled_us;
  guint first_call;
  uint32_t sent;
} scene_t;

/** struct change - The begin or end of a request at an upstream. */
typedef struct
{
  gint64 time_ms;
  uint32_t upstream;
  bool begins;
} change_t;

/** struct worst - The five seconds in which most requests met an overloaded upstream. */
typedef struct
{
  uint32_t sent;
  uint32_t over;
  gint64 at_ms;
} worst_t;

static bool
all_know_upstreams (void *context)
{
  const scene_t *scene = context;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    if (driver_process_count_log_lines (scene->gateways[i], ": engine ", "state=ready") <
            UPSTREAMS ||
        driver_process_count_log_lines (scene->gateways[i], ": ready ", NULL) == 0)
      return false;
  return true;
}

static void
start (scene_t *scene)
{
  *scene = (scene_t){ .driver = driver_new ("hot_chat"), .rand = g_rand_new_with_seed (1) };
  for (uint32_t i = 0; i < CHATS; i++)
    scene->chat_sum += pow (i + 1, -CHAT_SKEW);
  driver_start_platform (scene->driver);
  driver_write_record (scene->driver, "config", config);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("upstream%u", i);

      scene->upstreams[i] = driver_start_upstream (
          scene->driver, &(driver_upstream_t){ .name = name,
                                               .streams = true,
                                               .slots = SLOTS,
                                               .token_us = TOKEN_US,
                                               .token_us_per_run = TOKEN_US_PER_RUN });
    }
  for (uint32_t i = 0; i < GATEWAYS; i++)
    {
      g_autofree char *name = g_strdup_printf ("gateway%u", i);

      scene->gateways[i] = driver_start_gateway (scene->driver, name, 500, 4000);
    }
  driver_wait_until (scene->driver, 2 * DRIVER_WAIT_LIMIT_MS, "upstreams at all gateways",
                     all_know_upstreams, scene);
}

static double
played_s (const scene_t *scene)
{
  return (double)(g_get_monotonic_time () - scene->began_us) / G_USEC_PER_SEC;
}

static uint32_t
draw_chat (scene_t *scene)
{
  double at_s = played_s (scene);
  double at = g_rand_double (scene->rand) * scene->chat_sum;
  uint32_t chat = 0;

  if (at_s >= HOT_FROM_S && at_s < HOT_TO_S && g_rand_double (scene->rand) < HOT_SHARE)
    return 0;
  while (chat + 1 < CHATS && (at -= pow (chat + 1, -CHAT_SKEW)) > 0)
    chat++;
  return chat;
}

static uint32_t
draw_tokens (scene_t *scene)
{
  double u = g_rand_double_range (scene->rand, 1e-9, 1);
  double v = g_rand_double (scene->rand);
  double normal = sqrt (-2 * log (u)) * cos (2 * G_PI * v);

  return (uint32_t)(MAX (MIN (exp (3.2 + 0.7 * normal), EVENTS_MAX), 1) * TOKENS_PER_EVENT);
}

static void
send_one (scene_t *scene)
{
  uint32_t chat = draw_chat (scene);
  uint32_t gateway = (uint32_t)g_rand_int_range (scene->rand, 0, GATEWAYS);
  g_autofree char *headers = g_strdup_printf (
      "X-Request-Id: hot-%u\r\nX-Key: key-1\r\nX-Deadline-Ms: 8000\r\nX-Model: m\r\n"
      "X-Token-Count: 2401,%u\r\nX-Prompt-Prefix: a%x:341,b%x:1700,c%x:360\r\n"
      "Connection: close\r\n",
      scene->sent, draw_tokens (scene), chat % COMMON_PARTS, chat, scene->sent);
  g_autofree char *path = g_strdup_printf ("/tag/%u", scene->sent);

  scene->sent++;
  driver_send_http (scene->driver, scene->gateways[gateway]->ip, "POST", path, headers, "");
}

static bool
has_played (void *context)
{
  scene_t *scene = context;
  gint64 now_us = g_get_monotonic_time ();
  double rate = PER_S * (1 + WAVE * sin (2 * G_PI * played_s (scene) / WAVE_S));

  scene->due += rate * (double)(now_us - scene->polled_us) / G_USEC_PER_SEC;
  scene->polled_us = now_us;
  for (; scene->due >= CLUMP; scene->due -= CLUMP)
    for (uint32_t i = 0; i < CLUMP; i++)
      send_one (scene);
  return played_s (scene) >= PLAY_S;
}

static void
read_record (GArray *changes, const driver_process_t *process, uint32_t upstream)
{
  g_autofree char *text = NULL;

  if (!g_file_get_contents (process->record_path, &text, NULL, NULL))
    return;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line; line++)
    {
      g_auto (GStrv) fields = g_strsplit (*line, " ", RECORD_FIELDS);
      change_t change = { .upstream = upstream };

      if (g_strv_length (fields) != RECORD_FIELDS)
        continue;
      change.time_ms = g_ascii_strtoll (fields[1], NULL, 10);
      change.begins = strcmp (fields[0], "begin") == 0;
      if (change.begins || strcmp (fields[0], "end") == 0)
        g_array_append_val (changes, change);
    }
}

static gint
compare_changes (gconstpointer a, gconstpointer b)
{
  gint64 left = ((const change_t *)a)->time_ms;
  gint64 right = ((const change_t *)b)->time_ms;

  return left < right ? -1 : left > right;
}

/** struct sent - A request that reached an upstream. */
typedef struct
{
  gint64 time_ms;
  bool over;
} sent_t;

/* Return: All requests in the order of their times, as sent_t. */
static GArray *
replay (const GArray *changes)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (sent_t));
  uint32_t load[UPSTREAMS] = { 0 };
  uint32_t total = 0;

  for (guint i = 0; i < changes->len; i++)
    {
      const change_t *change = &g_array_index (changes, change_t, i);
      uint32_t *at = &load[change->upstream];
      sent_t sent = { .time_ms = change->time_ms,
                      .over = *at * UPSTREAMS > total * LIMIT_FACTOR + UPSTREAMS * LIMIT_EXTRA };

      if (change->begins)
        g_array_append_val (all, sent);
      *at = change->begins ? *at + 1 : *at - 1;
      total = change->begins ? total + 1 : total - 1;
    }
  return all;
}

static worst_t
find_worst (const GArray *all)
{
  worst_t worst = { 0 };
  guint from = 0;
  uint32_t over = 0;

  for (guint i = 0; i < all->len; i++)
    {
      const sent_t *sent = &g_array_index (all, sent_t, i);

      over += sent->over ? 1 : 0;
      while (g_array_index (all, sent_t, from).time_ms + WINDOW_MS < sent->time_ms)
        over -= g_array_index (all, sent_t, from++).over ? 1 : 0;
      if (over > worst.over)
        worst = (worst_t){ .sent = i - from + 1, .over = over, .at_ms = sent->time_ms };
    }
  return worst;
}

static uint32_t
count_answered (const scene_t *scene)
{
  uint32_t answered = 0;

  for (guint i = scene->first_call; i < scene->driver->calls->len; i++)
    {
      const driver_call_t *call = g_ptr_array_index (scene->driver->calls, i);

      answered += call->status == 200 && call->outcome == DRIVER_OUTCOME_COMPLETE ? 1 : 0;
    }
  return answered;
}

/* Guards against 22 gateways that fill the homes of a hot chat one after the other, each by reports
 * of before the others' requests. */
static void
test_hot_chat (void)
{
  g_autoptr (GArray) changes = g_array_new (FALSE, FALSE, sizeof (change_t));
  g_autoptr (GArray) all = NULL;
  scene_t scene;
  worst_t worst;

  start (&scene);
  scene.first_call = scene.driver->calls->len;
  scene.began_us = scene.polled_us = g_get_monotonic_time ();
  driver_wait_until (scene.driver, PLAY_S * 1000 + DRIVER_WAIT_LIMIT_MS, "play", has_played,
                     &scene);
  driver_wait_all_calls (scene.driver);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    read_record (changes, scene.upstreams[i], i);
  g_array_sort (changes, compare_changes);
  all = replay (changes);
  worst = find_worst (all);
  printf ("%u of %u requests in five seconds met an overloaded upstream, from %.1f s on; %u of %u "
          "answered\n",
          worst.over, worst.sent,
          (double)(worst.at_ms - g_array_index (all, sent_t, 0).time_ms - WINDOW_MS) / 1000,
          count_answered (&scene), scene.sent);
  fflush (stdout); /* or each child process writes it again */
  CU_ASSERT (worst.over < OVER_MIN || worst.over * 100 <= worst.sent * OVER_MAX_PERCENT);
  CU_ASSERT (count_answered (&scene) * 100 >= scene.sent * 99);
  g_rand_free (scene.rand);
  driver_transcript_add (scene.driver, "no upstream is overloaded");
  driver_finish (scene.driver);
}

int
main (void)
{
  static const driver_test_t tests[] = { { "one chat has three tenths of all requests",
                                           test_hot_chat } };

  return driver_main ("hot_chat", tests, G_N_ELEMENTS (tests));
}
