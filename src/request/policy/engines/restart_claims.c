#include "request/policy/engines/restart_claims.h"

#include <glib.h>

/** struct restart_claims - @claims: of restart_claim_t, at most one for each process */
struct restart_claims
{
  GArray *claims;
};

restart_claims_t *
restart_claims_new (void)
{
  restart_claims_t *claims = g_new0 (restart_claims_t, 1);

  claims->claims = g_array_new (FALSE, FALSE, sizeof (restart_claim_t));
  return claims;
}

void
restart_claims_free (restart_claims_t *claims)
{
  g_array_free (claims->claims, TRUE);
  g_free (claims);
}

static bool
find (const restart_claims_t *claims, uint64_t hash, guint *index)
{
  for (*index = 0; *index < claims->claims->len; (*index)++)
    if (g_array_index (claims->claims, restart_claim_t, *index).hash == hash)
      return true;
  return false;
}

void
restart_claims_add (restart_claims_t *claims, uint64_t now_us, uint64_t hash, uint64_t renewal_us)
{
  restart_claim_t claim = { .hash = hash,
                            .made_us = now_us,
                            .due_us = now_us + renewal_us * RESTART_CLAIM_RENEWALS };
  guint index;

  if (!find (claims, hash, &index))
    g_array_append_val (claims->claims, claim);
}

void
restart_claims_refute (restart_claims_t *claims, uint64_t hash)
{
  guint index;

  if (find (claims, hash, &index))
    g_array_remove_index_fast (claims->claims, index);
}

bool
restart_claims_take_due (restart_claims_t *claims, uint64_t now_us, restart_claim_t *claim)
{
  for (guint i = 0; i < claims->claims->len; i++)
    {
      *claim = g_array_index (claims->claims, restart_claim_t, i);
      if (now_us < claim->due_us)
        continue;
      g_array_remove_index_fast (claims->claims, i);
      return true;
    }
  return false;
}
