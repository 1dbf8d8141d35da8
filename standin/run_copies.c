#include "run_copies.h"

#include "connection/platform_client.h"

#include <string.h>

#define PATH "/standin-kv"
#define TIMEOUT_MS 1000
#define ANSWER_LIMIT_BYTES 1024

/**
 * struct run_copies - the copies of one upstream
 * @kept: id -> time of the last part, of the copies that are kept for others
 * @targets: IP:PORT -> platform_client_t, of the upstreams that copies are sent to
 */
struct run_copies
{
  struct event_base *base;
  char *address;
  GHashTable *kept;
  GHashTable *targets;
};

run_copies_t *
run_copies_new (struct event_base *base, const char *address)
{
  run_copies_t *copies = g_new0 (run_copies_t, 1);

  copies->base = base;
  copies->address = g_strdup (address);
  copies->kept = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  copies->targets =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)platform_client_free);
  return copies;
}

void
run_copies_free (run_copies_t *copies)
{
  g_hash_table_destroy (copies->kept);
  g_hash_table_destroy (copies->targets);
  g_free (copies->address);
  g_free (copies);
}

static platform_client_t *
get_target (run_copies_t *copies, const char *target)
{
  platform_client_t *client = g_hash_table_lookup (copies->targets, target);
  address_t address;

  if (client || !address_parse (target, &address, NULL))
    return client;
  client = platform_client_new (copies->base, &address, NULL);
  g_hash_table_insert (copies->targets, g_strdup (target), client);
  return client;
}

/* A part that did not arrive is made up for by the next one. */
static void
on_sent (const platform_client_answer_t *answer, void *context)
{
  (void)answer;
  (void)context;
}

static void
on_dropped (void *context)
{
  (void)context;
}

void
run_copies_send (run_copies_t *copies, const char *target, const char *id, bool has_ended)
{
  platform_client_t *client = target ? get_target (copies, target) : NULL;
  g_autofree char *escaped = g_uri_escape_string (id, NULL, FALSE);
  g_autofree char *path = g_strdup_printf (PATH "?id=%s&ended=%d", escaped, has_ended ? 1 : 0);

  if (client)
    platform_client_start (client,
                           &(platform_client_request_t){ .method = "POST",
                                                         .target = path,
                                                         .body = "",
                                                         .timeout_ms = TIMEOUT_MS,
                                                         .answer_limit_bytes = ANSWER_LIMIT_BYTES,
                                                         .done = on_sent,
                                                         .on_dropped = on_dropped });
}

static void
drop_old (run_copies_t *copies, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, copies->kept);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_us >= *(const uint64_t *)value + RUN_COPIES_LIFETIME_US)
      g_hash_table_iter_remove (&iter);
}

bool
run_copies_receive (run_copies_t *copies, uint64_t now_us, http_call_t *call)
{
  const char *id = http_call_query (call, "id");
  bool has_room;

  if (!id || !http_call_matches (call, "POST", PATH))
    return false;
  drop_old (copies, now_us);
  has_room =
      g_hash_table_size (copies->kept) < RUN_COPIES_MAX || g_hash_table_contains (copies->kept, id);
  if (http_call_query_u64 (call, "ended", 0) != 0)
    g_hash_table_remove (copies->kept, id);
  else if (has_room)
    g_hash_table_insert (copies->kept, g_strdup (id), g_memdup2 (&now_us, sizeof now_us));
  http_call_reply_json (call, has_room ? 200 : 503, NULL);
  return true;
}

bool
run_copies_take (run_copies_t *copies, uint64_t now_us, const char *from)
{
  size_t bytes = strlen (copies->address);

  if (!from)
    return true;
  drop_old (copies, now_us);
  if (strncmp (from, copies->address, bytes) != 0 || from[bytes] != '/')
    return false;
  return g_hash_table_remove (copies->kept, from + bytes + 1);
}

uint32_t
run_copies_count (const run_copies_t *copies)
{
  return g_hash_table_size (copies->kept);
}
