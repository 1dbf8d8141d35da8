/* Upstreams and stores that send bytes without end, in heads, between chunks and in bodies. */
#include "soak.h"

#include <unistd.h>

#define ACTIVE_MIN_MS 300
#define ACTIVE_MAX_MS 1500
#define PAUSE_MIN_MS 500
#define PAUSE_MAX_MS 2500
#define RESIDENT_LIMIT_KB (96 * 1024) /* of a gateway; without floods it has 12 MB */
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static const struct
{
  const char *begin;
  const char *unit;
} floods[] = {
  { "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "HTTP/1.1 200 ", "x" },
  { "HTTP/1.1 200 OK\r\nX: ", "x" },
  { "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
  { CHUNKED, "0" },
  { CHUNKED "5 ", "x" },
  { CHUNKED, "\r\n" },
  { CHUNKED "0\r\n", "X: y\r\n" },
  { "HTTP/1.1 200 OK\r\n\r\n", "some bytes" },
};

static uint32_t
resident_kb (const soak_process_t *process)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/statm", (int)process->pid);
  g_autofree char *text = NULL;
  unsigned total_pages;
  unsigned resident_pages;

  if (process->pid <= 0 || !g_file_get_contents (path, &text, NULL, NULL) ||
      sscanf (text, "%u %u", &total_pages, &resident_pages) != 2)
    return 0;
  return resident_pages * (uint32_t)(sysconf (_SC_PAGESIZE) / 1024);
}

static void
check_memory (soak_t *soak)
{
  for (uint32_t i = 0; i < soak->gateway_count; i++)
    {
      uint32_t kb = resident_kb (soak->gateways[i]);

      if (kb > RESIDENT_LIMIT_KB)
        soak_fail (soak, "gateway-%u has %u KB of memory", i, kb);
    }
}

void
soak_poll_floods (soak_t *soak)
{
  GRand *rand = soak->floods.rand;
  uint32_t ms;
  uint32_t kind;
  uint32_t upstream;
  uint32_t gateway;
  bool is_store;
  soak_proxy_t *proxy;

  if (soak->floods.next_us == 0 || soak_now_us () < soak->floods.next_us)
    return;
  check_memory (soak);
  ms = (uint32_t)g_rand_int_range (rand, ACTIVE_MIN_MS, ACTIVE_MAX_MS);
  kind = (uint32_t)g_rand_int_range (rand, 0, G_N_ELEMENTS (floods));
  upstream = (uint32_t)g_rand_int_range (rand, 0, SOAK_UPSTREAMS);
  gateway = (uint32_t)g_rand_int_range (rand, 0, (gint32)soak->gateway_count);
  is_store = g_rand_int_range (rand, 0, 4) == 0;
  proxy = is_store ? soak->store_proxies[gateway] : soak->upstream_proxies[upstream];
  soak_log (soak, "%s link of %u: flood %u for %u ms", is_store ? "store" : "upstream",
            is_store ? gateway : upstream, kind, ms);
  soak_proxy_set_flood (proxy, floods[kind].begin, floods[kind].unit);
  soak_fault_link (soak, proxy, SOAK_PROXY_FLOOD, ms);
  soak->floods.next_us =
      soak_now_us () +
      (uint64_t)(ms + (uint32_t)g_rand_int_range (rand, PAUSE_MIN_MS, PAUSE_MAX_MS)) * 1000;
}
