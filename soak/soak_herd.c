/* For some seconds most new connections go to one gateway, while clients open them more often. */
#include "soak.h"

#define ACTIVE_MIN_MS 500
#define ACTIVE_SPREAD_MS 2500
#define PAUSE_MIN_MS 1000
#define PAUSE_SPREAD_MS 3000
#define SEND_INTERVAL_MS 5 /* between two requests of the herd */

static uint64_t
draw_us (GRand *rand, uint32_t from_ms, uint32_t spread_ms)
{
  return (uint64_t)g_rand_int_range (rand, (gint32)from_ms, (gint32)(from_ms + spread_ms)) * 1000;
}

static void
start_herd (soak_t *soak, soak_herd_t *herd)
{
  uint64_t active_us = draw_us (herd->rand, ACTIVE_MIN_MS, ACTIVE_SPREAD_MS);

  herd->gateway = (uint32_t)g_rand_int_range (herd->rand, 0, (gint32)soak->gateway_count);
  herd->until_us = soak_now_us () + active_us;
  herd->send_us = soak_now_us ();
  herd->next_us = herd->until_us + draw_us (herd->rand, PAUSE_MIN_MS, PAUSE_SPREAD_MS);
  soak_log (soak, "gateway-%u: most new connections for %u ms", herd->gateway,
            (unsigned)(active_us / 1000));
}

void
soak_poll_herd (soak_t *soak)
{
  soak_herd_t *herd = &soak->herd;

  if (herd->next_us == 0)
    return;
  if (soak_now_us () >= herd->next_us)
    start_herd (soak, herd);
  for (; herd->send_us < herd->until_us && herd->send_us <= soak_now_us ();
       herd->send_us += SEND_INTERVAL_MS * 1000)
    soak_send_request (soak, herd->gateway, (uint32_t)g_rand_int_range (herd->rand, 0, SOAK_KINDS),
                       0, true);
}
